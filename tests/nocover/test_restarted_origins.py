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

"""Streams that are resumed after the routers that began them have ended."""

import asyncio
import unittest

from lifttrestle.internal.fleet.process import FleetRouterProcess
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.rows import RowChanges
from tests.support.fleet import wait_until
from tests.support.version_fleet import CallerStream
from tests.support.version_fleet import count_mixed
from tests.support.version_fleet import LEAST_RATIO
from tests.support.version_fleet import LEAST_RESUMED
from tests.support.version_fleet import MAX_MIXED
from tests.support.version_fleet import run_version_fleet
from tests.support.version_fleet import VersionFleet

VERSIONS = {'e1': 'v1', 'e2': 'v1', 'e3': 'v1.1', 'e4': 'v1.1'}
STREAMS = 24
# A stream that began within this time before its router ended may be lost.
SETTLING_SECONDS = 2.0


async def restart_all(fleet: VersionFleet) -> None:
    """Kill all routers at once and start them again."""
    names = list(fleet.routers)
    for name in names:
        await fleet.kill(name)
    for name in names:
        await fleet.add_router(name)


async def restart_in_turn(fleet: VersionFleet) -> None:
    """Kill each router and start it again before the next one."""
    for name in list(fleet.routers):
        await fleet.kill(name)
        await fleet.add_router(name)
        await wait_until(fleet.routers[name].is_ready)


async def stop_in_turn(fleet: VersionFleet) -> None:
    """Stop each router as planned and start it again before the next one."""
    for name in list(fleet.routers):
        await fleet.routers.pop(name).stop()
        await fleet.add_router(name)
        await wait_until(fleet.routers[name].is_ready)


def hold_reads(fleet: VersionFleet, table: str) -> None:
    """Let the store answer no read of a table any more."""
    rows = fleet.store.rows
    read_table, watch_table = rows.read_table, rows.watch_table

    async def read_others(name: str) -> RowChanges:
        if name == table:
            await asyncio.Event().wait()
        return await read_table(name)

    async def watch_others(name: str, *arguments: int) -> RowChanges:
        if name == table:
            await asyncio.Event().wait()
        return await watch_table(name, *arguments)

    rows.read_table = read_others
    rows.watch_table = watch_others


def has_upstreams(router: FleetRouterProcess) -> bool:
    """Return whether a router can serve requests."""
    return router.catalogue is not None and bool(list(router.directory))


class TestRestarts(unittest.IsolatedAsyncioTestCase):
    async def _resume_after(self, restart):
        """Return streams that broke off, and new ones beside them."""
        async with run_version_fleet(VERSIONS) as fleet:
            streams, tasks = await fleet.begin_streams('r1', STREAMS)
            await asyncio.sleep(SETTLING_SECONDS)
            await restart(fleet)
            fleet.release()
            await asyncio.gather(*tasks)
            await fleet.wait_settled()
            broken = [item for item in streams if not item.is_complete]
            new = [CallerStream(f'n{index}') for index in range(STREAMS)]
            address = fleet.get_address('r2')
            await asyncio.gather(*(item.call(address) for item in broken))
            await asyncio.gather(*(item.call(address) for item in new))
            return broken, new

    async def test_regression_resumed_streams_refused_after_restarts(self):
        for restart in (restart_all, restart_in_turn, stop_in_turn):
            with self.subTest(restart.__name__):
                broken, new = await self._resume_after(restart)
                self.assertGreaterEqual(len(broken), LEAST_RESUMED)
                begun = sum(item.is_complete for item in new) / len(new)
                resumed = sum(item.is_complete for item in broken)
                self.assertGreaterEqual(
                    resumed / len(broken), LEAST_RATIO * begun
                )
                self.assertLessEqual(count_mixed(broken), MAX_MIXED)

    async def test_regression_take_up_before_the_stored_versions_are_read(
        self,
    ):
        async with run_version_fleet({'e1': 'v1', 'e2': 'v1'}) as fleet:
            streams, tasks = await fleet.begin_streams('r1', STREAMS)
            names = list(fleet.routers)
            for name in names:
                await fleet.kill(name)
            fleet.release()
            await asyncio.gather(*tasks)
            for name in ('e1', 'e2'):
                fleet.store.remove('servers', name)
            await fleet.add_engine('e3', 'v1.1')
            hold_reads(fleet, FLEET_TABLE)
            for name in names:
                await fleet.add_router(name)
            await wait_until(lambda: has_upstreams(fleet.routers['r2']))
            address = fleet.get_address('r2')
            await asyncio.gather(*(item.call(address) for item in streams))
            self.assertEqual(
                [item.statuses for item in streams], [[200, 503]] * STREAMS
            )
            self.assertEqual(count_mixed(streams), 0)


if __name__ == '__main__':
    unittest.main()
