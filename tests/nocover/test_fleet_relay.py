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

"""Tests of routers that relay the shared tables to each other."""

import asyncio
import contextlib
import unittest
from unittest import mock

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.fleet.state import relay_follower
from lifttrestle.internal.fleet.state.relay_follower import MIN_RELAYS
from lifttrestle.internal.fleet.state.relay_follower import RELAY_RANKING_KEY
from lifttrestle.internal.fleet.state.relay_messages import encode_frame
from lifttrestle.internal.fleet.state.relay_messages import read_frame
from lifttrestle.internal.fleet.state.relay_messages import SubscribeRequest
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.routing.rendezvous import rank_names
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import make_router
from tests.support.fleet import PROMISES
from tests.support.fleet import wait_until
from tests.support.fleet_store import FleetStoreStandin

# Longer than three routers need to discover each other.
LATE_SECONDS = 0.25
NAMES = ('front-a-1', 'front-a-2', 'front-a-3')


def find_follower_name():
    """Return the name of a fourth router that would not be a relay."""
    for number in range(100):
        name = f'front-b-{number}'
        keys = [f'router/{item}' for item in (*NAMES, name)]
        if (
            f'router/{name}'
            not in rank_names(RELAY_RANKING_KEY, keys)[:MIN_RELAYS]
        ):
            return name
    raise AssertionError('every name would be that of a relay')


NEW_FOLLOWER = find_follower_name()


@contextlib.asynccontextmanager
async def run_routers():
    """Run three routers with one store; two of them are relays."""
    store = FleetStoreStandin()
    address = await store.start()
    store.put('op', 'config', CONFIGURATION)
    routers = [make_router(address, PROMISES, vm) for vm in NAMES]
    for router in routers:
        await router.start()
    try:
        await wait_until(
            lambda: all(item.roster.live == len(NAMES) for item in routers)
        )
        relays = [item for item in routers if item.relays.is_relay()]
        (follower,) = [item for item in routers if item not in relays]
        # The first updates may arrive some time after the request.
        await wait_until(lambda: all(item.is_ready() for item in routers))
        await wait_until(lambda: not follower.relays.reads_store)
        yield store, relays, follower
    finally:
        for router in routers:
            await router.stop()
        await store.server.stop()


class TestRelay(unittest.IsolatedAsyncioTestCase):
    async def test_change_reaches_a_router_that_does_not_read_the_store(self):
        async with run_routers() as (store, relays, follower):
            self.assertEqual(len(relays), 2)
            store.put('op', 'config', {**CONFIGURATION, 'version': 9})
            await wait_until(lambda: follower.catalogue.version == 9)
            self.assertFalse(follower.relays.reads_store)

    async def test_gauges_show_who_reads_the_store_and_its_followers(self):
        async with run_routers() as (store, relays, follower):
            await wait_until(
                lambda: all(item.relay_server.followers for item in relays)
            )
            for router, reads, followers in (
                (relays[0], 1.0, 1.0),
                (follower, 0.0, 0.0),
            ):
                read = router.registry.get_sample_value
                self.assertEqual(read('lifttrestle_reads_store'), reads)
                self.assertEqual(read('lifttrestle_followers'), followers)
                self.assertEqual(read('lifttrestle_live_routers'), 3.0)
                self.assertLess(read('lifttrestle_view_age_seconds'), 60.0)
                self.assertEqual(read('lifttrestle_upstreams'), 0.0)
                self.assertEqual(read('lifttrestle_requests_running'), 0.0)

    async def test_router_reads_the_store_when_its_relays_are_closed(self):
        async with run_routers() as (store, relays, follower):
            for relay in relays:
                await relay.relay_server.close()
            await wait_until(lambda: follower.relays.reads_store)
            store.put('op', 'config', {**CONFIGURATION, 'version': 9})
            await wait_until(lambda: follower.catalogue.version == 9)

    async def test_router_refused_by_the_store_follows_relays(self):
        async with run_routers() as (store, relays, follower):
            follower.store.close()
            follower.store.watch_table = _refuse
            store.put('op', 'config', {**CONFIGURATION, 'version': 9})
            await wait_until(lambda: follower.catalogue.version == 9)
            await wait_until(follower.is_ready)


