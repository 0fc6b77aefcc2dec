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

"""The rows of a table in which each router has one, and writes only that."""

from collections.abc import Sequence
import dataclasses

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.row_pacing import get_write_seconds
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import RowWrite
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('rows')


@dataclasses.dataclass(frozen=True)
class ReadRows:
    """All rows of the table.

    :ivar earlier: the row of an earlier start of this router, or of a write
        whose answer was lost, which the next write must not drop; else None.
    """

    rows: Sequence[VersionedRow]
    earlier: VersionedRow | None = None


class RouterRows:
    """Reads the rows of a table and writes the one of this router.

    All routers together write at most some rows a second.

    :param table: name of the table.
    :param key: key of this router's row.
    """

    def __init__(
        self,
        table: str,
        key: str,
        store: RowStore,
        roster: Roster,
        clock: Clock,
    ) -> None:
        self._table = table
        self._key = key
        self._store = store
        self._roster = roster
        self._clock = clock
        # Version of this router's row, None if it has to be read first.
        self._version: int | None = None
        self._write_at = 0.0
        # Rows of routers that have ended for good.
        self._abandoned: list[VersionedRow] = []

    @property
    def is_known(self) -> bool:
        """Return whether the version of this router's row is known."""
        return self._version is not None

    @property
    def exists(self) -> bool:
        """Return whether this router is known to have a row."""
        return self._version not in (None, NO_ROW)

    @property
    def may_write(self) -> bool:
        """Return whether the next write is due, if there is one."""
        return self._clock.monotonic() >= self._write_at

    def delay_write(self) -> None:
        """Let other routers write first."""
        seconds = get_write_seconds(self._roster.live)
        self._write_at = self._clock.monotonic() + seconds

    def forget_restored(self) -> bool:
        """Return whether the store was restored since this router's write.

        The row has to be read and written again then.
        """
        if not self.exists or self._version is None:
            return False
        if get_epoch(self._version) >= self._store.epoch:
            return False
        self._version = None
        return True

    async def read(self) -> ReadRows:
        """Return all rows.

        :raises PlatformUnavailable: if the store can't be read.
        """
        changes = await self._store.read_table(self._table)
        if self.is_known:
            return ReadRows(changes.rows)
        self._version = NO_ROW
        for row in changes.rows:
            if row.key == self._key:
                self._version = row.version
                return ReadRows(changes.rows, earlier=row)
        return ReadRows(changes.rows)

    async def write(self, value: bytes | None) -> bool:
        """Write or remove this router's row; return whether that is certain.

        An error is logged; the row has to be read before the next write then.
        """
        assert self._version is not None, 'the row was read'
        self.delay_write()
        write = RowWrite(self._table, self._key, value, self._version)
        try:
            version = await self._store.write_row(write)
        except (ConditionFailed, PlatformUnavailable) as error:
            # A write without an answer may have taken effect.
            self._version = None
            LOG.info('row.not_written', table=self._table, reason=str(error))
            return False
        self._version = NO_ROW if value is None else version
        return True

    def set_abandoned(self, rows: Sequence[VersionedRow]) -> None:
        """Record the rows that nobody needs any more.

        :param rows: of all routers; this router's own is left out.
        """
        self._abandoned = [row for row in rows if row.key != self._key]

    async def remove_one_abandoned(self) -> None:
        """Remove one of the rows that nobody needs; errors are logged."""
        if not self._abandoned:
            return
        self.delay_write()
        row = self._abandoned.pop()
        write = RowWrite(self._table, row.key, None, row.version)
        try:
            await self._store.write_row(write)
        except (ConditionFailed, PlatformUnavailable) as error:
            LOG.info(
                'row.left',
                table=self._table,
                router=row.key,
                reason=str(error),
            )
