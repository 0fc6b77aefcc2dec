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

"""Tests of the count of live routers."""

import asyncio
import datetime
import unittest

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.policy.router_share import RouterShare
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster_entries import LOST_GRACE_SECONDS
from lifttrestle.internal.fleet.state.roster_entries import REFRESH_SECONDS
from lifttrestle.internal.fleet.state.roster_entries import STALE_SECONDS
from lifttrestle.internal.fleet.state.router_row import RouterRow
from lifttrestle.internal.fleet.state.row_version import build_version
from lifttrestle.internal.fleet.state.rows import RowOrigin
from lifttrestle.internal.fleet.state.rows import VersionedRow
from tests.support.memory_rows import MemoryRows

WAIT_SECONDS = 10.0
START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)


class RosterCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.rows = MemoryRows()
        self.clock = ManualClock(START)
        self.current_as_of = self.clock.monotonic()
        self.applied = {}

    def make_roster(self, name, address='1.2.3.4:1'):
        roster = Roster(self.rows, self.clock, name, 'a')
        roster.address = address
        roster.loaded = True
        roster.get_current_as_of = lambda: self.current_as_of
        return roster

    async def apply_changes(self, roster):
        """Apply the changed rows, as the watch of the table does."""
        after = self.applied.get(roster.key, 0)
        changes = await self.rows.watch_table(FLEET_TABLE, after, 0)
        for row in changes.rows:
            roster.apply_row(row)
        self.applied[roster.key] = changes.version

    def pass_time(self, seconds):
        self.clock.advance(seconds)
        self.current_as_of = self.clock.monotonic()


class TestStaleRows(RosterCase):
    async def test_regression_crashed_router_was_counted_forever(self):
        # No router removed its row: each VM that crashed reduced the shares
        # of all others, until they had no budget left.
        one, other = self.make_roster('one'), self.make_roster('other')
        for roster in (one, other):
            await roster.join()
        for _ in range(4):
            await self.apply_changes(one)
            self.pass_time(REFRESH_SECONDS)
            await one.refresh()
            await one.remove_stale()
        await self.apply_changes(one)
        self.assertEqual(one.live, 1)
        self.assertEqual(one.routers, ['router/one'])
        removed = self.rows.get(FLEET_TABLE, 'router/other')
        self.assertIsNone(removed.value)

    async def test_row_does_not_become_stale_during_an_outage_of_the_store(
        self,
    ):
        one, other = self.make_roster('one'), self.make_roster('other')
        for roster in (one, other):
            await roster.join()
        await self.apply_changes(one)
        self.clock.advance(2 * STALE_SECONDS)
        self.assertEqual(one.live, 2)
        await one.remove_stale()
        self.assertEqual(one.live, 2)

    async def test_regression_row_refreshed_meanwhile_was_removed(self):
        # Rows change while others are removed: another router removed a row
        # (KeyError, which ended the router), or its owner wrote it again.
        one = self.make_roster('one')
        others = [self.make_roster(name) for name in ('b', 'c', 'd')]
        for roster in (one, *others):
            await roster.join()
        await self.apply_changes(one)
        self.pass_time(STALE_SECONDS + 1)
        write_row = self.rows.write_row

        async def write_and_change(write):
            version = await write_row(write)
            if write.key == 'router/b':
                await others[1].refresh()
                self.rows.put(FLEET_TABLE, 'router/d', None)
                await self.apply_changes(one)
            return version

        self.rows.write_row = write_and_change
        await one.remove_stale()
        self.assertIsNone(self.rows.get(FLEET_TABLE, 'router/b').value)
        self.assertIsNotNone(self.rows.get(FLEET_TABLE, 'router/c').value)
        self.assertEqual(one.routers, ['router/c', 'router/one'])

    async def test_router_that_refreshes_its_row_is_counted(self):
        one, other = self.make_roster('one'), self.make_roster('other')
        for roster in (one, other):
            await roster.join()
        for _ in range(6):
            for roster in (one, other):
                await self.apply_changes(roster)
            self.pass_time(REFRESH_SECONDS)
            for roster in (one, other):
                await roster.refresh()
                await roster.remove_stale()
        self.assertEqual((one.live, other.live), (2, 2))