class TestLateUpdates(unittest.IsolatedAsyncioTestCase):
    async def test_follower_waits_for_relays_that_answer_late(self):
        # A router has no configuration until its relays have responded, so
        # ``run_routers`` must wait until all routers are ready.
        async def read_late(reader, max_bytes):
            data = await read_frame(reader, max_bytes)
            await asyncio.sleep(LATE_SECONDS)
            return data

        with mock.patch.object(relay_follower, 'read_frame', read_late):
            async with run_routers() as (store, relays, follower):
                self.assertIsNotNone(follower.catalogue)
                self.assertFalse(follower.relays.reads_store)


class TestStart(unittest.IsolatedAsyncioTestCase):
    async def test_router_that_starts_among_others_reads_only_the_roster(self):
        # Without relays at the start, each of 195 routers read every table
        # and sent one watch of it.
        async with run_routers() as (store, relays, follower):
            new_router = make_router(store.address, PROMISES, NEW_FOLLOWER)
            reads = []
            watches = []
            read_table = new_router.store.read_table
            watch_table = new_router.store.watch_table

            async def note_read(table):
                reads.append(table)
                return await read_table(table)

            async def note_watch(table, after, wait_seconds):
                watches.append(table)
                return await watch_table(table, after, wait_seconds)

            new_router.store.read_table = note_read
            new_router.store.watch_table = note_watch
            await new_router.start()
            try:
                await wait_until(new_router.is_ready)
                self.assertFalse(new_router.relays.is_relay())
                self.assertEqual(reads, [FLEET_TABLE])
                self.assertLessEqual(len(watches), 1)
            finally:
                await new_router.stop()

    async def test_starting_router_without_relays_reads_the_tables_itself(
        self,
    ):
        async with run_routers() as (store, relays, follower):
            for relay in relays:
                await relay.relay_server.close()
            new_router = make_router(store.address, PROMISES, NEW_FOLLOWER)
            await new_router.start()
            try:
                await wait_until(new_router.is_ready)
            finally:
                await new_router.stop()


class TestInvalidData(unittest.IsolatedAsyncioTestCase):
    async def test_invalid_data_closes_only_its_own_connection(self):
        async with run_routers() as (store, relays, follower):
            host, port = relays[0].roster.address.split(':')
            for data in (
                b'GET / HTTP/1.1\r\n\r\n',
                b'\xff\xff\xff\xff',
                b'\x00\x00\x00\x03abc',
                b'\x00\x00\x00\x01\xc1',
                b'\x00',
            ):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(data)
                writer.write_eof()
                with contextlib.suppress(ConnectionError):
                    self.assertEqual(await reader.read(), b'')
                writer.close()
            store.put('op', 'config', {**CONFIGURATION, 'version': 9})
            await wait_until(lambda: follower.catalogue.version == 9)

    async def test_follower_that_reads_nothing_is_disconnected(self):
        async with run_routers() as (store, relays, follower):
            server = relays[0].relay_server
            before = server.followers
            host, port = relays[0].roster.address.split(':')
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1024
            )
            writer.write(encode_frame(SubscribeRequest(0, {})))
            await wait_until(lambda: server.followers == before + 1)
            padding = 'x' * 200_000
            version = 10
            while server.followers > before:
                version += 1
                store.put(
                    'op',
                    'config',
                    {**CONFIGURATION, 'version': version, 'pad': padding},
                )
                await wait_until(
                    lambda: relays[0].catalogue.version == version
                )
            writer.close()
        self.assertLess(version, 200)


async def _refuse(table, after, wait_seconds):
    raise PlatformUnavailable(f'watch of table {table!r} refused')
