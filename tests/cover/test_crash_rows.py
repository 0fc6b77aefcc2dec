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

"""Tests of the stored crashes under requests and prompt parts."""

import unittest

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.clock.unix_time import get_unix_ms
from lifttrestle.internal.fleet.crashes.crash_row import CRASH_PREFIX
from lifttrestle.internal.fleet.crashes.crash_row import CrashRow
from lifttrestle.internal.fleet.crashes.crash_row import decode_crash_row
from lifttrestle.internal.fleet.crashes.crash_row import encode_crash_row
from lifttrestle.internal.fleet.crashes.crash_row import StoredRecord
from lifttrestle.internal.fleet.crashes.crash_rows import MAX_STORED_STARTS
from lifttrestle.internal.fleet.crashes.good_ends import TURN_SECONDS
from lifttrestle.internal.fleet.crashes.held_row import build_key
from lifttrestle.internal.fleet.crashes.hold_rules import EPISODE_SECONDS
from lifttrestle.internal.fleet.crashes.hold_rules import HOLD_SECONDS
from lifttrestle.internal.fleet.crashes.ledger import YOUNG_SECONDS
from lifttrestle.internal.fleet.crashes.loss_watch import get_entry_seconds
from lifttrestle.internal.fleet.crashes.replicator import SEND_COUNT
from lifttrestle.internal.fleet.crashes.stored_watch import MARGIN_SECONDS
from lifttrestle.internal.fleet.crashes.stored_watch import StoredCrashWatch
from lifttrestle.internal.fleet.crashes.suspects import set_kind
from lifttrestle.internal.fleet.crashes.suspects import SuspectKind
from lifttrestle.internal.fleet.policy import row_pacing
from lifttrestle.internal.fleet.state.digests import RECORD_DIGEST_BYTES
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.routing.rendezvous import rank_names
from tests.support.crash_fleet import CrashFleet
from tests.support.crash_fleet import HEARTBEAT_SECONDS
from tests.support.crash_fleet import START

DIGEST = 0xCAE714BDFB5AE264
SIZES = (2, 6, 82)
# A start that is listed for longer after its crash was noted is sound.
ENTRY_SECONDS = get_entry_seconds(HEARTBEAT_SECONDS)
REFUTED_SECONDS = ENTRY_SECONDS + MARGIN_SECONDS
# The platform's limit for the value of a row, in bytes.
ROW_BYTES = 65_536


async def restart_all(fleet: CrashFleet) -> None:
    """End all routers at once and start them again."""
    for number in range(len(fleet.trackers)):
        fleet.restart(number)
    await fleet.synchronize()


async def restart_in_turn(fleet: CrashFleet) -> None:
    """Start one router after the other again."""
    for number in range(len(fleet.trackers)):
        fleet.restart(number)
        await fleet.synchronize()


async def crash_twice(fleet: CrashFleet) -> None:
    """Crash two upstreams and let the routers store that."""
    await fleet.synchronize()
    for number in range(2):
        fleet.crash(number % len(fleet.trackers), number, [DIGEST])
    fleet.send_updates()
    await fleet.synchronize()


async def list_rows(fleet: CrashFleet) -> list[VersionedRow]:
    """Return the stored rows of crashes."""
    table = await fleet.rows.read_table(FLEET_TABLE)
    return [row for row in table.rows if row.key.startswith(CRASH_PREFIX)]


class TestRestarts(unittest.IsolatedAsyncioTestCase):
    async def test_regression_crash_counts_forgotten_after_restarts(self):
        for routers in SIZES:
            for restart in (restart_all, restart_in_turn):
                with self.subTest(restart.__name__, routers=routers):
                    fleet = CrashFleet(routers)
                    await crash_twice(fleet)
                    await restart(fleet)
                    self.assertEqual(fleet.count_holding(DIGEST), 0)
                    fleet.crash(0, 2, [DIGEST])
                    fleet.send_updates()
                    self.assertEqual(fleet.count_holding(DIGEST), routers)

    async def test_counts_survive_several_restarts(self):
        fleet = CrashFleet(3)
        await crash_twice(fleet)
        for _ in range(3):
            await restart_all(fleet)
            fleet.crash(0, 5, [DIGEST + 1])
            await fleet.synchronize()
        await restart_all(fleet)
        fleet.crash(1, 2, [DIGEST])
        self.assertTrue(fleet.trackers[1].is_held(DIGEST))

    async def test_third_crash_that_nobody_could_tell_is_held(self):
        fleet = CrashFleet(3)
        await crash_twice(fleet)
        fleet.crash(0, 2, [DIGEST])
        await fleet.synchronize()
        await restart_all(fleet)
        self.assertEqual(fleet.count_holding(DIGEST), 3)

    async def test_crashes_close_together_stay_one_for_what_succeeded(self):
        for pause, held in ((0.0, 0), (EPISODE_SECONDS + 0.1, 3)):
            with self.subTest(pause=pause):
                fleet = CrashFleet(3)
                await fleet.synchronize()
                fleet.trackers[0].note_success(DIGEST)
                for number in range(3):
                    fleet.crash(0, number, [DIGEST])
                    fleet.clock.advance(pause)
                fleet.send_updates()
                await fleet.synchronize()
                await restart_all(fleet)
                self.assertEqual(fleet.count_holding(DIGEST), held)


