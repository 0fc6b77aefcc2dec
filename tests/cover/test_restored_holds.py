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

"""Tests of rows of held requests after a restore of the store."""

import asyncio
import datetime
import unittest

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.crashes.decisions import OWNER_DELAY_SECONDS
from lifttrestle.internal.fleet.crashes.held_row import build_held_row
from lifttrestle.internal.fleet.crashes.held_row import build_key
from lifttrestle.internal.fleet.crashes.held_row import encode_held_row
from lifttrestle.internal.fleet.crashes.tracker import CrashTracker
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.row_version import build_version
from lifttrestle.internal.fleet.state.rows import RowOrigin
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)
HEARTBEAT_SECONDS = 1.2
DIGEST = 0xCAE714BDFB5AE264
KEY = build_key(DIGEST)


class TestRestoredStore(unittest.TestCase):
    def setUp(self):
        self.rows = MemoryRows()
        self.clock = ManualClock(START)
        self.tracker = self.make_tracker('one')

    def make_tracker(self, vm):
        return CrashTracker(
            vm,
            self.rows,
            UpstreamDirectory(PlatformFormat(), self.clock),
            Roster(self.rows, self.clock, vm, 'a'),
            self.clock,
            HEARTBEAT_SECONDS,
        )

    def apply_held_row(self, by):
        """Apply a row of the held request, written by the given router."""
        row = build_held_row(self.clock, 'acme', 'safe', 3, by)
        value = encode_held_row(row)
        self.tracker.apply_row(VersionedRow(KEY, value, 7))
        return value

    def write_due(self):
        asyncio.run(self.tracker.holds.write_due())

    def get_row(self):
        return self.rows.get(FLEET_TABLE, KEY)

    def test_regression_lost_row_ended_a_hold(self):
        # A lost row was treated as a removed one, so the request ran again.
        value = self.apply_held_row('one')
        version = build_version(1, 5)
        lost = VersionedRow(KEY, None, version, RowOrigin.LOST)
        self.tracker.apply_row(lost)
        self.assertTrue(self.tracker.is_held(DIGEST))
        self.write_due()
        self.assertEqual(self.get_row().value, value)
        self.assertTrue(self.tracker.is_held(DIGEST))

    def test_lost_row_of_another_router_is_rewritten_after_a_delay(self):
        # Without this the row stays lost if the router that wrote it is gone.
        value = self.apply_held_row('other')
        version = build_version(1, 5)
        self.tracker.apply_row(
            VersionedRow(KEY, None, version, RowOrigin.LOST)
        )
        self.write_due()
        self.assertIsNone(self.get_row().value)
        self.clock.advance(OWNER_DELAY_SECONDS)
        self.write_due()
        self.assertEqual(self.get_row().value, value)

    def test_lost_row_that_another_router_rewrote_is_not_rewritten(self):
        # Without this each owner of the request would write the row.
        value = self.apply_held_row('other')
        version = build_version(1, 5)
        self.tracker.apply_row(
            VersionedRow(KEY, None, version, RowOrigin.LOST)
        )
        self.tracker.apply_row(VersionedRow(KEY, value, version + 1))
        self.clock.advance(OWNER_DELAY_SECONDS)
        self.write_due()
        self.assertIsNone(self.get_row().value)

    def test_regression_lifted_request_was_held_again(self):
        # An undeleted row was treated as a newly written one.
        value = self.apply_held_row('one')
        self.tracker.apply_row(VersionedRow(KEY, None, 8))
        version = self.rows.put(FLEET_TABLE, KEY, value)
        self.tracker.apply_row(
            VersionedRow(KEY, value, version, RowOrigin.UNDELETED)
        )
        self.assertFalse(self.tracker.is_held(DIGEST))
        self.write_due()
        self.assertIsNone(self.get_row().value)

    def test_new_row_of_a_lifted_request_is_not_removed(self):
        # The removal of the undeleted row must not end a later hold.
        value = self.apply_held_row('one')
        self.tracker.apply_row(VersionedRow(KEY, None, 8))
        version = self.rows.put(FLEET_TABLE, KEY, value)
        self.tracker.apply_row(
            VersionedRow(KEY, value, version, RowOrigin.UNDELETED)
        )
        version = self.rows.put(FLEET_TABLE, KEY, value)
        self.tracker.apply_row(VersionedRow(KEY, value, version))
        self.write_due()
        self.assertEqual(self.get_row().value, value)
        self.assertTrue(self.tracker.is_held(DIGEST))

    def test_row_written_just_before_a_restore_is_rewritten(self):
        # The watch reports a row as lost only if it has read that row.
        value = self.apply_held_row('one')
        other = VersionedRow('router/x', b'{}', build_version(1, 5))
        self.tracker.apply_row(other)
        self.tracker.holds.check_epoch()
        self.write_due()
        self.assertEqual(self.get_row().value, value)
