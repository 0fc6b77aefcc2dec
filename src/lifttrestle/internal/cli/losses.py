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

"""``lifttrestle losses``: counts lost and late requests by time and cause."""

import argparse
import datetime
import pathlib
import sys

from lifttrestle.internal.cli.faults import report_fault
from lifttrestle.internal.telemetry.losses import find_losses
from lifttrestle.internal.telemetry.losses import Losses
from lifttrestle.internal.telemetry.losses import Outcome
from lifttrestle.internal.telemetry.losses import render_json
from lifttrestle.internal.telemetry.losses import render_table

EXIT_OK = 0
EXIT_NO_REQUESTS = 1
WINDOW_SECONDS = 2.0
FIGURE_INCHES = (10, 4)
INSTALL_REMEDY = "install the extra: pip install 'lifttrestle[plots]'"


def add_commands(commands: 'argparse._SubParsersAction') -> None:
    """Add the command to the command line."""
    parser = commands.add_parser(
        'losses', help='count lost and late requests by time and cause'
    )
    parser.add_argument(
        'logs', type=pathlib.Path, nargs='+', metavar='LOGFILE'
    )
    parser.add_argument(
        '--window',
        type=_parse_seconds,
        default=datetime.timedelta(seconds=WINDOW_SECONDS),
        metavar='SECONDS',
        help='duration of one row of the table (default: %(default)s)',
    )
    parser.add_argument(
        '--picture',
        type=pathlib.Path,
        metavar='FILE',
        help='also plot the table, as PNG or SVG by the suffix of the file;'
        " needs the extra 'plots'",
    )
    parser.add_argument(
        '--json', action='store_true', help='print JSON for programs'
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the losses; return 1 if no request ends in the logs."""
    try:
        losses = find_losses(options.logs, options.window)
        if options.picture is not None:
            _plot(losses, options.picture)
    except ModuleNotFoundError as error:
        return report_fault(error, INSTALL_REMEDY)
    except OSError as error:
        return report_fault(error, 'give files that can be read and written')
    if not losses.windows:
        print(
            f'no request ends in {len(options.logs)} files; give the logs of'
            ' fleet routers',
            file=sys.stderr,
        )
        return EXIT_NO_REQUESTS
    render = render_json if options.json else render_table
    print(render(losses))
    return EXIT_OK


def _parse_seconds(text: str) -> datetime.timedelta:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < datetime.timedelta.max.total_seconds():
        raise argparse.ArgumentTypeError(
            f'{text!r} is not a duration; give seconds above 0, such as'
            ' 2 or 0.5'
        )
    return datetime.timedelta(seconds=seconds)


def _plot(losses: Losses, path: pathlib.Path) -> None:
    """Plot the number of requests with each outcome over time.

    :raises ModuleNotFoundError: if matplotlib is not installed.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=FIGURE_INCHES, layout='constrained')
    axes = figure.add_subplot()
    times = [window.after.total_seconds() for window in losses.windows]
    axes.stackplot(
        times,
        *(
            [window.counts[outcome] for window in losses.windows]
            for outcome in Outcome
        ),
        labels=[outcome.value for outcome in Outcome],
        step='post',
    )
    axes.set_xlabel('seconds from the first request')
    axes.set_ylabel('requests')
    axes.legend(loc='upper right')
    figure.savefig(path)