class TestGoodEnds(unittest.IsolatedAsyncioTestCase):
    async def _check_count(self, fleet, crashes):
        """Check how many crashes count after a restart of all routers."""
        await restart_all(fleet)
        for number in range(3 - crashes):
            self.assertFalse(fleet.trackers[1].is_held(DIGEST))
            fleet.crash(1, 3 + number, [DIGEST])
        self.assertTrue(fleet.trackers[1].is_held(DIGEST))

    async def test_success_counts_though_the_router_of_a_crash_is_gone(self):
        fleet = CrashFleet(3)
        await crash_twice(fleet)
        fleet.gone.add(0)
        fleet.trackers[1].note_success(DIGEST)
        fleet.send_updates()
        await fleet.synchronize()
        fleet.gone.clear()
        fleet.clock.advance(EPISODE_SECONDS)
        await restart_all(fleet)
        for number in range(2):
            fleet.crash(1, 3 + number, [DIGEST])
            fleet.clock.advance(2 * EPISODE_SECONDS)
        self.assertFalse(fleet.trackers[1].is_held(DIGEST))
        fleet.crash(1, 5, [DIGEST])
        self.assertTrue(fleet.trackers[1].is_held(DIGEST))

    async def test_retracted_crash_does_not_count(self):
        fleet = CrashFleet(3)
        await crash_twice(fleet)
        start = fleet.directories[0].get('p0').digest
        fleet.trackers[0]._retract_crash(DIGEST, start)
        fleet.send_updates()
        await fleet.synchronize()
        await self._check_count(fleet, 1)

    async def test_crash_retracted_elsewhere_does_not_count(self):
        fleet = CrashFleet(3)
        await crash_twice(fleet)
        start = fleet.directories[0].get('p0').digest
        fleet.gone.add(0)
        fleet.trackers[1]._retract_crash(DIGEST, start)
        fleet.send_updates()
        await fleet.synchronize()
        fleet.gone.clear()
        await self._check_count(fleet, 1)

    async def test_regression_lifted_hold_stayed_in_the_row_of_its_router(
        self,
    ):
        fleet = CrashFleet(12)
        await fleet.synchronize()
        (noting, *_) = [
            number
            for number, tracker in enumerate(fleet.trackers)
            if not tracker.replicator.is_owner(DIGEST)
        ]
        for upstream in range(3):
            fleet.crash(noting, upstream, [DIGEST])
        fleet.send_updates()
        await fleet.synchronize()
        lifted = VersionedRow(build_key(DIGEST), None, 9)
        for tracker in fleet.trackers:
            tracker.apply_row(lifted)
        await fleet.synchronize()
        (row,) = [
            decode_crash_row(row.value)
            for row in await list_rows(fleet)
            if row.key == f'{CRASH_PREFIX}r{noting}'
        ]
        self.assertEqual([item.crashed for item in row.records], [[]])

    async def test_regression_part_was_held_for_a_herd_before_a_restart(self):
        part = set_kind(1, SuspectKind.FIRST_PART)
        fleet = CrashFleet(12)
        await fleet.synchronize()
        for upstream in range(3):
            fleet.crash(0, upstream, [part])
        fleet.send_updates()
        await fleet.synchronize()
        fleet.trackers[11].note_success(part)
        await restart_all(fleet)
        fleet.clock.advance(2 * YOUNG_SECONDS)
        fleet.crash(1, 3, [part])
        fleet.send_updates()
        self.assertEqual(fleet.count_holding(part), 0)

    async def _crash_herd(self, fleet):
        """Crash two upstreams at once under one request of one router."""
        await fleet.synchronize()
        for upstream in range(2):
            fleet.crash(0, upstream, [DIGEST])
        fleet.send_updates()
        await fleet.synchronize()
        self._wait_for_turns(fleet)
        await fleet.synchronize()

    def _wait_for_turns(self, fleet):
        """Let the routers that know of a good end tell it."""
        for _ in fleet.trackers:
            fleet.clock.advance(TURN_SECONDS)
            fleet.tell_good_ends()

    async def _check_not_held_after_restart(self, fleet):
        """Check that one more crash is not one too many."""
        await restart_all(fleet)
        fleet.clock.advance(2 * EPISODE_SECONDS)
        fleet.crash(1, 2, [DIGEST])
        fleet.send_updates()
        await fleet.synchronize()
        self.assertEqual(fleet.count_holding(DIGEST), 0)

    async def test_regression_innocent_request_held_after_a_restart(self):
        for routers in (3, 12, 82):
            for knowing in range(0, routers, max(1, routers // 6)):
                with self.subTest(routers=routers, knowing=knowing):
                    fleet = CrashFleet(routers)
                    fleet.trackers[knowing].note_success(DIGEST)
                    await self._crash_herd(fleet)
                    await self._check_not_held_after_restart(fleet)

    async def test_regression_good_end_after_a_herd_was_not_stored(self):
        for routers in (3, 12):
            for knowing in range(routers):
                with self.subTest(routers=routers, knowing=knowing):
                    fleet = CrashFleet(routers)
                    await self._crash_herd(fleet)
                    fleet.trackers[knowing].note_success(DIGEST)
                    fleet.send_updates()
                    await fleet.synchronize()
                    await self._check_not_held_after_restart(fleet)

    async def test_regression_refuted_crash_counted_after_a_restart(self):
        for restart in (restart_all, restart_in_turn):
            for listed in (True, False):
                with self.subTest(restart.__name__, listed=listed):
                    fleet = CrashFleet(3)
                    await crash_twice(fleet)
                    await restart(fleet)
                    if not listed:
                        fleet.remove_upstreams(2)
                    fleet.clock.advance(REFUTED_SECONDS)
                    fleet.sweep()
                    await fleet.synchronize()
                    fleet.crash(1, 2, [DIGEST])
                    fleet.send_updates()
                    held = fleet.count_holding(DIGEST)
                    self.assertEqual(held, 0 if listed else 3)

    async def test_regression_success_after_a_refuted_crash_was_ignored(self):
        fleet = CrashFleet(3)
        await crash_twice(fleet)
        for upstream in range(2):
            start = fleet.directories[0].get(f'p{upstream}').digest
            fleet.trackers[0]._retract_crash(DIGEST, start)
        fleet.send_updates()
        await fleet.synchronize()
        for tracker in fleet.trackers:
            tracker.note_success(DIGEST)
        fleet.clock.advance(2 * EPISODE_SECONDS)
        for upstream in range(2, 5):
            fleet.crash(0, upstream, [DIGEST])
        fleet.send_updates()
        self.assertEqual(fleet.count_holding(DIGEST), 0)

    async def test_regression_clock_ahead_refuted_stored_crashes(self):
        for skew in (-60.0, 7.0):
            with self.subTest(skew=skew):
                clock = ManualClock(START)
                watch = StoredCrashWatch(clock, ENTRY_SECONDS)
                at_ms = get_unix_ms(clock) - int(skew * 1000)
                watch.note(StoredRecord(DIGEST, [(1, at_ms)]))
                clock.advance(ENTRY_SECONDS)
                self.assertEqual(watch.take_refuted(lambda start: True), [])
                clock.advance(MARGIN_SECONDS)
                refuted = watch.take_refuted(lambda start: True)
                self.assertEqual(refuted, [(DIGEST, 1)])

    async def test_regression_routers_from_the_21st_turn_told_at_once(self):
        key_bytes = DIGEST.to_bytes(RECORD_DIGEST_BYTES, 'big')
        names = [f'router/r{number}' for number in range(82)]
        ranked = [
            int(name.removeprefix('router/r'))
            for name in rank_names(key_bytes, names)
        ]
        for unaware in (1, 10, 20, 40):
            with self.subTest(unaware=unaware):
                fleet = CrashFleet(82)
                await fleet.synchronize()
                for number in ranked[unaware:]:
                    fleet.trackers[number].note_success(DIGEST)
                for upstream in range(2):
                    fleet.crash(ranked[0], upstream, [DIGEST])
                await fleet.synchronize()
                before = fleet.messages
                self._wait_for_turns(fleet)
                told = (fleet.messages - before) / len(fleet.trackers)
                self.assertLessEqual(told, 2 * SEND_COUNT)

    async def test_few_routers_tell_of_a_good_end(self):
        fleet = CrashFleet(82)
        for tracker in fleet.trackers:
            tracker.note_success(DIGEST)
        await fleet.synchronize()
        for upstream in range(2):
            fleet.crash(0, upstream, [DIGEST])
        fleet.send_updates()
        await fleet.synchronize()
        before = fleet.messages
        self._wait_for_turns(fleet)
        told = (fleet.messages - before) / len(fleet.trackers)
        self.assertLessEqual(told, 2 * SEND_COUNT)

    async def test_regression_lifted_hold_of_many_crashes_returned(self):
        for crashes in (3, 19, 40):
            with self.subTest(crashes=crashes):
                fleet = CrashFleet(3, upstreams=crashes)
                await fleet.synchronize()
                for upstream in range(crashes):
                    fleet.crash(0, upstream, [DIGEST])
                fleet.send_updates()
                await fleet.synchronize()
                fleet.gone.add(0)
                lifted = VersionedRow(build_key(DIGEST), None, 9)
                for tracker in fleet.trackers[1:]:
                    tracker.apply_row(lifted)
                await fleet.synchronize()
                await restart_all(fleet)
                self.assertFalse(fleet.trackers[1].is_held(DIGEST))

    async def test_lifted_hold_does_not_return(self):
        for routers in (3, 82):
            with self.subTest(routers=routers):
                fleet = CrashFleet(routers)
                await crash_twice(fleet)
                fleet.crash(0, 2, [DIGEST])
                fleet.send_updates()
                await fleet.synchronize()
                # The routers that saw the crashes have no time to note it.
                fleet.gone.update((0, 1))
                lifted = VersionedRow(build_key(DIGEST), None, 9)
                for tracker in fleet.trackers[2:]:
                    tracker.apply_row(lifted)
                await fleet.synchronize()
                fleet.gone.clear()
                await restart_all(fleet)
                self.assertEqual(fleet.count_holding(DIGEST), 0)


class TestFullRows(unittest.IsolatedAsyncioTestCase):
    async def _check_counted(self, fleet):
        await restart_all(fleet)
        fleet.crash(1, 2, [DIGEST])
        self.assertTrue(fleet.trackers[1].is_held(DIGEST))

    async def test_regression_cleared_requests_pushed_out_what_counts(self):
        fleet = CrashFleet(2)
        await fleet.synchronize()
        cleared = range(1, MAX_STORED_STARTS // 2)
        for upstream in range(3):
            fleet.crash(0, upstream, list(cleared))
            for digest in cleared:
                fleet.trackers[0].note_success(digest)
        fleet.crash(0, 3, [DIGEST])
        fleet.crash(0, 4, [DIGEST])
        for digest in cleared:
            fleet.trackers[0].rows.note(digest)
        await fleet.synchronize()
        await self._check_counted(fleet)

    async def test_regression_restart_reversed_the_order_of_a_full_row(self):
        fleet = CrashFleet(2)
        await fleet.synchronize()
        older = range(1, MAX_STORED_STARTS + 20)
        for upstream in range(3):
            fleet.crash(0, upstream, list(older[upstream::3]))
            fleet.clock.advance(1.0)
        fleet.crash(0, 3, [DIGEST])
        fleet.crash(0, 4, [DIGEST])
        await fleet.synchronize()
        await restart_all(fleet)
        fleet.crash(0, 5, list(range(1000, 1020)))
        await fleet.synchronize()
        await self._check_counted(fleet)

    async def test_regression_own_row_read_back_evicted_the_latest(self):
        fleet = CrashFleet(2)
        await fleet.synchronize()
        fleet.crash(0, 0, list(range(1, MAX_STORED_STARTS + 1)))
        fleet.clock.advance(1.0)
        await fleet.trackers[0].rows.synchronize()
        # Before the watch delivers the row.
        fleet.crash(0, 3, [DIGEST])
        fleet.crash(0, 4, [DIGEST])
        await fleet.synchronize()
        await self._check_counted(fleet)


class TestStore(unittest.IsolatedAsyncioTestCase):
    async def _check_counted(self, fleet):
        await restart_all(fleet)
        fleet.crash(1, 2, [DIGEST])
        self.assertTrue(fleet.trackers[1].is_held(DIGEST))

    async def test_crashes_are_stored_once_the_store_is_back(self):
        fleet = CrashFleet(2)
        fleet.rows.down = True
        await crash_twice(fleet)
        fleet.rows.down = False
        await fleet.synchronize()
        await self._check_counted(fleet)

    async def test_router_that_starts_without_the_store_reads_it_later(self):
        fleet = CrashFleet(2)
        await crash_twice(fleet)
        fleet.rows.down = True
        await restart_all(fleet)
        fleet.rows.down = False
        await fleet.synchronize()
        fleet.crash(1, 2, [DIGEST])
        self.assertTrue(fleet.trackers[1].is_held(DIGEST))

    async def test_crashes_are_stored_though_answers_were_lost(self):
        fleet = CrashFleet(2)
        fleet.rows.lose_answers = True
        await crash_twice(fleet)
        fleet.rows.lose_answers = False
        fleet.crash(0, 4, [DIGEST + 1])
        for _ in range(2):
            await fleet.synchronize()
        await self._check_counted(fleet)

    async def test_crashes_are_stored_again_after_a_restore(self):
        fleet = CrashFleet(2)
        snapshot = fleet.rows.take_snapshot()
        await crash_twice(fleet)
        fleet.rows.restore(snapshot)
        await fleet.synchronize()
        await self._check_counted(fleet)

    async def test_invalid_row_is_ignored_and_replaced(self):
        for value in (
            b'',
            b'{}',
            b'{"written_at_ms":1,"records":[[1]]}',
            b'{"written_at_ms":1,"records":[[1,[[2,%d]]]]}' % 10**400,
            b'{"written_at_ms":1,"records":[[%d,[]]]}' % 2**70,
        ):
            with self.subTest(value):
                fleet = CrashFleet(2)
                fleet.rows.put(FLEET_TABLE, f'{CRASH_PREFIX}r0', value)
                await crash_twice(fleet)
                await self._check_counted(fleet)

    async def test_old_crashes_do_not_count(self):
        fleet = CrashFleet(2)
        await crash_twice(fleet)
        fleet.clock.advance(HOLD_SECONDS)
        await restart_all(fleet)
        fleet.crash(1, 2, [DIGEST])
        self.assertFalse(fleet.trackers[1].is_held(DIGEST))

    async def test_row_of_a_router_that_is_gone_for_good_is_removed(self):
        fleet = CrashFleet(2)
        old = encode_crash_row(CrashRow(1, []))
        fleet.rows.put(FLEET_TABLE, f'{CRASH_PREFIX}gone', old)
        for _ in range(2):
            await fleet.synchronize()
        self.assertEqual(await list_rows(fleet), [])


class TestCost(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_is_stored_without_crashes(self):
        fleet = CrashFleet(6)
        for number in range(20):
            fleet.trackers[number % 6].note_success(DIGEST + number)
            await fleet.synchronize()
        self.assertEqual(fleet.rows.version, 0)

    async def test_writes_do_not_grow_with_the_fleet(self):
        for routers in (6, 82):
            with self.subTest(routers=routers):
                fleet = CrashFleet(routers)
                await fleet.synchronize()
                began_at, before = fleet.clock.monotonic(), fleet.rows.version
                for turn in range(10):
                    for number in range(routers):
                        digest = DIGEST + turn * routers + number
                        fleet.crash(number, turn % 6, [digest])
                        await fleet.trackers[number].rows.synchronize()
                    fleet.clock.advance(1.0)
                seconds = fleet.clock.monotonic() - began_at
                writes = fleet.rows.version - before
                self.assertLessEqual(
                    writes,
                    routers + row_pacing.MAX_WRITES_PER_SECOND * seconds,
                )

    async def test_row_fits_the_store_and_has_the_latest(self):
        fleet = CrashFleet(1)
        await fleet.synchronize()
        for number in range(2 * MAX_STORED_STARTS):
            fleet.crash(0, number % 6, [2**64 - 1 - number])
        await fleet.synchronize()
        (row,) = await list_rows(fleet)
        self.assertLess(len(row.value) * 4 / 3, ROW_BYTES)
        latest = 2**64 - 2 * MAX_STORED_STARTS
        self.assertIn(f'{latest}'.encode(), row.value)
        table = await fleet.rows.read_table(FLEET_TABLE)
        self.assertEqual([item.key for item in table.rows], [row.key])


if __name__ == '__main__':
    unittest.main()
