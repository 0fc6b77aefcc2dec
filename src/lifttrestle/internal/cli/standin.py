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

"""``lifttrestle standin``: runs a stand-in for an external system."""

import argparse
import asyncio

from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.standin.engine import EngineStandin
from lifttrestle.internal.standin.engine_settings import EngineSettings
from lifttrestle.internal.standin.objects import ObjectsStandin
from lifttrestle.internal.standin.server import run_until_signal
from lifttrestle.internal.standin.server import StandinServer
from lifttrestle.internal.standin.service import ServiceStandin
from lifttrestle.internal.standin.table import TableStandin
from lifttrestle.internal.standin.vms import VmsStandin
from lifttrestle.internal.store.vm import Vm
from lifttrestle.internal.store.vm import VmState


def add_commands(commands: 'argparse._SubParsersAction') -> None:
    """Add the command to the command line."""
    parser = commands.add_parser(
        'standin', help='run a stand-in for an external system'
    )
    kinds = parser.add_subparsers(
        title='stand-ins', dest='kind', required=True, metavar='KIND'
    )
    engine = _add_kind(kinds, 'engine', _make_engine)
    engine.add_argument('--name', default='engine')
    engine.add_argument(
        '--model',
        action='append',
        default=[],
        metavar='NAME=VERSION',
        help='a loaded model and the version of its weights',
    )
    engine.add_argument('--slots', type=int, default=32)
    engine.add_argument('--cache-blocks', type=int, default=4096)
    engine.add_argument('--prefill-rate', type=float, default=200000.0)
    engine.add_argument('--decode-seconds', type=float, default=0.002)
    engine.add_argument('--software', default='')
    engine.add_argument('--ignore-fencing', action='store_true')
    service = _add_kind(kinds, 'service', _make_service)
    service.add_argument('--name', default='service')
    _add_kind(kinds, 'table', _make_table)
    _add_kind(kinds, 'objects', _make_objects)
    vms = _add_kind(kinds, 'vms', _make_vms)
    vms.add_argument(
        '--vm', action='append', default=[], metavar='NAME=DATA_CENTRE'
    )


def run(options: argparse.Namespace) -> int:
    """Run the stand-in until a signal."""
    asyncio.run(_run(options))
    return 0


async def _run(options: argparse.Namespace) -> None:
    server = options.make(options)
    await run_until_signal(options.kind, server, options.listen)


def _add_kind(
    kinds: 'argparse._SubParsersAction', name: str, make: object
) -> argparse.ArgumentParser:
    parser = kinds.add_parser(name)
    parser.add_argument('--listen', default='127.0.0.1:0', metavar='IP:PORT')
    parser.set_defaults(run=run, make=make)
    return parser


def _make_engine(options: argparse.Namespace) -> StandinServer:
    settings = EngineSettings(
        name=options.name,
        versions=dict(item.split('=', 1) for item in options.model),
        cache_blocks=options.cache_blocks,
        slots=options.slots,
        prefill_tokens_per_second=options.prefill_rate,
        decode_seconds=options.decode_seconds,
        checks_fencing=not options.ignore_fencing,
        software=options.software,
    )
    return EngineStandin(settings, SystemClock()).server


def _make_service(options: argparse.Namespace) -> StandinServer:
    return ServiceStandin(options.name).server


def _make_table(_options: argparse.Namespace) -> StandinServer:
    return TableStandin().server


def _make_objects(_options: argparse.Namespace) -> StandinServer:
    return ObjectsStandin().server


def _make_vms(options: argparse.Namespace) -> StandinServer:
    pairs = (item.split('=', 1) for item in options.vm)
    vms = tuple(
        Vm(name, data_centre, VmState.LIVE) for name, data_centre in pairs
    )
    return VmsStandin(vms).server
