#    Licensed under the Apache License, Version 2.0 (the "License"); you may
#    not use this file except in compliance with the License. You may obtain
#    a copy of the License at
#
#         http://www.apache.org/licenses/LICENSE-2.0
#
#    Unless required by applicable law or agreed to in writing, software
#    distributed under the License is distributed on an "AS IS" BASIS, WITHOUT
#    WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied. See the
#    License for the specific language governing permissions and limitations
#    under the License.

"""``lifttrestle check``: reports every fault in settings files."""

import argparse
import pathlib

from returns.result import Failure

from lifttrestle.internal.cli.faults import EXIT_FAULT
from lifttrestle.internal.platform.node_settings import check_node_settings
from lifttrestle.internal.settings.fault import Fault
from lifttrestle.internal.settings.load import check_settings

EXIT_OK = 0
# Suffixes of the settings files that the platform writes. Those of routers
# without the platform are TOML.
NODE_SUFFIXES = ('.yaml', '.yml')


def add_commands(commands: 'argparse._SubParsersAction') -> None:
    """Add the command to the command line."""
    parser = commands.add_parser(
        'check', help='print every fault in settings files'
    )
    parser.add_argument(
        'settings', type=pathlib.Path, nargs='+', metavar='SETTINGS'
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the faults of each file; return 2 if there are any, else 0."""
    faults = 0
    for path in options.settings:
        found = _find_faults(path)
        faults += len(found)
        for fault in found:
            print(fault)
        if not found:
            print(f'{path}: good')
    return EXIT_FAULT if faults else EXIT_OK


def _find_faults(path: pathlib.Path) -> tuple[Fault, ...]:
    if path.suffix in NODE_SUFFIXES:
        node = check_node_settings(path)
        return node.failure() if isinstance(node, Failure) else ()
    result = check_settings(path)
    return result.failure() if isinstance(result, Failure) else ()
