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

"""``lifttrestle explain``: explains one request from logs."""

import argparse
import pathlib
import sys

from lifttrestle.internal.cli.faults import report_fault
from lifttrestle.internal.telemetry.explanation import explain
from lifttrestle.internal.telemetry.explanation import render_json
from lifttrestle.internal.telemetry.explanation import render_text
from lifttrestle.internal.telemetry.explanation import UnknownRequest

EXIT_OK = 0
EXIT_UNKNOWN = 1


def add_commands(commands: 'argparse._SubParsersAction') -> None:
    """Add the command to the command line."""
    parser = commands.add_parser(
        'explain', help="explain one request from the routers' logs"
    )
    parser.add_argument('request_id', metavar='REQUEST_ID')
    parser.add_argument(
        'logs', type=pathlib.Path, nargs='+', metavar='LOGFILE'
    )
    parser.add_argument(
        '--json', action='store_true', help='print JSON for programs'
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the explanation; return 1 if the logs lack the request."""
    try:
        explanation = explain(options.request_id, options.logs)
    except UnknownRequest as error:
        print(error, file=sys.stderr)
        return EXIT_UNKNOWN
    except OSError as error:
        return report_fault(error, 'give files that can be read')
    render = render_json if options.json else render_text
    print(render(explanation))
    return EXIT_OK