class TestShares(RosterCase):
    """What a router may know of its share of what all spend together."""

    async def join_all(self, *names):
        rosters = [self.make_roster(name) for name in names]
        for roster in rosters:
            await roster.join()
        for roster in rosters:
            await self.apply_changes(roster)
        return rosters

    async def test_positions_of_routers_differ(self):
        rosters = await self.join_all('one', 'other', 'third')
        shares = [roster.list_shares(10.0)[-1] for roster in rosters]
        self.assertEqual({share.routers for share in shares}, {3})
        self.assertEqual({share.position for share in shares}, {0, 1, 2})

    async def test_share_is_not_known_before_the_table_is_read(self):
        (one,) = await self.join_all('one')
        one.loaded = False
        self.assertEqual(one.list_shares(10.0), [])

    async def test_share_is_not_known_while_the_row_is_not_in_the_table(self):
        one = self.make_roster('one')
        self.assertEqual(one.list_shares(10.0), [])

    async def test_share_before_another_router_left_is_remembered(self):
        one, other = await self.join_all('one', 'other')
        self.pass_time(60.0)
        await other.leave()
        await self.apply_changes(one)
        counts = [share.routers for share in one.list_shares(10.0)]
        self.assertEqual(counts, [2, 1])
        self.pass_time(10.0)
        self.assertEqual(one.list_shares(10.0), [RouterShare(1, 0)])

    async def test_router_that_may_be_counted_out_has_no_share(self):
        one, _ = await self.join_all('one', 'other')
        self.pass_time(STALE_SECONDS - REFRESH_SECONDS / 2)
        self.assertEqual(one.list_shares(10.0), [])


class TestJoin(RosterCase):
    async def test_regression_row_kept_the_address_of_an_earlier_start(self):
        # A VM that restarted at another address kept its old row, so that it
        # received no load reports.
        first = self.make_roster('one', '1.2.3.4:1')
        await first.join()
        second = self.make_roster('one', '5.6.7.8:1')
        await self.apply_changes(second)
        await second.join()
        row = self.rows.get(FLEET_TABLE, 'router/one')
        decoded = msgspec.json.decode(row.value, type=RouterRow)
        self.assertEqual(decoded.address, '5.6.7.8:1')

    async def test_unchanged_row_of_an_earlier_start_is_not_written_again(
        self,
    ):
        await self.make_roster('one').join()
        version = self.rows.version
        again = self.make_roster('one')
        joining = asyncio.create_task(again.join())
        while not joining.done():
            await asyncio.sleep(0)
            await self.apply_changes(again)
            self.pass_time(1.0)
        self.assertEqual(self.rows.version, version)

    async def test_join_is_retried_until_the_store_is_available(self):
        roster = self.make_roster('one')
        self.rows.down = True
        joining = asyncio.create_task(roster.join())
        for _ in range(3):
            await asyncio.sleep(0)
            self.pass_time(1.0)
        self.assertFalse(joining.done())
        self.rows.down = False
        while not joining.done():
            await asyncio.sleep(0)
            self.pass_time(1.0)
        self.assertIsNotNone(self.rows.get(FLEET_TABLE, roster.key).value)

    async def test_router_that_leaves_removes_its_row(self):
        roster = self.make_roster('one')
        await roster.join()
        await self.apply_changes(roster)
        await roster.leave()
        self.assertIsNone(self.rows.get(FLEET_TABLE, roster.key).value)


class TestLeave(RosterCase):
    async def test_regression_row_not_yet_read_back_was_not_removed(self):
        # A router that stopped before its watch had read its row did not
        # remove the row, and was counted for another 15 minutes.
        roster = self.make_roster('one')
        await roster.join()
        await roster.leave()
        self.assertIsNone(self.rows.get(FLEET_TABLE, 'router/one').value)

    async def test_regression_row_was_written_again_after_its_removal(self):
        roster = self.make_roster('one')
        await roster.join()
        await self.apply_changes(roster)
        await roster.leave()
        await roster.refresh()
        async with asyncio.timeout(WAIT_SECONDS):
            await roster.join()
        self.assertIsNone(self.rows.get(FLEET_TABLE, 'router/one').value)

    async def test_row_is_removed_if_the_watch_has_read_an_older_version(self):
        roster = self.make_roster('one')
        await roster.join()
        await roster.refresh()
        await self.apply_changes(roster)
        await roster.leave()
        self.assertIsNone(self.rows.get(FLEET_TABLE, 'router/one').value)


