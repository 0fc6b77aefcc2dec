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

"""Interface of the versioned tables that all routers share."""

import abc
from collections.abc import Sequence
import dataclasses
import enum

from lifttrestle.internal.fleet.state.row_version import get_epoch

# A row that does not exist has this version.
NO_ROW = 0
# Each write takes two of the hundred entries of a commit.
MAX_WRITES = 50


class RowOrigin(enum.Enum):
    """Why a listener of a table is called with a row."""

    # The row was written or removed.
    WRITTEN = enum.auto()
    # The row is in force after the store was restored: it was in the older
    # copy, was written between the restore and the next read of the table, or
    # is kept by the restore policy.
    RESTORED = enum.auto()
    # The restored store lacks the row, and no removal of it is known.
    LOST = enum.auto()
    # The row had been removed, and the restored store has it again.
    UNDELETED = enum.auto()


@dataclasses.dataclass(frozen=True)
class VersionedRow:
    """One row.

    :ivar version: the version of the commit that wrote it, which includes
        the store's epoch (see ``row_version``).
    :ivar value: its bytes, or None if the row does not exist.
    """

    key: str
    value: bytes | None
    version: int
    origin: RowOrigin = RowOrigin.WRITTEN


@dataclasses.dataclass(frozen=True)
class RowChanges:
    """All rows of a table as of one commit, or the changes up to it.

    :ivar version: the newest commit that the rows reflect.
    """

    rows: tuple[VersionedRow, ...]
    version: int


@dataclasses.dataclass(frozen=True)
class RowWrite:
    """A conditional write: sets one row if it has the expected version.

    :ivar value: the new bytes, or None to remove the row.
    :ivar epoch: the only epoch in which the write is valid. If None, it is
        the epoch of the expected version, or any epoch for ``NO_ROW``, which
        is the same version in every epoch.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int
    epoch: int | None = None

    @property
    def expected_epoch(self) -> int | None:
        """Return the epoch in which the write is valid, None for any."""
        if self.epoch is None and self.expected_version != NO_ROW:
            return get_epoch(self.expected_version)
        return self.epoch


class RowStore(abc.ABC):
    """Reads, watches and conditionally writes rows.

    Each method raises ``PlatformUnavailable`` if it gets no valid response.
    A write that raises it may have taken effect, or may still do so later.

    :ivar epoch: the epoch that the store reported last, or zero if it has
        reported none. The store increases it when it is restored from an
        older copy.
    """

    epoch: int = 0

    @abc.abstractmethod
    async def read_table(self, table: str) -> RowChanges:
        """Return every row of a table."""

    @abc.abstractmethod
    async def watch_table(
        self, table: str, after: int, wait_seconds: float
    ) -> RowChanges:
        """Return the changes since commit ``after``.

        If there are none, wait for the first for up to ``wait_seconds``.

        :raises HistoryGone: if the store no longer holds those changes.
        """

    async def write_row(self, write: RowWrite) -> int:
        """Write one row and return the commit's version.

        :raises ConditionFailed: if the row has another version.
        """
        return await self.write_rows((write,))

    @abc.abstractmethod
    async def write_rows(self, writes: Sequence[RowWrite]) -> int:
        """Write rows in one commit, all or none, and return its version.

        :param writes: at most ``MAX_WRITES``.
        :raises ConditionFailed: if one of the rows has another version.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections to the store."""
