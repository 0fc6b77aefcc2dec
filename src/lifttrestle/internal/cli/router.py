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

"""``lifttrestle router``: runs a router."""

import argparse
import pathlib
import random

from lifttrestle.internal.cli.signals import ignore_hangup
from lifttrestle.internal.cli.signals import ignore_signals
from lifttrestle.internal.clock.elapsed import run_main
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.settings.load import load_settings
from lifttrestle.internal.settings.router import RouterSettings
from lifttrestle.internal.telemetry.logs import set_up_logs

EXIT_OK = 0
EXIT_FAILED = 1


def add_commands(commands: 'argparse._SubParsersAction') -> None:
    """Add the command to the command line."""
    parser = commands.add_parser('router', help='run a router')
    parser.add_argument('settings', type=pathlib.Path, metavar='SETTINGS')
    parser.add_argument(
        '--record',
        type=pathlib.Path,
        metavar='FILE',
        help='write a trace of the requests, with hashes and lengths only',
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Serve until a signal or a fault.

    :return: 0 if every request was ended and no control task failed, else 1.
    """
    settings = load_settings(options.settings)
    set_up_logs(settings.log.level)
    ignore_hangup()
    return run_main(_run_router(settings, options.record))


async def _run_router(
    settings: RouterSettings, record: pathlib.Path | None
) -> int:
    # Imported here so that the operators' commands start without it.
    from lifttrestle.internal.membership.threads import limit_threads
    from lifttrestle.internal.router.process import RouterProcess

    limit_threads()
    process = RouterProcess(
        settings, SystemClock(), random.SystemRandom(), record
    )
    succeeded = await process.run()
    ignore_signals()
    return EXIT_OK if succeeded else EXIT_FAILED
