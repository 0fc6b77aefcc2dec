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

"""Local copy of one shared table, with the time as of which it is current.

The rows come from the store or from another router. The copy includes every
change up to the time as of which it is current; later ones may be missing.
"""

import collections
from collections.abc import Callable
import dataclasses

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.restore_policy import AcceptAllPolicy
from lifttrestle.internal.fleet.state.restore_policy import RestorePolicy
from lifttrestle.internal.fleet.state.row_version import format_version
from lifttrestle.internal.fleet.state.row_version import get_commit_number
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowChanges
from lifttrestle.internal.fleet.state.rows import RowOrigin
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('table')
# Changes that are kept so that followers with an older version get these
# instead of the whole table.
MAX_CHANGES = 500
# How long removals are kept: several times the maximum age of the copy that
# a store is restored from.
REMOVAL_TTL_SECONDS = 60.0
# Not known to be current as of any time.
NEVER = float('-inf')

RowListener = Callable[[VersionedRow], None]


@dataclasses.dataclass(frozen=True)
class CopyUpdate:
    """The changes of a copy since some version, or all of its rows.

    :ivar is_snapshot: ``changes`` holds every row of the table; others do
        not exist.
    """

    changes: RowChanges
    is_snapshot: bool


@dataclasses.dataclass(frozen=True)
class RemovedRow:
    """A removal that is kept in case the store is restored.

    :ivar commit_number: the commit number of the row's last version.
    """

    commit_number: int
    removed_at: float


@dataclasses.dataclass(frozen=True)
class WithheldRow:
    """A removed row that a restored store contains, not yet accepted.

    :ivar until: the monotonic time from which the row is accepted.
    """

    row: VersionedRow
    until: float