class TestRestoredStore(RosterCase):
    def apply_restored(self, roster, *rows):
        """Apply rows as after a restore of the store."""
        for key, value, origin in rows:
            version = build_version(1, 5)
            roster.apply_row(VersionedRow(key, value, version, origin))

    async def test_regression_lost_row_was_written_again_minutes_later(self):
        # The router was not counted until it next refreshed its row.
        one = self.make_roster('one')
        running = asyncio.create_task(one.run())
        await self.run_pending_tasks()
        await self.apply_changes(one)
        self.rows.put(FLEET_TABLE, one.key, None)
        self.apply_restored(one, (one.key, None, RowOrigin.LOST))
        await self.run_pending_tasks()
        row = self.rows.get(FLEET_TABLE, one.key)
        self.assertIsNotNone(row.value)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def run_pending_tasks(self):
        for _ in range(10):
            await asyncio.sleep(0)

    async def test_router_with_lost_row_is_counted_for_grace_period(self):
        # Counting too few routers makes shares of budgets and caps too large.
        one, other = self.make_roster('one'), self.make_roster('other')
        for roster in (one, other):
            await roster.join()
        await self.apply_changes(one)
        self.apply_restored(one, (other.key, None, RowOrigin.LOST))
        self.pass_time(LOST_GRACE_SECONDS - 0.1)
        self.assertEqual(one.live, 2)
        self.pass_time(0.2)
        self.assertEqual(one.live, 1)
        self.assertEqual(one.routers, [one.key])

    async def test_router_that_rewrites_its_lost_row_is_still_counted(self):
        # The grace period must not end the count of a live router.
        one, other = self.make_roster('one'), self.make_roster('other')
        for roster in (one, other):
            await roster.join()
        await self.apply_changes(one)
        value = self.rows.get(FLEET_TABLE, other.key).value
        self.apply_restored(
            one,
            (other.key, None, RowOrigin.LOST),
            (other.key, value, RowOrigin.WRITTEN),
        )
        self.pass_time(2 * LOST_GRACE_SECONDS)
        self.assertEqual(one.live, 2)

    async def test_regression_router_that_had_left_was_counted_again(self):
        # An undeleted row was counted as that of a live router.
        one, two = self.make_roster('one'), self.make_roster('two')
        gone = self.make_roster('gone')
        for roster in (one, two, gone):
            await roster.join()
        for roster in (one, two):
            await self.apply_changes(roster)
        row = self.rows.get(FLEET_TABLE, gone.key)
        for roster in (one, two):
            roster.apply_row(VersionedRow(gone.key, None, row.version + 1))
            undeleted = VersionedRow(
                gone.key, row.value, row.version, RowOrigin.UNDELETED
            )
            roster.apply_row(undeleted)
            self.assertEqual(roster.live, 2)
        await two.remove_undeleted()
        self.assertIsNotNone(self.rows.get(FLEET_TABLE, gone.key).value)
        await one.remove_undeleted()
        self.assertIsNone(self.rows.get(FLEET_TABLE, gone.key).value)

    async def test_row_written_just_before_a_restore_is_rewritten(self):
        # The watch reports a row as lost only if it has read that row.
        one, other = self.make_roster('one'), self.make_roster('other')
        await other.join()
        running = asyncio.create_task(one.run())
        await self.run_pending_tasks()
        self.rows.put(FLEET_TABLE, one.key, None)
        value = self.rows.get(FLEET_TABLE, other.key).value
        self.apply_restored(one, (other.key, value, RowOrigin.RESTORED))
        await self.run_pending_tasks()
        row = self.rows.get(FLEET_TABLE, one.key)
        self.assertIsNotNone(row.value)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
