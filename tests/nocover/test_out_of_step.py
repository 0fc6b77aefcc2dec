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

"""Streams taken up at a router that is out of step during a release."""

import asyncio
import unittest

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.fleet.process import FleetRouterProcess
from tests.support.version_fleet import CallerStream
from tests.support.version_fleet import count_mixed
from tests.support.version_fleet import MAX_MIXED
from tests.support.version_fleet import run_version_fleet
from tests.support.version_fleet import VersionFleet

STREAMS = 24
OLD = 'v1'
NEW = 'v1.1'
# Older than the list of a router in touch; routers serve with older ones.
CUT_SECONDS = 2.5
# Until new versions are stored, with the store in reach.
STORED_SECONDS = 1.5
BORN = 1_800_000_000_000
TRIES = 6
ENDED_SECONDS = 0.2


def cut_off_from_others(router: FleetRouterProcess) -> None:
    """Drop all messages between a router and the others."""
    loads = router._peer_loads
    loads.send = lambda message, key: None
    loads.datagram_received = lambda data, address: None
    router.relays._choose_relays = list
    for table in router._watches.list_all():
        table.set_direct_reads(True)


def cut_off_from_store(router: FleetRouterProcess) -> None:
    """Let all calls of a router to the store fail."""

    async def fail(*arguments: object, **options: object) -> None:
        raise PlatformUnavailable('cut off')

    router.store._client.call = fail
    for table in router._watches.list_all():
        table.restart()


def start_engine(
    fleet: VersionFleet, name: str, version: str, born: int
) -> None:
    """Start an engine, or start it again under its name."""
    engine = fleet.engines[name]
    engine.software_version = version
    engine.born = born
    fleet.put_engine(name, born=born)


async def take_up(
    fleet: VersionFleet, router: str, streams: list[CallerStream]
) -> None:
    """Take up what broke off, at a router, again and again."""
    address = fleet.get_address(router)
    for _ in range(TRIES):
        left = [item for item in streams if not item.is_complete]
        await asyncio.gather(*(item.call(address) for item in left))
        await asyncio.sleep(0.1)


class TestRelease(unittest.IsolatedAsyncioTestCase):
    async def _join_meanwhile(self, *cuts):
        """Return streams of a new version, taken up at a cut-off router."""
        async with run_version_fleet({'e1': OLD, 'e2': OLD}) as fleet:
            for cut in cuts:
                cut(fleet.routers['r3'])
            await fleet.add_engine('n1', NEW)
            await fleet.add_engine('n2', NEW)
            await asyncio.sleep(STORED_SECONDS)
            streams, tasks = await fleet.begin_streams('r1', STREAMS)
            await fleet.kill('r1')
            fleet.release()
            await asyncio.gather(*tasks)
            new = [item for item in streams if NEW in item.versions]
            await take_up(fleet, 'r3', new)
            await take_up(fleet, 'r2', new)
            return new

    async def test_streams_are_not_joined_from_two_versions(self):
        cases = {
            'the others': (cut_off_from_others,),
            'the store': (cut_off_from_store,),
            'both': (cut_off_from_others, cut_off_from_store),
        }
        for name, cuts in cases.items():
            with self.subTest(cut_off_from=name):
                new = await self._join_meanwhile(*cuts)
                self.assertGreater(len(new), 0)
                self.assertEqual(count_mixed(new), 0)


class TestRestartedInPlace(unittest.IsolatedAsyncioTestCase):
    async def _restart_meanwhile(self, *cuts):
        """Return streams of an engine that ends after another restarts."""
        versions = {'e1': OLD, 'e2': OLD, 'e3': OLD}
        async with run_version_fleet(versions) as fleet:
            for name in versions:
                start_engine(fleet, name, OLD, BORN)
            await asyncio.sleep(STORED_SECONDS)
            for cut in cuts:
                cut(fleet.routers['r3'])
            await asyncio.sleep(CUT_SECONDS)
            streams, tasks = await fleet.begin_streams('r3', STREAMS)
            for name in ('e2', 'e3'):
                fleet.engines[name].released.set()
            await asyncio.sleep(ENDED_SECONDS)
            broken = [item for item in streams if not item.is_complete]
            start_engine(fleet, 'e2', NEW, BORN + 1)
            await fleet.engines['e1'].stop()
            fleet.release()
            await asyncio.gather(*tasks)
            await take_up(fleet, 'r3', broken)
            await take_up(fleet, 'r2', broken)
            return broken

    async def test_streams_are_not_joined_from_two_versions(self):
        cases = {
            'the store': (cut_off_from_store,),
            'both': (cut_off_from_others, cut_off_from_store),
        }
        for name, cuts in cases.items():
            with self.subTest(cut_off_from=name):
                broken = await self._restart_meanwhile(*cuts)
                self.assertGreater(len(broken), MAX_MIXED)
                self.assertEqual(count_mixed(broken), 0)
