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

"""Odd entries of other writers among those of the upstreams."""

import asyncio
import unittest

from tests.support.fleet import wait_until
from tests.support.version_fleet import CallerStream
from tests.support.version_fleet import run_version_fleet
from tests.support.version_fleet import VersionFleet

DEPTH = 100_000
LARGE = (2**53, 2**63 - 1, 2**63, 2**64 - 1, 2**64, 10**30)
FIELDS = ('slots', 'seq_no', 'born', 'cold_left_ms')
RAW = (
    b'[' * DEPTH,
    b'{"models":' + b'[' * DEPTH + b']' * DEPTH + b'}',
    b'[' * 900 + b']' * 900,
    b'{"slots":1e400}',
    b'{"slots":' + b'9' * 5000 + b'}',
    b'\xff\xfe',
    b'',
    b'null',
)
ODD_FIELDS = (
    {'address': '127.0.0.1:70000'},
    {'address': '127.0.0.1:0'},
    {'address': '127.0.0.1:-1'},
    {'address': '127.0.0.1:٨٠'},
    {'address': 'x:' + '9' * 5000},
    {'version': 7},
    {'zone': 'z' * 9000},
    {'zone': 'a\r\nb'},
    {'service': 's' * 9000},
    {'slots': -1},
    {'slots': 0},
    {'models': [{'name': 'm' * 9000, 'version': 1}]},
    *({'models': [{'name': 'm', 'version': large}]} for large in LARGE),
    *({field: large} for field in FIELDS for large in LARGE),
)
ROUTERS = ('r1', 'r2', 'r3')
STREAMS = 12


async def put_all(fleet: VersionFleet) -> None:
    """Write all odd entries, as engines with good addresses otherwise."""
    for number, value in enumerate(RAW):
        fleet.store.rows.put('servers', f'raw{number}', value)
    for number, fields in enumerate(ODD_FIELDS):
        name = f'odd{number}'
        fleet.engines[name] = fleet.engines['e1']
        fleet.put_engine(name, **fields)
        del fleet.engines[name]
    fleet.store.put('servers', 'key\nwith a line break', {'slots': 1})


async def check(case: unittest.TestCase, fleet: VersionFleet) -> None:
    """Check that all routers serve, and follow the list."""
    await fleet.add_engine('later', 'v1')
    for name, router in fleet.routers.items():
        with case.subTest(name):
            await wait_until(
                lambda router=router: router.directory.get('later') is not None
            )
            case.assertFalse(router._control_tasks.failed)
    streams = [CallerStream(f's{number}') for number in range(STREAMS)]
    await asyncio.gather(
        *(
            stream.call(fleet.get_address(ROUTERS[number % len(ROUTERS)]))
            for number, stream in enumerate(streams)
        )
    )
    served = sum(stream.is_complete for stream in streams)
    case.assertEqual(served, STREAMS, [item.statuses for item in streams])
    for router in fleet.routers.values():
        case.assertFalse(router._control_tasks.failed)


class TestOddEntries(unittest.IsolatedAsyncioTestCase):
    async def test_routers_follow_the_list_and_serve_beside_odd_entries(self):
        async with run_version_fleet({'e1': 'v1', 'e2': 'v1'}) as fleet:
            await put_all(fleet)
            await asyncio.sleep(2.0)
            await check(self, fleet)

    async def test_routers_start_beside_odd_entries(self):
        async with run_version_fleet({'e1': 'v1', 'e2': 'v1'}) as fleet:
            await put_all(fleet)
            for name in ROUTERS:
                await fleet.kill(name)
            for name in ROUTERS:
                await fleet.add_router(name)
            for name in ROUTERS:
                await wait_until(fleet.routers[name].is_ready)
            await asyncio.sleep(2.0)
            await check(self, fleet)
