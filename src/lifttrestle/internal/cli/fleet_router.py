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

"""``lifttrestle fleet-router``: runs a router on the platform."""

import argparse
import gc
import pathlib
import random
import sys

from returns.result import Failure

from lifttrestle.internal.cli.node_file import find_node_file
from lifttrestle.internal.cli.node_file import load_node_settings
from lifttrestle.internal.cli.node_file import SETTINGS_HELP
from lifttrestle.internal.cli.signals import ignore_hangup
from lifttrestle.internal.cli.signals import ignore_signals
from lifttrestle.internal.clock.elapsed import run_main
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.fleet.settings import FleetSettings
from lifttrestle.internal.platform.node_settings import check_node_settings
from lifttrestle.internal.settings.sections import StatsdSection
from lifttrestle.internal.telemetry.event_log import get_event_log
from lifttrestle.internal.telemetry.event_sink import EventSink
from lifttrestle.internal.telemetry.event_sink import start_event_sink

LOG = get_event_log('router')
EXIT_OK = 0
EXIT_FAILED = 1
# A call to the store usually takes 4 ms, and 0.4 s when the store is slow.
STORE_TIMEOUT_SECONDS = 0.8
# Engines answer a request for a report or a load order within a few ms.
ENGINE_TIMEOUT_SECONDS = 0.5


def add_commands(commands: 'argparse._SubParsersAction') -> None:
    """Add the command to the command line."""
    parser = commands.add_parser(
        'fleet-router',
        help='run a router whose configuration is in a shared store',
    )
    parser.add_argument(
        'settings',
        type=pathlib.Path,
        nargs='?',
        metavar='SETTINGS',
        help=SETTINGS_HELP,
    )
    parser.add_argument(
        '--metrics-port',
        type=int,
        default=0,
        help='serve metrics as text on this port; 0 disables this',
    )
    parser.add_argument(
        '--statsd',
        type=_parse_statsd,
        default=StatsdSection(),
        metavar='HOST:PORT',
        help='send the same metrics to a statsd server every 10 s',
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Serve until a signal or a fault.

    :return: 0 if every request was ended and no control task failed, else 1.
    """
    path = find_node_file(options.settings)
    settings = load_node_settings(path, options.metrics_port)
    ignore_hangup()
    sink = start_event_sink(sys.stdout, SystemClock(), settings.vm, 'info')
    try:
        return run_main(_run_router(settings, path, options, sink))
    finally:
        sink.close()


async def _run_router(
    settings: FleetSettings,
    path: pathlib.Path,
    options: argparse.Namespace,
    sink: EventSink,
) -> int:
    # Imported here so that the operators' commands start without it.
    from lifttrestle.internal.fleet.process import FleetRouterProcess
    from lifttrestle.internal.http.address import parse_address
    from lifttrestle.internal.http.json_client import JsonClient
    from lifttrestle.internal.platform import engine_calls
    from lifttrestle.internal.platform.request_dialect import PlatformDialect
    from lifttrestle.internal.platform.row_store import PlatformRowStore
    from lifttrestle.internal.platform.stored_format import PlatformFormat
    from lifttrestle.internal.telemetry.statsd_client import StatsdClient
    from lifttrestle.internal.telemetry.statsd_feed import StatsdFeed

    # Modules and classes live as long as the process, so that the garbage
    # collector need not traverse them.
    gc.freeze()
    gc.enable()
    clock = SystemClock()
    client = JsonClient(
        parse_address(settings.store.address), clock, STORE_TIMEOUT_SECONDS
    )
    process = FleetRouterProcess(
        settings,
        clock,
        random.Random(),
        PlatformRowStore(client),
        PlatformFormat(),
        PlatformDialect(),
        engine_calls.PlatformEngineControl(clock, ENGINE_TIMEOUT_SECONDS),
    )
    file = SettingsFile(path, options.metrics_port)
    control_tasks = [
        process.follow_settings(file.read_changed),
        sink.run(process.ticker),
    ]
    feed = None
    if options.statsd.host:
        feed = StatsdFeed(
            process.registry, StatsdClient(options.statsd), clock
        )
        control_tasks.append(feed.run())
    succeeded = await process.run(*control_tasks)
    if feed is not None:
        # Sends the changes since the last transmission, including the counts
        # of the shutdown.
        feed.send_metrics()
    ignore_signals()
    return EXIT_OK if succeeded else EXIT_FAILED


def _parse_statsd(text: str) -> StatsdSection:
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal():
        raise argparse.ArgumentTypeError(
            f'{text!r} is not HOST:PORT, such as 10.0.0.7:8125'
        )
    return StatsdSection(host=host, port=int(port))


class SettingsFile:
    """A settings file that the platform may rewrite at any time."""

    def __init__(self, path: pathlib.Path, metrics_port: int) -> None:
        self._path = path
        self._metrics_port = metrics_port
        self._last_content = b''

    def read_changed(self) -> FleetSettings | None:
        """Return the settings, or None if they are unchanged or invalid.

        Unchanged content is not parsed again, as each router reads the file
        every few seconds and it rarely changes.
        """
        try:
            content = self._path.read_bytes()
        except OSError as error:
            LOG.error('router.settings_refused', faults=[str(error)])
            return None
        if content == self._last_content:
            return None
        self._last_content = content
        result = check_node_settings(self._path, self._metrics_port)
        if isinstance(result, Failure):
            faults = [str(fault) for fault in result.failure()]
            LOG.error('router.settings_refused', faults=faults)
            return None
        return result.unwrap()
