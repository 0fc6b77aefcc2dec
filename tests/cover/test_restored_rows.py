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

"""Tests of a table's rows after the store is restored from an older copy."""

import datetime
import unittest

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.state.restore_policy import OperatorPolicy
from lifttrestle.internal.fleet.state.restore_policy import UpstreamPolicy
from lifttrestle.internal.fleet.state.row_version import build_version
from lifttrestle.internal.fleet.state.rows import RowChanges
from lifttrestle.internal.fleet.state.rows import RowOrigin
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.table_copy import REMOVAL_TTL_SECONDS
from lifttrestle.internal.fleet.state.table_copy import TableCopy
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)
EXPIRY_SECONDS = 4.8


def encode(**fields):
    return msgspec.json.encode(make_entry(**fields))


class TableCopyTestCase(unittest.TestCase):
    policy = None

    def setUp(self):
        self.clock = ManualClock(START)
        self.received = []
        self.copy = TableCopy(
            't', self.clock, self.received.append, self.policy
        )

    def apply_snapshot(self, epoch, number, **rows):
        """Apply a snapshot; ``rows`` maps keys to (commit number, value)."""
        self.received.clear()
        self.copy.apply_snapshot(self.make_changes(epoch, number, rows), 0.0)

    def apply_changes(self, epoch, number, **rows):
        self.received.clear()
        self.copy.apply_changes(self.make_changes(epoch, number, rows), 0.0)

    def make_changes(self, epoch, number, rows):
        versioned_rows = tuple(
            VersionedRow(key, value, build_version(epoch, row_number))
            for key, (row_number, value) in rows.items()
        )
        return RowChanges(versioned_rows, build_version(epoch, number))

    def get_received(self):
        return {row.key: (row.value, row.origin) for row in self.received}

    def get_relayed_rows(self):
        """Return the rows that a relay sends to a starting router."""
        changes = self.copy.list_since(0).changes
        return {row.key: row.value for row in changes.rows}


class TestDefaultPolicy(TableCopyTestCase):
    def test_restored_rows_are_accepted(self):
        self.apply_snapshot(1, 9, a=(3, b'1'), b=(9, b'2'))
        self.apply_snapshot(2, 5, a=(3, b'1'), c=(5, b'3'))
        self.assertEqual(
            self.get_received(),
            {
                'a': (b'1', RowOrigin.RESTORED),
                'c': (b'3', RowOrigin.RESTORED),
                'b': (None, RowOrigin.LOST),
            },
        )

    def test_first_read_after_a_restore_marks_rows_as_restored(self):
        # A starting router holds no copy from the previous epoch.
        self.apply_snapshot(1, 9, a=(3, b'1'))
        self.assertEqual(
            self.get_received(), {'a': (b'1', RowOrigin.RESTORED)}
        )

    def test_reread_in_the_same_epoch_is_not_a_restore(self):
        self.apply_snapshot(1, 9, a=(3, b'1'), b=(9, b'2'))
        self.apply_snapshot(1, 12, a=(3, b'1'))
        self.assertEqual(self.get_received(), {'b': (None, RowOrigin.WRITTEN)})

    def test_removed_row_that_returns_is_undeleted(self):
        self.apply_snapshot(1, 9, a=(3, b'1'))
        self.apply_changes(1, 10, a=(10, None))
        self.apply_snapshot(2, 5, a=(3, b'1'))
        self.assertEqual(
            self.get_received(), {'a': (b'1', RowOrigin.UNDELETED)}
        )

    def test_regression_removal_was_unknown_after_a_second_restore(self):
        self.apply_snapshot(1, 9, a=(3, b'1'))
        self.apply_changes(1, 10, a=(10, None))
        for epoch in (2, 3):
            self.apply_snapshot(epoch, 5, a=(3, b'1'))
            self.assertEqual(
                self.get_received(), {'a': (b'1', RowOrigin.UNDELETED)}
            )

    def test_removed_row_that_is_written_after_restore_is_accepted(self):
        self.apply_snapshot(1, 9, a=(3, b'1'))
        self.apply_changes(1, 10, a=(10, None))
        self.apply_snapshot(2, 5, a=(4, b'2'))
        self.assertEqual(
            self.get_received(), {'a': (b'2', RowOrigin.RESTORED)}
        )

    def test_removal_is_not_kept_after_the_retention_period(self):
        self.apply_snapshot(1, 9, a=(3, b'1'), b=(4, b'1'))
        self.apply_changes(1, 10, a=(10, None))
        self.clock.advance(REMOVAL_TTL_SECONDS + 1)
        self.apply_changes(1, 11, b=(11, None))
        self.apply_snapshot(2, 5, a=(3, b'1'), b=(4, b'1'))
        self.assertEqual(
            self.get_received(),
            {
                'a': (b'1', RowOrigin.RESTORED),
                'b': (b'1', RowOrigin.UNDELETED),
            },
        )

    def test_second_restore_without_writes_in_between(self):
        self.apply_snapshot(1, 9, a=(3, b'1'), b=(9, b'2'))
        self.apply_snapshot(2, 5, a=(3, b'1'))
        self.apply_snapshot(3, 2)
        self.assertEqual(self.get_received(), {'a': (None, RowOrigin.LOST)})


