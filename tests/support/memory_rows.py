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

"""An in-memory store of the shared tables with injectable faults."""

import asyncio
from collections.abc import Sequence
import dataclasses

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import HistoryGone
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.fleet.state.row_version import build_version
from lifttrestle.internal.fleet.state.row_version import get_commit_number
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowChanges
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import RowWrite
from lifttrestle.internal.fleet.state.rows import VersionedRow


@dataclasses.dataclass(frozen=True)
class RowsSnapshot:
    """The rows of every table, and the number of the latest commit."""

    commit_number: int
    rows: dict[str, dict[str, VersionedRow]]


class MemoryRows(RowStore):
    """Responds immediately; a watch without changes returns no rows.

    :ivar down: every call fails without effect.
    :ivar lose_answers: writes take effect, but their responses are lost.
    :ivar oldest: changes before this commit are no longer in the history.
    :ivar epoch: increases each time a snapshot is restored.
    """

    def __init__(self) -> None:
        self.down = False
        self.lose_answers = False
        self.oldest = 0
        self.version = 0
        self._rows: dict[str, dict[str, VersionedRow]] = {}

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Set a row unconditionally and return the version of the commit."""
        self.version += 1
        row = VersionedRow(key, value, self.version)
        self._rows.setdefault(table, {})[key] = row
        return self.version

    def take_snapshot(self) -> RowsSnapshot:
        """Return a snapshot of the current rows."""
        rows = {table: dict(rows) for table, rows in self._rows.items()}
        return RowsSnapshot(get_commit_number(self.version), rows)

    def restore(self, snapshot: RowsSnapshot) -> None:
        """Replace the rows with a snapshot and start the next epoch."""
        self.epoch += 1
        self.version = build_version(self.epoch, snapshot.commit_number)
        self._rows = {
            table: {
                key: VersionedRow(
                    key, row.value, self._to_current_epoch(row.version)
                )
                for key, row in rows.items()
            }
            for table, rows in snapshot.rows.items()
        }

    def _to_current_epoch(self, version: int) -> int:
        return build_version(self.epoch, get_commit_number(version))

    def get(self, table: str, key: str) -> VersionedRow:
        """Return a row; its value is None if it does not exist."""
        missing = VersionedRow(key, None, NO_ROW)
        row = self._rows.get(table, {}).get(key, missing)
        return missing if row.value is None else row

    async def read_table(self, table: str) -> RowChanges:
        """Return every row of a table."""
        self._check_up()
        rows = self._rows.get(table, {}).values()
        kept = tuple(row for row in rows if row.value is not None)
        return RowChanges(kept, self.version)

    async def watch_table(
        self, table: str, after: int, wait_seconds: float
    ) -> RowChanges:
        """Return the changes since a commit."""
        await asyncio.sleep(0)
        self._check_up()
        if get_epoch(after) != self.epoch or after > self.version:
            raise HistoryGone('the commit is not in the history')
        if after < self.oldest:
            raise HistoryGone('the changes are no longer in the history')
        rows = self._rows.get(table, {}).values()
        changed = [row for row in rows if row.version > after]
        changed.sort(key=lambda row: row.version)
        return RowChanges(tuple(changed), self.version)

    async def write_rows(self, writes: Sequence[RowWrite]) -> int:
        """Write rows if all their conditions hold."""
        self._check_up()
        for write in writes:
            held = self.get(write.table, write.key)
            wrong_epoch = write.expected_epoch not in (None, self.epoch)
            if wrong_epoch or held.version != write.expected_version:
                raise ConditionFailed((write.key,))
        self.version += 1
        for write in writes:
            row = VersionedRow(write.key, write.value, self.version)
            self._rows.setdefault(write.table, {})[write.key] = row
        if self.lose_answers:
            raise PlatformUnavailable('the response was lost')
        return self.version

    def close(self) -> None:
        """Do nothing."""

    def _check_up(self) -> None:
        if self.down:
            raise PlatformUnavailable('the store is down')
