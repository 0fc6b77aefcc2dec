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

"""Writes the row that a router keeps of itself in a shared table."""

import asyncio

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import RowWrite
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('rows')


class OwnRowWriter:
    """Writes the row of this router and removes rows of any router.

    :param table: the table of the rows.
    :param own_key: the key of this router's row.
    :ivar has_left: whether this router no longer writes its row.
    """

    def __init__(self, store: RowStore, table: str, own_key: str) -> None:
        self._store = store
        self._table = table
        self._own_key = own_key
        # Version of this router's row as last written or read.
        self._own_version = NO_ROW
        self._epoch = 0
        self._own_lock = asyncio.Lock()
        self.has_left = False

    @property
    def exists(self) -> bool:
        """Return whether this router is known to have a row."""
        return self._own_version != NO_ROW

    def note_own(self, row: VersionedRow) -> None:
        """Record the version of this router's row as it was read."""
        if row.version > self._own_version:
            self._own_version = NO_ROW if row.value is None else row.version

    def begin_epoch(self, epoch: int) -> None:
        """Drop the version of this router's row if it is of an earlier epoch.

        The watch does not report a row as lost that this router wrote just
        before a restore, before the watch could read it.
        """
        self._epoch = max(self._epoch, epoch)
        self._drop_earlier()

    def _drop_earlier(self) -> None:
        if get_epoch(self._own_version) < self._epoch:
            self._own_version = NO_ROW

    async def write_own(self, value: bytes) -> None:
        """Write this router's row, unless it has left.

        :raises ConditionFailed: if the row has another version.
        :raises PlatformUnavailable: if the store gave no valid response.
        """
        async with self._own_lock:
            if not self.has_left:
                self._own_version = await self._write(
                    self._own_key, value, self._own_version
                )
                # The answer may come after a restore of the store.
                self._drop_earlier()

    async def remove_own(self) -> bool:
        """Remove this router's row and stop writing it.

        A write in progress completes first, so that it can't restore the row
        after its removal.

        :return: whether a row was removed.
        """
        self.has_left = True
        async with self._own_lock:
            if self._own_version == NO_ROW:
                return False
            if not await self.remove(self._own_key, self._own_version):
                return False
            self._own_version = NO_ROW
            return True

    async def remove(self, key: str, version: int) -> bool:
        """Remove a row; return whether that succeeded."""
        try:
            await self._write(key, None, version)
        except (ConditionFailed, PlatformUnavailable) as error:
            LOG.warning(
                'row.left', table=self._table, router=key, reason=str(error)
            )
            return False
        return True

    async def _write(self, key: str, value: bytes | None, version: int) -> int:
        write = RowWrite(self._table, key, value, version)
        return await self._store.write_row(write)
