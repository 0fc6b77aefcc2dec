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

"""The command line: one program with subcommands."""

import argparse
import sys

from lifttrestle.errors import LifttrestleError
import lifttrestle.internal.cli.check as check
import lifttrestle.internal.cli.explain as explain
from lifttrestle.internal.cli.faults import EXIT_FAULT
import lifttrestle.internal.cli.fleet_router as fleet_router
import lifttrestle.internal.cli.losses as losses
import lifttrestle.internal.cli.operator as operator
import lifttrestle.internal.cli.replay as replay
import lifttrestle.internal.cli.router as router
import lifttrestle.internal.cli.standin as standin

COMMANDS = (
    router,
    fleet_router,
    check,
    explain,
    losses,
    operator,
    replay,
    standin,
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog='lifttrestle',
        description='Routes language-model traffic and keeps it in its place.',
    )
    commands = parser.add_subparsers(
        title='commands', dest='command', required=True, metavar='COMMAND'
    )
    for part in COMMANDS:
        part.add_commands(commands)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        return int(options.run(options))
    except LifttrestleError as error:
        print(error, file=sys.stderr)
        return EXIT_FAULT
    except KeyboardInterrupt:
        return EXIT_FAULT


if __name__ == '__main__':
    sys.exit(main())
