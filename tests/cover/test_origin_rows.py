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

"""Tests of the stored origins of streams."""

import unittest

from lifttrestle.internal.fleet.policy import row_pacing
from lifttrestle.internal.fleet.streams.open_streams import MAX_OPEN
from lifttrestle.internal.fleet.streams.origin import StreamOrigin
from lifttrestle.internal.fleet.streams.origin_row import decode_origin_row
from lifttrestle.internal.fleet.streams.origin_row import encode_origin_row
from lifttrestle.internal.fleet.streams.origin_row import list_row_origins
from lifttrestle.internal.fleet.streams.origin_row import ORIGIN_TABLE
from lifttrestle.internal.fleet.streams.origin_rows import ABANDONED_SECONDS
from lifttrestle.internal.fleet.streams.origins import OriginSource
from tests.support.origin_fleet import LIFE_SECONDS
from tests.support.origin_fleet import OriginFleet

OLD = 'v1'
NEW = 'v1.1'
# The platform's limit for the value of a row, in bytes.
ROW_BYTES = 65_536


def make_fleet(routers: int, *versions: str) -> OriginFleet:
    """Return a fleet with an upstream of each version."""
    fleet = OriginFleet(routers)
    for version in versions or (OLD, NEW):
        fleet.list_upstream(version, version)
    return fleet


def restart_all(fleet: OriginFleet) -> None:
    """End all routers at once and start them again."""
    for number in range(len(fleet.routers)):
        fleet.restart(number)
    for version in (OLD, NEW):
        fleet.list_upstream(version, version)


class TestRestarts(unittest.IsolatedAsyncioTestCase):
    async def _begin(self, fleet, count=8):
        for number in range(count):
            fleet.begin(
                number % len(fleet.routers),
                f'id{number}',
                OLD if number % 2 else NEW,
            )
        await fleet.store_origins()

    async def _check_known(self, fleet, count=8):
        for number in range(count):
            found = await fleet.find(0, f'id{number}')
            version = OLD if number % 2 else NEW
            self.assertEqual(found.origin.software_version, version)

    async def test_origins_are_known_after_the_end_of_all_routers(self):
        for routers in (2, 6, 60):
            with self.subTest(routers=routers):
                fleet = make_fleet(routers)
                await self._begin(fleet)
                restart_all(fleet)
                found = await fleet.find(1, 'id1')
                self.assertIs(found.source, OriginSource.STORE)
                await self._check_known(fleet)

    async def test_streams_of_an_earlier_start_stay_stored(self):
        fleet = make_fleet(3)
        await self._begin(fleet)
        restart_all(fleet)
        # Each router stores a stream of its own before all end again.
        for number in range(3):
            fleet.begin(number, f'new{number}', OLD)
        await fleet.store_origins()
        restart_all(fleet)
        await self._check_known(fleet)

    async def test_streams_that_began_before_the_release_are_stored(self):
        fleet = make_fleet(3, OLD)
        fleet.begin(0, 'id1', OLD)
        await fleet.store_origins()
        self.assertEqual(await self._list_rows(fleet), ())
        fleet.list_upstream(NEW, NEW)
        await fleet.store_origins()
        restart_all(fleet)
        found = await fleet.find(1, 'id1')
        self.assertEqual(found.origin.software_version, OLD)

    async def test_complete_streams_are_not_stored(self):
        fleet = make_fleet(2)
        fleet.begin(0, 'id1', OLD)
        fleet.routers[0].note_complete('', 'id1')
        fleet.begin(0, 'id3', OLD)
        await fleet.store_origins()
        restart_all(fleet)
        self.assertIsNone((await fleet.find(1, 'id1')).origin)
        self.assertIsNotNone((await fleet.find(1, 'id3')).origin)

    async def test_origin_of_another_workspace_stays_unknown(self):
        fleet = make_fleet(2)
        fleet.begin(0, 'id1', OLD, 'acme')
        await fleet.store_origins()
        restart_all(fleet)
        self.assertIsNone((await fleet.find(1, 'id1', 'vault')).origin)
        self.assertIsNotNone((await fleet.find(1, 'id1', 'acme')).origin)

    async def _list_rows(self, fleet):
        return (await fleet.rows.read_table(ORIGIN_TABLE)).rows


