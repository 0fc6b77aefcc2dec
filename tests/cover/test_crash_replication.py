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

"""Tests of the replication of crash records and the rows of holds."""

import asyncio
import unittest

from lifttrestle.internal.fleet.crashes.held_row import build_held_row
from lifttrestle.internal.fleet.crashes.held_row import build_key
from lifttrestle.internal.fleet.crashes.hold_rules import HOLD_SECONDS
from lifttrestle.internal.fleet.crashes.holds import MAX_HELD
from lifttrestle.internal.fleet.crashes.messages import CrashItem
from lifttrestle.internal.fleet.crashes.messages import CrashUpdate
from lifttrestle.internal.fleet.crashes.replicator import MAX_ITEMS
from lifttrestle.internal.fleet.crashes.replicator import SEND_COUNT
from lifttrestle.internal.fleet.state.load_messages import encode_message
from lifttrestle.internal.fleet.state.load_messages import MAX_DATAGRAM_BYTES
from lifttrestle.internal.fleet.state.owners import OWNER_COUNT
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.rows import VersionedRow
from tests.support.crash_fleet import CrashFleet

DIGEST = 0xCAE714BDFB5AE264
SIZES = (7, 82, 195)


class TestReplication(unittest.TestCase):
    def test_crashes_of_three_routers_are_known_to_all(self):
        for routers in SIZES:
            for lost_share in (0.0, 0.1):
                with self.subTest(routers=routers, lost=lost_share):
                    fleet = CrashFleet(routers, lost_share=lost_share)
                    for number in range(3):
                        self.assertEqual(fleet.count_holding(DIGEST), 0)
                        fleet.crash(number, number, [DIGEST])
                        fleet.send_updates()
                    known = fleet.count_holding(DIGEST)
                    # Routers that receive no message read the row.
                    self.assertGreaterEqual(known, 0.97 * routers)

    def test_message_count_does_not_grow_with_the_fleet(self):
        # Each of 20 routers has one request in progress at the engine.
        for routers in SIZES[1:]:
            with self.subTest(routers=routers):
                fleet = CrashFleet(routers)
                for number in range(20):
                    fleet.crash(number, 0, [DIGEST + number])
                fleet.send_updates()
                self.assertLessEqual(
                    fleet.messages, 20 * OWNER_COUNT * SEND_COUNT
                )

    def test_request_that_succeeded_elsewhere_is_not_held(self):
        fleet = CrashFleet(82)
        fleet.trackers[81].note_success(DIGEST)
        for number in range(5):
            fleet.crash(number, number, [DIGEST])
        fleet.send_updates()
        self.assertEqual(fleet.count_holding(DIGEST), 0)
        rows = asyncio.run(self.write_all(fleet))
        self.assertEqual(rows, [])

    def test_later_success_clears_the_request_at_all_routers(self):
        fleet = CrashFleet(82)
        for number in range(3):
            fleet.crash(number, number, [DIGEST])
        fleet.send_updates()
        self.assertEqual(fleet.count_holding(DIGEST), 82)
        # This run was in progress while the other upstreams crashed.
        fleet.trackers[81].note_success(DIGEST)
        fleet.send_updates()
        self.assertEqual(fleet.count_holding(DIGEST), 0)

    def test_few_routers_write_the_row(self):
        fleet = CrashFleet(195)
        for number in range(3):
            fleet.crash(number, number, [DIGEST])
            fleet.send_updates()
        writers = [item for item in fleet.trackers if item.holds._due]
        self.assertLessEqual(len(writers), 3 + OWNER_COUNT)
        rows = asyncio.run(self.write_all(fleet))
        self.assertEqual(rows, [build_key(DIGEST)])

    async def write_all(self, fleet):
        """Run the due writes of each router; return the keys of the rows."""
        fleet.clock.advance(2.0)
        for tracker in fleet.trackers:
            await tracker.holds.write_due()
        return [
            row.key for row in (await fleet.rows.read_table(FLEET_TABLE)).rows
        ]

    def test_message_fits_a_datagram(self):
        starts = list(range(2**32 - 64, 2**32))
        item = CrashItem(2**64 - 1, starts[:8], starts[8:16], True)
        update = CrashUpdate('front-bkk-lakkrabang-12', [item] * MAX_ITEMS)
        self.assertLess(len(encode_message(update)), MAX_DATAGRAM_BYTES)


class TestRows(unittest.TestCase):
    def setUp(self):
        self.fleet = CrashFleet(1, upstreams=12)
        self.holds = self.fleet.trackers[0].holds

    def hold(self, digest, workspace='acme'):
        row = build_held_row(self.fleet.clock, workspace, 'safe', 3, 'r0')
        self.holds.schedule_write(digest, 0.0, row)
        asyncio.run(self.holds.write_due())

    def test_hold_expires_and_can_begin_again(self):
        self.hold(DIGEST)
        self.assertTrue(self.fleet.trackers[0].is_held(DIGEST))
        self.fleet.clock.advance(HOLD_SECONDS + 1)
        self.assertFalse(self.fleet.trackers[0].is_held(DIGEST))
        for upstream in range(3):
            self.fleet.crash(0, upstream, [DIGEST])
        self.fleet.clock.advance(1.0)
        asyncio.run(self.holds.write_due())
        self.assertIsNotNone(self.holds.get(DIGEST))

    def test_rows_are_bounded_and_evicted_within_their_workspace(self):
        self.fleet.trackers[0].decisions.must_hold = lambda digest: True
        self.hold(1, 'vault')
        for number in range(MAX_HELD + 5):
            self.fleet.clock.advance(0.01)
            self.hold(100 + number)
        self.assertEqual(len(self.holds), MAX_HELD)
        self.assertIsNotNone(self.holds.get(1))
        self.assertIsNone(self.holds.get(100))

    def test_retries_at_an_unavailable_store_back_off(self):
        self.fleet.rows.down = True
        times = []
        write_row = self.fleet.rows.write_row

        async def note(write):
            times.append(self.fleet.clock.monotonic())
            return await write_row(write)

        self.fleet.rows.write_row = note
        self.fleet.trackers[0].decisions.must_hold = lambda digest: True
        self.hold(DIGEST)
        for _ in range(100):
            self.fleet.clock.advance(0.1)
            asyncio.run(self.holds.write_due())
        self.assertLessEqual(len(times), 9)
        self.fleet.rows.down = False
        self.fleet.clock.advance(2.0)
        asyncio.run(self.holds.write_due())
        self.assertIsNotNone(self.holds.get(DIGEST))

    def test_row_whose_answer_was_lost_is_not_written_twice(self):
        self.fleet.rows.lose_answers = True
        self.fleet.trackers[0].decisions.must_hold = lambda digest: True
        self.hold(DIGEST)
        self.fleet.rows.lose_answers = False
        version = self.fleet.rows.version
        self.fleet.clock.advance(1.0)
        asyncio.run(self.holds.write_due())
        self.assertEqual(self.fleet.rows.version, version)
        self.assertEqual(self.holds._due, {})

    def test_invalid_row_holds_no_request(self):
        for key, value in (
            ('held/zz', b'{}'),
            ('held/', b'{}'),
            (build_key(DIGEST), b'{'),
            (build_key(DIGEST), b'[' * 5000),
            (build_key(DIGEST), b'{"workspace": 7}'),
        ):
            with self.subTest(key=key, value=value[:20]):
                self.holds.apply_row(VersionedRow(key, value, 1))
                self.assertEqual(len(self.holds), 0)
