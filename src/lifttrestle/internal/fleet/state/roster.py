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

"""The live routers, from the rows that they keep in a shared table.

Each router writes its row when it starts, rewrites it periodically, and
removes it when it stops. The row of a router that crashed stays for a while,
so that the count is too high rather than too low: budgets and caps that are
divided by it are then too small, never too large.
"""

import asyncio
from collections.abc import Callable

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.router_share import RouterShare
from lifttrestle.internal.fleet.policy.router_share import ShareHistory
from lifttrestle.internal.fleet.state.own_row_writer import OwnRowWriter
from lifttrestle.internal.fleet.state.roster_entries import REFRESH_SECONDS
from lifttrestle.internal.fleet.state.roster_entries import RosterEntries
from lifttrestle.internal.fleet.state.roster_entries import STALE_SECONDS
from lifttrestle.internal.fleet.state.router_row import RouterRow
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('roster')
FLEET_TABLE = 'lifttrestle'
ROUTER_PREFIX = 'router/'
RETRY_SECONDS = 0.5
# Number of routers assumed until the table has been read. If it were far above
# the number of VMs that a deployment has in a region, every budget would be
# zero; if it were below, the routers would exceed the budgets. Each known
# deployment has eight VMs or fewer.
ASSUMED_COUNT = 12


