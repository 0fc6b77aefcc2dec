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

"""The routers that are live, from a shared table of their own.

Each router writes its row when it starts, again now and then, and removes it
when it stops. One that vanished keeps its row for a while, so that the count
errs on the high side: budgets and caps that are divided by it then come out
too small, never too large.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import math

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowOrigin
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import RowWrite
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.http.address import check_address
from lifttrestle.internal.intake.decoding import decode_json
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('roster')
FLEET_TABLE = 'lifttrestle'
ROUTER_PREFIX = 'router/'
RETRY_SECONDS = 0.5
# A row is written anew this often: each write is told to every router.
REFRESH_SECONDS = 300.0
# A router whose row has not changed for three such times is not counted, and
# its row is removed.
STALE_SECONDS = 3 * REFRESH_SECONDS
# A router whose row is lost is still counted for this long. If it is live, it
# rewrites its row within half a second of learning of the loss.
LOST_GRACE_SECONDS = 5.0
# Counted until the table was read once: more than the deployments that are
# known have of VMs in a region would make every budget zero; fewer than they
# have would overspend. Each known deployment has eight or fewer.
UNKNOWN_COUNT = 12


class RouterRow(msgspec.Struct, frozen=True):
    """One router's row.

    :ivar address: where it hears of the others' loads, or nothing.
    """

    data_centre: str
    address: str = ''


@dataclasses.dataclass(frozen=True)
class RosterEntry:
    """A router's row as it was last seen.

    :ivar seen_at: when it was seen to change.
    """

    version: int
    address: str
    data_centre: str
    seen_at: float


class Roster:
    """Counts the live routers and keeps this one's row.

    :ivar address: where this router hears of the others' loads.
    :ivar loaded: the table was read once.
    :ivar changes: grows with each change of the entries.
    :ivar get_proved_at: returns until when the entries are known to be what
        the store holds. While the store is away nobody's row ages.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        vm: str,
        data_centre: str,
        refusals: InputRefusals | None = None,
    ) -> None:
        self._refusals = refusals or InputRefusals()
        self._store = store
        self._clock = clock
        self._key = f'{ROUTER_PREFIX}{vm}'
        self._data_centre = data_centre
        self._entries: dict[str, RosterEntry] = {}
        # No row of another router was seen to change earlier than then.
        self._none_seen_before = math.inf
        # Of this router's row, as it was last written or seen.
        self._own_version = NO_ROW
        # The highest epoch of a received row.
        self._epoch = 0
        # Versions of other routers' undeleted rows, by key.
        self._undeleted: dict[str, int] = {}
        # Set when this router's row must be written or undeleted rows removed.
        self._repair_needed = asyncio.Event()
        self._writing = asyncio.Lock()
        self._left = False
        self.address = ''
        self.loaded = False
        self.changes = 0
        self.get_proved_at: Callable[[], float] = clock.monotonic

    @property
    def live(self) -> int:
        """Return how many routers there are at most."""
        if not self.loaded:
            return UNKNOWN_COUNT
        stale = len(self._list_stale())
        return max(len(self._entries) - stale, 1)

    @property
    def routers(self) -> list[str]:
        """Return the routers' keys, in order."""
        fresh = set(self._entries) - set(self._list_stale())
        return sorted({*fresh, self._key})

    def list_others(self) -> list[str]:
        """Return the other routers that can be told of loads."""
        return [
            key
            for key, entry in self._entries.items()
            if entry.address and key != self._key
        ]

    @property
    def key(self) -> str:
        """Return this router's key."""
        return self._key

    @property
    def data_centre(self) -> str:
        """Return this router's data centre."""
        return self._data_centre

    def get_address(self, key: str) -> str:
        """Return where a router is reached, or an empty string."""
        entry = self._entries.get(key)
        return entry.address if entry is not None else ''

    def get_data_centre(self, key: str) -> str:
        """Return where a router is, or an empty string."""
        entry = self._entries.get(key)
        return entry.data_centre if entry is not None else ''

    def take(self, row: VersionedRow) -> None:
        """Take in a changed row of the table."""
        if not row.key.startswith(ROUTER_PREFIX):
            return
        before = self.live
        if get_epoch(row.version) > self._epoch:
            self._begin_epoch(get_epoch(row.version))
        if row.key == self._key and row.version > self._own_version:
            self._own_version = NO_ROW if row.value is None else row.version
        self.changes += 1
        self._undeleted.pop(row.key, None)
        if row.origin is RowOrigin.LOST:
            self._keep_lost_entry(row.key)
        elif row.origin is RowOrigin.UNDELETED and row.key != self._key:
            self._undeleted[row.key] = row.version
        elif row.value is None:
            self._entries.pop(row.key, None)
        else:
            held = self._read_row(row.key, row.value)
            now = self._clock.monotonic()
            self._none_seen_before = min(self._none_seen_before, now)
            self._entries[row.key] = RosterEntry(
                row.version,
                held.address,
                held.data_centre,
                now,
            )
        if self.live != before:
            LOG.info('roster.changed', live=self.live, before=before)
        own_unlisted = row.key == self._key and not self._is_listed()
        if self._undeleted or own_unlisted:
            self._repair_needed.set()

    def _begin_epoch(self, epoch: int) -> None:
        """Drop an own version of an earlier epoch and schedule a repair.

        A row that was written just before a restore and never read back by
        the watch is not reported as lost.
        """
        self._epoch = epoch
        if get_epoch(self._own_version) < epoch:
            self._own_version = NO_ROW
        self._repair_needed.set()

    def _keep_lost_entry(self, key: str) -> None:
        """Keep counting a router whose row is lost, for the grace period.

        A live router rewrites its row within that period.
        """
        entry = self._entries.get(key)
        if entry is None:
            return
        seen_at = self.get_proved_at() - STALE_SECONDS + LOST_GRACE_SECONDS
        self._none_seen_before = min(self._none_seen_before, seen_at)
        self._entries[key] = dataclasses.replace(
            entry, version=NO_ROW, seen_at=seen_at
        )

    async def run(self) -> None:
        """Keep this router's row and remove those of the vanished."""
        await self.join()
        await asyncio.gather(self._run_repairing(), self._run_refreshing())

    async def _run_repairing(self) -> None:
        while True:
            await self._repair_needed.wait()
            self._repair_needed.clear()
            await self.join()
            await self.remove_undeleted()

    async def _run_refreshing(self) -> None:
        while True:
            await self._clock.sleep(REFRESH_SECONDS)
            await self.refresh()
            await self.remove_stale()
            await self.remove_undeleted()

    async def remove_undeleted(self) -> None:
        """Remove the undeleted rows of routers that had left.

        Only the first live router does so, to avoid conflicting writes. Rows
        that could not be removed are tried again with the next refresh.
        """
        if self.routers[0] != self._key:
            return
        for key, version in list(self._undeleted.items()):
            LOG.info('roster.undeleted', router=key)
            if await self._remove(key, version):
                self._undeleted.pop(key, None)

    async def join(self) -> None:
        """Write this router's row, trying until it is there."""
        while not self._left and not self._is_listed():
            try:
                await self._write_own()
                return
            except ConditionFailed:
                # The row of an earlier start is there and not yet seen.
                LOG.info('roster.row_differs')
            except PlatformUnavailable as error:
                LOG.info('roster.not_joined', reason=str(error))
            await self._clock.sleep(RETRY_SECONDS)

    async def refresh(self) -> None:
        """Write this router's row anew, so that it is not taken for gone."""
        try:
            await self._write_own()
        except (ConditionFailed, PlatformUnavailable) as error:
            LOG.warning('roster.not_refreshed', reason=str(error))

    def _is_listed(self) -> bool:
        known = self._entries.get(self._key)
        return (
            known is not None
            and known.version != NO_ROW
            and known.address == self.address
        )

    async def _write_own(self) -> None:
        row = msgspec.json.encode(RouterRow(self._data_centre, self.address))
        async with self._writing:
            if not self._left:
                self._own_version = await self._write(
                    self._key, row, self._own_version
                )

    async def remove_stale(self) -> None:
        """Remove the rows of routers that vanished."""
        for key in self._list_stale():
            LOG.warning('roster.vanished', router=key)
            await self._remove(key, self._entries[key].version)

    async def leave(self) -> None:
        """Remove this router's row, and write it no more.

        A write that is under way comes first, so that the row does not come
        back after its removal.
        """
        self._left = True
        async with self._writing:
            if self._own_version == NO_ROW:
                return
            if await self._remove(self._key, self._own_version):
                self._own_version = NO_ROW

    async def _remove(self, key: str, version: int) -> bool:
        try:
            await self._write(key, None, version)
        except (ConditionFailed, PlatformUnavailable) as error:
            LOG.warning('roster.row_left', router=key, reason=str(error))
            return False
        self._entries.pop(key, None)
        self.changes += 1
        return True

    def _list_stale(self) -> list[str]:
        latest = self.get_proved_at() - STALE_SECONDS
        if self._none_seen_before >= latest:
            # Asked with each report of loads that is heard, 250 times a
            # second: to look at 195 rows each time took two fifths of their
            # cost (72 and 43 microseconds, benchmarks/decisions.py).
            return []
        others = [
            item for item in self._entries.items() if item[0] != self._key
        ]
        self._none_seen_before = min(
            (entry.seen_at for _, entry in others), default=math.inf
        )
        return [key for key, entry in others if entry.seen_at < latest]

    async def _write(self, key: str, value: bytes | None, version: int) -> int:
        write = RowWrite(FLEET_TABLE, key, value, version)
        return await self._store.write_row(write)

    def _read_row(self, key: str, value: bytes) -> RouterRow:
        """Return what a row tells, nothing for one that can't be used.

        Such a router is counted; nobody asks it or tells it anything.
        """
        try:
            row = decode_json(value, RouterRow)
            if row.address:
                check_address(row.address)
        except ValueError as error:
            self._refusals.note('routers', key, error)
            return RouterRow('')
        return row