class TestOperatorPolicy(TableCopyTestCase):
    policy = OperatorPolicy(PlatformFormat())

    def make_config(self, version):
        return b'{"version": %d}' % version

    def test_higher_version_is_kept_until_a_higher_one_is_written(self):
        self.apply_snapshot(1, 9, config=(9, self.make_config(7)))
        self.apply_snapshot(2, 5, config=(4, self.make_config(5)))
        self.assertEqual(
            self.get_relayed_rows(), {'config': self.make_config(7)}
        )
        self.apply_changes(2, 6, config=(6, self.make_config(8)))
        self.assertEqual(
            self.get_relayed_rows(), {'config': self.make_config(8)}
        )

    def test_higher_restored_version_is_accepted(self):
        self.apply_snapshot(1, 9, config=(9, self.make_config(7)))
        self.apply_snapshot(2, 6, config=(6, self.make_config(8)))
        self.assertEqual(
            self.get_relayed_rows(), {'config': self.make_config(8)}
        )

    def test_missing_row_is_kept(self):
        target = b'{"model": "m", "version": 3}'
        self.apply_snapshot(1, 9, **{'version/m': (9, target)})
        self.apply_snapshot(2, 5)
        self.assertEqual(self.get_relayed_rows(), {'version/m': target})

    def test_unreadable_restored_row_does_not_replace_a_held_one(self):
        self.apply_snapshot(1, 9, config=(9, self.make_config(7)))
        self.apply_snapshot(2, 5, config=(4, b'{'))
        self.assertEqual(
            self.get_relayed_rows(), {'config': self.make_config(7)}
        )


class TestUpstreamPolicy(TableCopyTestCase):
    policy = UpstreamPolicy(PlatformFormat(), EXPIRY_SECONDS)

    def setUp(self):
        super().setUp()
        self.ready = encode(born=5)
        self.draining = encode(born=5, state='draining')

    def test_draining_is_kept_for_the_same_start(self):
        self.apply_snapshot(1, 9, p=(9, self.draining))
        self.apply_snapshot(2, 5, p=(4, self.ready))
        self.assertEqual(self.get_relayed_rows(), {'p': self.draining})
        self.apply_changes(2, 6, p=(6, self.ready))
        self.assertEqual(self.get_relayed_rows(), {'p': self.ready})

    def test_draining_is_not_kept_for_a_newer_start(self):
        newer = encode(born=6)
        self.apply_snapshot(1, 9, p=(9, self.draining))
        self.apply_snapshot(2, 12, p=(12, newer))
        self.assertEqual(self.get_relayed_rows(), {'p': newer})

    def test_removed_entry_is_accepted_when_written_again(self):
        self.apply_snapshot(1, 9, p=(3, self.ready))
        self.apply_changes(1, 10, p=(10, None))
        self.apply_snapshot(2, 5, p=(3, self.ready))
        self.assertEqual(self.get_relayed_rows(), {})
        self.apply_changes(2, 6, p=(6, self.ready))
        self.assertEqual(self.get_relayed_rows(), {'p': self.ready})

    def test_removed_entry_that_does_not_expire_is_accepted(self):
        self.apply_snapshot(1, 9, p=(3, self.ready))
        self.apply_changes(1, 10, p=(10, None))
        self.apply_snapshot(2, 5, p=(3, self.ready))
        self.clock.advance(EXPIRY_SECONDS)
        self.apply_changes(2, 6)
        self.assertEqual(self.get_relayed_rows(), {'p': self.ready})
        update = self.copy.list_since(build_version(2, 5)).changes
        self.assertEqual([row.key for row in update.rows], ['p'])

    def test_regression_end_of_withholding_undid_a_new_removal(self):
        self.apply_snapshot(1, 9, p=(3, self.ready))
        self.apply_changes(1, 10, p=(10, None))
        self.apply_snapshot(2, 5, p=(3, self.ready))
        self.clock.advance(EXPIRY_SECONDS)
        self.apply_changes(2, 8, p=(7, None))
        self.assertEqual(self.get_relayed_rows(), {})

    def test_removed_entry_that_expires_stays_removed(self):
        self.apply_snapshot(1, 9, p=(3, self.ready))
        self.apply_changes(1, 10, p=(10, None))
        self.apply_snapshot(2, 5, p=(3, self.ready))
        self.apply_changes(2, 6, p=(6, None))
        self.clock.advance(EXPIRY_SECONDS)
        self.apply_changes(2, 7)
        self.assertEqual(self.get_relayed_rows(), {})