class TableCopy:
    """Holds the rows of a table and calls a listener for each change.

    :param listener: is called with each row that is new, changed or removed.
    :param policy: decides which held rows are kept when the store is
        restored from an older copy; by default none.
    :ivar loaded: whether the copy has received all rows once.
    :ivar version: the newest commit that the copy reflects.
    :ivar current_as_of: the monotonic time up to which the copy is known to
        include all changes.
    """

    def __init__(
        self,
        table: str,
        clock: Clock,
        listener: RowListener,
        policy: RestorePolicy | None = None,
    ) -> None:
        self.table = table
        self.loaded = False
        self.version = NO_ROW
        self.current_as_of = NEVER
        self._clock = clock
        self._listener = listener
        self._policy = policy or AcceptAllPolicy()
        self._rows: dict[str, VersionedRow] = {}
        self._changes: collections.deque[VersionedRow] = collections.deque()
        # ``_changes`` holds all changes after this version.
        self._changes_from = NO_ROW
        self._removed: dict[str, RemovedRow] = {}
        self._withheld: dict[str, WithheldRow] = {}

    def get_age(self) -> float:
        """Return the seconds since the copy was last known to be current."""
        return self._clock.monotonic() - self.current_as_of

    def apply_snapshot(
        self, snapshot: RowChanges, current_as_of: float
    ) -> None:
        """Replace the copy with all rows of the table.

        :raises PlatformUnavailable: if the snapshot is older than the copy.
        """
        if snapshot.version < self.version:
            raise PlatformUnavailable(
                f'the table {self.table!r} reverted from'
                f' {format_version(self.version)} to'
                f' {format_version(snapshot.version)}'
            )
        if get_epoch(snapshot.version) > get_epoch(self.version):
            rows = self._merge_restored(snapshot)
        else:
            rows = snapshot.rows + self._list_missing(
                snapshot, RowOrigin.WRITTEN
            )
        self.loaded = True
        self.apply_changes(RowChanges(rows, snapshot.version), current_as_of)
        # The removals of rows that this copy never held are not known, so
        # earlier changes can't be sent to a follower.
        self._changes.clear()
        self._changes_from = self.version

    def _list_missing(
        self, snapshot: RowChanges, origin: RowOrigin
    ) -> tuple[VersionedRow, ...]:
        present = {row.key for row in snapshot.rows}
        return tuple(
            VersionedRow(key, None, snapshot.version, origin)
            for key in self._rows
            if key not in present
        )

    def _merge_restored(
        self, snapshot: RowChanges
    ) -> tuple[VersionedRow, ...]:
        """Return the rows in force after a restore, including kept ones.

        Removed rows that the restored store contains may be withheld.
        """
        self._withheld.clear()
        rows = []
        for row in snapshot.rows:
            resolved = self._resolve_restored(row, snapshot.version)
            if resolved is not None:
                rows.append(resolved)
        for row in self._list_missing(snapshot, RowOrigin.LOST):
            held = self._rows[row.key]
            if self._policy.keeps(held, None):
                row = _keep_row(held, snapshot.version)
            rows.append(row)
        return tuple(rows)

    def _resolve_restored(
        self, row: VersionedRow, version: int
    ) -> VersionedRow | None:
        """Return the row in force for a restored row, None if withheld."""
        held = self._rows.get(row.key)
        if held is not None and self._policy.keeps(held, row):
            return _keep_row(held, version)
        removed = self._removed.get(row.key)
        if (
            removed is None
            # A higher commit number was written after the restore.
            or get_commit_number(row.version) > removed.commit_number
        ):
            return dataclasses.replace(row, origin=RowOrigin.RESTORED)
        row = dataclasses.replace(row, origin=RowOrigin.UNDELETED)
        if not self._policy.withhold_seconds:
            return row
        until = self._clock.monotonic() + self._policy.withhold_seconds
        self._withheld[row.key] = WithheldRow(row, until)
        return None

    def apply_changes(self, changes: RowChanges, current_as_of: float) -> None:
        """Apply changes since the version of the copy or an earlier one.

        The store and several relays report the same changes, and some do so
        late. A row that is not newer than the copy is ignored: the copy
        includes it, or it was removed since.
        """
        previous_version = self.version
        for row in (*changes.rows, *self._list_expired_withheld(changes)):
            if row.version <= previous_version:
                continue
            # Recorded even if this copy does not change: a follower may
            # hold the row.
            self._record_change(row)
            known = self._rows.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            self._set_row(row, known)
            if row.value is not None or known is not None:
                self._report(row)
        self.version = max(self.version, changes.version)
        self.current_as_of = max(self.current_as_of, current_as_of)

    def _report(self, row: VersionedRow) -> None:
        """Call the listener; what one row does to it ends with that row."""
        try:
            self._listener(row)
        except Exception:
            LOG.exception('table.row_failed', table=self.table, key=row.key)

    def _set_row(self, row: VersionedRow, known: VersionedRow | None) -> None:
        self._withheld.pop(row.key, None)
        if row.value is not None:
            self._rows[row.key] = row
            # Another restore must still recognize an undeleted row.
            if row.origin is not RowOrigin.UNDELETED:
                self._removed.pop(row.key, None)
            return
        self._rows.pop(row.key, None)
        if known is not None and row.origin is RowOrigin.WRITTEN:
            self._record_removal(known)

    def _record_removal(self, row: VersionedRow) -> None:
        now = self._clock.monotonic()
        self._removed.pop(row.key, None)
        self._removed[row.key] = RemovedRow(
            get_commit_number(row.version), now
        )
        while True:
            oldest = next(iter(self._removed))
            if now - self._removed[oldest].removed_at < REMOVAL_TTL_SECONDS:
                return
            del self._removed[oldest]

    def _list_expired_withheld(
        self, changes: RowChanges
    ) -> list[VersionedRow]:
        """Return the withheld rows to accept now, except those in ``changes``.

        They have been neither written nor removed since the restore.
        """
        if not self._withheld or changes.version <= self.version:
            return []
        now = self._clock.monotonic()
        changed_keys = {row.key for row in changes.rows}
        return [
            dataclasses.replace(
                item.row, version=changes.version, origin=RowOrigin.RESTORED
            )
            for key, item in self._withheld.items()
            if now >= item.until and key not in changed_keys
        ]

    def list_since(self, version: int) -> CopyUpdate:
        """Return the changes after a version.

        If they are no longer all kept, return all rows instead.
        """
        if version < self._changes_from:
            rows = tuple(self._rows.values())
            return CopyUpdate(RowChanges(rows, self.version), True)
        newest = {
            row.key: row for row in self._changes if row.version > version
        }
        rows = tuple(newest.values())
        return CopyUpdate(RowChanges(rows, self.version), False)

    def _record_change(self, row: VersionedRow) -> None:
        self._changes.append(row)
        if len(self._changes) > MAX_CHANGES:
            self._changes_from = self._changes.popleft().version


def _keep_row(held: VersionedRow, version: int) -> VersionedRow:
    """Return a held row with the version of the restored table."""
    return dataclasses.replace(
        held, version=version, origin=RowOrigin.RESTORED
    )
