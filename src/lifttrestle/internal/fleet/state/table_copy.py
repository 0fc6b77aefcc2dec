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

"""What a router holds of one shared table, and what it can prove of it.

The rows come from the store or from another router. What is held is known to
be current as of a moment: any later change may be missing.
"""

import collections
from collections.abc import Callable
import dataclasses

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.row_version import format_version
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowChanges
from lifttrestle.internal.fleet.state.rows import VersionedRow

# Changes that are kept for others who have seen all but the newest.
MAX_CHANGES = 500
# Proved at no time yet.
NEVER = float('-inf')

RowListener = Callable[[VersionedRow], None]


@dataclasses.dataclass(frozen=True)
class CopyNews:
    """What changed in a copy since some version, or all of it.

    :ivar whole: ``changes`` holds every row; others are gone.
    """

    changes: RowChanges
    whole: bool


class TableCopy:
    """Holds the rows of a table and tells each change to a listener.

    :param listener: is called with each row that is new, changed or removed.
    """

    def __init__(
        self, table: str, clock: Clock, listener: RowListener
    ) -> None:
        self.table = table
        self.loaded = False
        self.version = NO_ROW
        self.proved_at = NEVER
        self._clock = clock
        self._listener = listener
        self._rows: dict[str, VersionedRow] = {}
        self._changes: collections.deque[VersionedRow] = collections.deque()
        # All changes after this version are among those kept.
        self._changes_from = NO_ROW

    def get_age(self) -> float:
        """Return for how many seconds nothing has proved what is held."""
        return self._clock.monotonic() - self.proved_at

    def take_whole(self, snapshot: RowChanges, proved_at: float) -> None:
        """Take in all rows of the table.

        :raises PlatformUnavailable: if they are older than what is held.
        """
        if snapshot.version < self.version:
            raise PlatformUnavailable(
                f'the table {self.table!r} reverted from'
                f' {format_version(self.version)} to'
                f' {format_version(snapshot.version)}'
            )
        present = {row.key for row in snapshot.rows}
        missing = tuple(
            VersionedRow(key, None, snapshot.version)
            for key in self._rows
            if key not in present
        )
        self.loaded = True
        self.take_changes(
            RowChanges(snapshot.rows + missing, snapshot.version), proved_at
        )
        # What was removed in between and was never here is not known.
        self._changes.clear()
        self._changes_from = self.version

    def take_changes(self, changes: RowChanges, proved_at: float) -> None:
        """Take in what changed, from the version that is held or before.

        Several sources tell of the same changes, and some tell late: a row
        that is no newer than the copy is in it, or was removed since.
        """
        held = self.version
        for row in changes.rows:
            if row.version <= held:
                continue
            # Kept even if it is no news here: others may hold the row.
            self._keep(row)
            known = self._rows.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
            if row.value is not None or known is not None:
                self._listener(row)
        self.version = max(self.version, changes.version)
        self.proved_at = max(self.proved_at, proved_at)

    def list_since(self, version: int) -> CopyNews:
        """Return what changed after a version, or all rows if unknown."""
        if version < self._changes_from:
            rows = tuple(self._rows.values())
            return CopyNews(RowChanges(rows, self.version), True)
        newest = {
            row.key: row for row in self._changes if row.version > version
        }
        rows = tuple(newest.values())
        return CopyNews(RowChanges(rows, self.version), False)

    def _keep(self, row: VersionedRow) -> None:
        self._changes.append(row)
        if len(self._changes) > MAX_CHANGES:
            self._changes_from = self._changes.popleft().version