class Roster:
    """Counts the live routers and maintains the row of this one.

    :ivar address: where this router receives load reports.
    :ivar tunnel_address: where this router accepts tunnels.
    :ivar loaded: whether the table has been read.
    :ivar changes: counts the changes of the entries.
    :ivar get_current_as_of: returns the monotonic time at which the entries
        were last confirmed to match the store. No row becomes stale during an
        outage of the store.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        vm: str,
        data_centre: str,
        refusals: InputRefusals | None = None,
    ) -> None:
        self._clock = clock
        self._key = f'{ROUTER_PREFIX}{vm}'
        self._data_centre = data_centre
        self._entries = RosterEntries(self._key, refusals or InputRefusals())
        self._writer = OwnRowWriter(store, FLEET_TABLE, self._key)
        # The highest epoch of a received row.
        self._epoch = 0
        # Set when this router's row must be written or undeleted rows removed.
        self._repair_needed = asyncio.Event()
        self._shares = ShareHistory()
        self.address = ''
        self.tunnel_address = ''
        self.loaded = False
        self.changes = 0
        self.get_current_as_of: Callable[[], float] = clock.monotonic

    @property
    def live(self) -> int:
        """Return an upper bound of the number of live routers."""
        if not self.loaded:
            return ASSUMED_COUNT
        stale = len(self._list_stale())
        return max(len(self._entries) - stale, 1)

    @property
    def routers(self) -> list[str]:
        """Return the keys of the live routers, sorted."""
        return self._entries.list_live(self.get_current_as_of())

    def list_shares(self, seconds: float) -> list[RouterShare]:
        """Return the shares that this router had in the last seconds.

        Empty while the number of routers is not known, or while the others may
        not count this one.
        """
        if not self.loaded or not self._is_counted():
            return []
        now = self._clock.monotonic()
        self._note_share()
        return self._shares.list_since(now - seconds)

    def _note_share(self) -> None:
        routers = self.routers
        share = RouterShare(len(routers), routers.index(self._key))
        self._shares.note(share, self._clock.monotonic())

    def _is_counted(self) -> bool:
        """Return whether the others surely count this router.

        A router that is cut off can't refresh its row, and can't read that
        the row was removed.
        """
        if not self._is_listed():
            return False
        age = self._clock.monotonic() - self._entries.own.seen_at
        return age < STALE_SECONDS - REFRESH_SECONDS / 2

    def list_others(self) -> list[str]:
        """Return the keys of the other routers that receive load reports."""
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
        """Return the address of a router, or an empty string."""
        return self._entries.get(key).address

    def list_tunnel_peers(self) -> dict[str, str]:
        """Return the data centres of the routers that accept tunnels."""
        return {
            key: entry.data_centre
            for key, entry in self._entries.items()
            if entry.tunnel_address and key != self._key
        }

    def get_tunnel_address(self, key: str) -> str:
        """Return where a router accepts tunnels, or an empty string."""
        return self._entries.get(key).tunnel_address

    def is_known_host(self, key: str, host: str) -> bool:
        """Return whether a router announces addresses of a host."""
        text = self.get_tunnel_address(key)
        return bool(text) and parse_address(text).host == host

    def get_data_centre(self, key: str) -> str:
        """Return the data centre of a router, or an empty string."""
        return self._entries.get(key).data_centre

    def apply_row(self, row: VersionedRow) -> None:
        """Apply a changed row of the table."""
        if not row.key.startswith(ROUTER_PREFIX):
            return
        before = self.live
        if get_epoch(row.version) > self._epoch:
            self._begin_epoch(get_epoch(row.version))
        if row.key == self._key:
            self._writer.note_own(row)
        self.changes += 1
        self._entries.apply_row(
            row, self._clock.monotonic(), self.get_current_as_of()
        )
        self._note_share()
        if self.live != before:
            LOG.info('roster.changed', live=self.live, before=before)
        own_unlisted = row.key == self._key and not self._is_listed()
        if self._entries.has_undeleted or own_unlisted:
            self._repair_needed.set()

    def _begin_epoch(self, epoch: int) -> None:
        """Drop this router's version of an earlier epoch and repair."""
        self._epoch = epoch
        self._writer.begin_epoch(epoch)
        self._repair_needed.set()

    async def run(self) -> None:
        """Maintain this router's row and remove stale rows until cancelled."""
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
        """Remove the undeleted rows of routers that had stopped.

        Only the first live router does so, to avoid conflicting writes. Rows
        that could not be removed are retried at the next refresh.
        """
        if self.routers[0] != self._key:
            return
        for key, version in self._entries.list_undeleted():
            LOG.info('roster.undeleted', router=key)
            if await self._remove(key, version):
                self._entries.remove_undeleted(key)

    async def join(self) -> None:
        """Write this router's row, with retries until it is in the table."""
        while not self._writer.has_left and not self._is_listed():
            try:
                await self._write_own()
                return
            except ConditionFailed:
                # The table has the row of an earlier start, not yet read here.
                LOG.info('roster.row_differs')
            except PlatformUnavailable as error:
                LOG.info('roster.not_joined', reason=str(error))
            await self._clock.sleep(RETRY_SECONDS)

    async def refresh(self) -> None:
        """Rewrite this router's row, so that it does not become stale."""
        try:
            await self._write_own()
        except (ConditionFailed, PlatformUnavailable) as error:
            LOG.warning('roster.not_refreshed', reason=str(error))

    def _is_listed(self) -> bool:
        own = self._entries.own
        return (
            own.version != NO_ROW
            and own.address == self.address
            and own.tunnel_address == self.tunnel_address
        )

    async def _write_own(self) -> None:
        own = RouterRow(self._data_centre, self.address, self.tunnel_address)
        await self._writer.write_own(msgspec.json.encode(own))

    async def remove_stale(self) -> None:
        """Remove the stale rows of other routers."""
        for key in self._list_stale():
            if key not in self._list_stale():
                # It was refreshed or removed while another row was written.
                continue
            LOG.warning('roster.vanished', router=key)
            await self._remove(key, self._entries[key].version)

    async def leave(self) -> None:
        """Remove this router's row and stop writing it.

        A write in progress completes first, so that it can't restore the row
        after its removal.
        """
        if await self._writer.remove_own():
            self._drop_entry(self._key)

    async def _remove(self, key: str, version: int) -> bool:
        removed = await self._writer.remove(key, version)
        if removed:
            self._drop_entry(key)
        return removed

    def _drop_entry(self, key: str) -> None:
        self._entries.remove(key)
        self.changes += 1
        self._note_share()

    def _list_stale(self) -> list[str]:
        return self._entries.list_stale(self.get_current_as_of())