class TestStore(unittest.IsolatedAsyncioTestCase):
    async def _list_rows(self, fleet):
        return (await fleet.rows.read_table(ORIGIN_TABLE)).rows

    async def test_unavailable_store_leaves_the_origin_unknown(self):
        fleet = make_fleet(2)
        fleet.rows.down = True
        fleet.begin(0, 'id1', OLD)
        await fleet.store_origins()
        restart_all(fleet)
        self.assertIsNone((await fleet.find(1, 'id1')).origin)

    async def test_origins_are_stored_once_the_store_is_back(self):
        fleet = make_fleet(2)
        fleet.rows.down = True
        fleet.begin(0, 'id1', OLD)
        await fleet.store_origins()
        fleet.rows.down = False
        await fleet.store_origins()
        restart_all(fleet)
        self.assertIsNotNone((await fleet.find(1, 'id1')).origin)

    async def test_origins_are_stored_though_an_answer_was_lost(self):
        fleet = make_fleet(2)
        fleet.rows.lose_answers = True
        fleet.begin(0, 'id1', OLD)
        await fleet.store_origins()
        fleet.rows.lose_answers = False
        fleet.begin(0, 'id3', OLD)
        await fleet.store_origins()
        restart_all(fleet)
        for name in ('id1', 'id3'):
            self.assertIsNotNone((await fleet.find(1, name)).origin)

    async def test_origins_are_stored_again_after_a_restore(self):
        fleet = make_fleet(2)
        snapshot = fleet.rows.take_snapshot()
        fleet.begin(0, 'id1', OLD)
        await fleet.store_origins()
        fleet.rows.restore(snapshot)
        fleet.begin(0, 'id3', OLD)
        await fleet.store_origins()
        await fleet.store_origins()
        restart_all(fleet)
        for name in ('id1', 'id3'):
            self.assertIsNotNone((await fleet.find(1, name)).origin)

    async def test_invalid_row_is_ignored_and_replaced(self):
        fleet = make_fleet(2)
        for value in (
            b'',
            b'{}',
            b'{"written_at_ms":1,"origins":[],"streams":[[1,0]]}',
        ):
            with self.subTest(value):
                fleet.rows.put(ORIGIN_TABLE, 'r0', value)
                restart_all(fleet)
                fleet.begin(0, 'id1', OLD)
                await fleet.store_origins()
                restart_all(fleet)
                self.assertIsNotNone((await fleet.find(1, 'id1')).origin)

    async def test_row_is_removed_after_the_release(self):
        fleet = make_fleet(1)
        fleet.begin(0, 'id1', OLD)
        await fleet.write_rows()
        await fleet.store_origins()
        self.assertEqual(len(await self._list_rows(fleet)), 1)
        fleet.remove_upstream(NEW)
        fleet.clock.advance(LIFE_SECONDS + 1)
        await fleet.write_rows()
        fleet.clock.advance(LIFE_SECONDS + 1)
        await fleet.write_rows()
        await fleet.store_origins()
        self.assertEqual(await self._list_rows(fleet), ())

    async def test_row_of_a_router_that_is_gone_for_good_is_removed(self):
        fleet = make_fleet(2)
        fleet.begin(0, 'id1', OLD)
        await fleet.store_origins()
        fleet.gone.add(0)
        fleet.clock.advance(ABANDONED_SECONDS + 1)
        fleet.begin(1, 'id2', OLD)
        await fleet.store_origins()
        keys = [row.key for row in await self._list_rows(fleet)]
        self.assertEqual(keys, ['r1'])


class TestCost(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_is_stored_while_there_is_one_version(self):
        fleet = make_fleet(6, OLD)
        for number in range(20):
            fleet.begin(number % 6, f'id{number}', OLD)
            await fleet.store_origins()
        self.assertEqual(fleet.rows.version, 0)

    async def test_writes_do_not_grow_with_the_fleet(self):
        for routers in (6, 60, 195, 350):
            with self.subTest(routers=routers):
                self.assertLessEqual(
                    routers / row_pacing.get_write_seconds(routers),
                    row_pacing.MAX_WRITES_PER_SECOND,
                )

    async def test_unknown_streams_share_one_read(self):
        fleet = make_fleet(2)
        reads = fleet.count_reads(ORIGIN_TABLE)
        for _ in range(3):
            await fleet.find_many(1, [f'x{number}' for number in range(50)])
        self.assertLessEqual(reads(), 3)

    async def test_full_row_fits_the_store(self):
        streams = {
            (1 << 64) - 1 - number: StreamOrigin('s' * 20, OLD, (1 << 64) - 1)
            for number in range(MAX_OPEN)
        }
        value = encode_origin_row(streams, 1 << 41)
        self.assertLess(len(value) * 4 / 3, ROW_BYTES)
        row = decode_origin_row(value)
        self.assertEqual(list_row_origins(row), streams)


if __name__ == '__main__':
    unittest.main()
