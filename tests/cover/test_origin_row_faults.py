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

"""Regression tests of the stored origins of streams."""

import unittest

from lifttrestle.internal.fleet.streams.ledger import MAX_RECORDS
from lifttrestle.internal.fleet.streams.open_streams import MAX_OPEN
from lifttrestle.internal.fleet.streams.origin import StreamOrigin
from lifttrestle.internal.fleet.streams.origin_row import encode_origin_row
from lifttrestle.internal.fleet.streams.origin_row import ORIGIN_TABLE
from tests.cover.test_origin_rows import make_fleet
from tests.cover.test_origin_rows import NEW
from tests.cover.test_origin_rows import OLD
from tests.cover.test_origin_rows import restart_all
from tests.cover.test_origin_rows import ROW_BYTES


class TestFaults(unittest.IsolatedAsyncioTestCase):
    async def test_regression_rows_that_disagree_bind_to_one_of_them(self):
        for restarts in (False, True):
            with self.subTest(restarts=restarts):
                fleet = make_fleet(60)
                fleet.begin(0, 'id1', OLD)
                fleet.begin(1, 'id1', NEW)
                await fleet.store_origins()
                if restarts:
                    restart_all(fleet)
                for router in range(2, 60, 6):
                    found = await fleet.find(router, 'id1')
                    self.assertIsNone(found.origin)

    async def test_regression_router_that_began_two_under_one_id(self):
        fleet = make_fleet(2)
        fleet.begin(0, 'id1', OLD)
        fleet.begin(0, 'id1', NEW)
        await fleet.store_origins()
        restart_all(fleet)
        self.assertIsNone((await fleet.find(1, 'id1')).origin)

    async def test_regression_read_evicts_what_was_sought_or_known(self):
        fleet = make_fleet(2)
        fleet.begin(0, 'sought', OLD)
        await fleet.store_origins()
        restart_all(fleet)
        fleet.begin(1, 'known', NEW)
        for number in range(MAX_RECORDS // MAX_OPEN + 2):
            origin = StreamOrigin('s', OLD, 1)
            first = number * MAX_OPEN
            streams = dict.fromkeys(range(first, first + MAX_OPEN), origin)
            now_ms = int(fleet.clock.now().timestamp() * 1000)
            value = encode_origin_row(streams, now_ms)
            fleet.rows.put(ORIGIN_TABLE, f'x{number}', value)
        fleet.gone.add(0)
        for name, version in (('sought', OLD), ('known', NEW)):
            found = await fleet.find(1, name)
            self.assertIsNotNone(found.origin, name)
            self.assertEqual(found.origin.software_version, version)

    async def test_regression_streams_unstored_after_a_removal(self):
        fleet = make_fleet(1)
        fleet.begin(0, 'id1', OLD)
        await fleet.store_origins()
        rows = fleet.routers[0]._origin_rows
        fleet.clock.advance(1)
        await rows.write_due(needed=False)
        fleet.clock.advance(1)
        await rows.write_due(needed=True)
        restart_all(fleet)
        self.assertIsNotNone((await fleet.find(0, 'id1')).origin)

    async def test_regression_adopted_streams_evict_new_ones(self):
        fleet = make_fleet(1)
        for number in range(MAX_OPEN):
            fleet.begin(0, f'old{number}', OLD)
        await fleet.store_origins()
        restart_all(fleet)
        fleet.begin(0, 'new', NEW)
        await fleet.store_origins()
        restart_all(fleet)
        self.assertIsNotNone((await fleet.find(0, 'new')).origin)

    async def test_regression_row_with_many_starts_exceeds_the_store(self):
        fleet = make_fleet(1)
        for number in range(MAX_OPEN):
            origin = StreamOrigin('s' * 20, OLD, (1 << 64) - 1 - number)
            fleet.routers[0].record('', f'id{number}', origin)
        await fleet.store_origins()
        (row,) = (await fleet.rows.read_table(ORIGIN_TABLE)).rows
        self.assertLess(len(row.value) * 4 / 3, ROW_BYTES)

    async def test_regression_callers_wait_for_removals_of_rows(self):
        fleet = make_fleet(2)
        for number in range(50):
            value = encode_origin_row({}, 0)
            fleet.rows.put(ORIGIN_TABLE, f'x{number}', value)
        version = fleet.rows.version
        await fleet.find(1, 'id1')
        self.assertEqual(fleet.rows.version, version)
        for number in range(1, 51):
            fleet.clock.advance(1)
            await fleet.routers[1].write_due_origins()
            self.assertEqual(fleet.rows.version, version + number)
        self.assertEqual((await fleet.rows.read_table(ORIGIN_TABLE)).rows, ())

    async def test_regression_rows_lost_in_a_restore_stay_lost(self):
        fleet = make_fleet(2)
        snapshot = fleet.rows.take_snapshot()
        fleet.begin(0, 'id1', OLD)
        await fleet.store_origins()
        fleet.rows.restore(snapshot)
        await fleet.store_origins()
        restart_all(fleet)
        self.assertIsNotNone((await fleet.find(1, 'id1')).origin)


if __name__ == '__main__':
    unittest.main()
