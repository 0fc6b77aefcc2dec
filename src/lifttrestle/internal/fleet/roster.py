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

Each router writes its row when it starts and removes it when it stops. One
that vanished keeps its row, so that the count errs on the high side: budgets
and caps that are divided by it then come out too small, never too large.
"""

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.rows import NO_ROW
from lifttrestle.internal.fleet.rows import RowStore
from lifttrestle.internal.fleet.rows import RowWrite
from lifttrestle.internal.fleet.rows import VersionedRow
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('roster')
FLEET_TABLE = 'lifttrestle'
ROUTER_PREFIX = 'router/'
RETRY_SECONDS = 0.5
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


class Roster:
    """Counts the live routers and keeps this one's row."""

    def __init__(
        self, store: RowStore, clock: Clock, vm: str, data_centre: str
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = f'{ROUTER_PREFIX}{vm}'
        self._data_centre = data_centre
        self._versions: dict[str, int] = {}
        self._addresses: dict[str, str] = {}
        self.address = ''
        self.loaded = False

    @property
    def live(self) -> int:
        """Return how many routers there are at most."""
        if not self.loaded:
            return UNKNOWN_COUNT
        return max(len(self._versions), 1)

    @property
    def routers(self) -> list[str]:
        """Return the routers' keys, in order."""
        return sorted({*self._versions, self._key})

    @property
    def addresses(self) -> list[str]:
        """Return where the other routers hear of loads."""
        return [
            address
            for key, address in self._addresses.items()
            if address and key != self._key
        ]

    @property
    def key(self) -> str:
        """Return this router's key."""
        return self._key

    def take(self, row: VersionedRow) -> None:
        """Take in a changed row of the table."""
        if not row.key.startswith(ROUTER_PREFIX):
            return
        before = self.live
        if row.value is None:
            self._versions.pop(row.key, None)
            self._addresses.pop(row.key, None)
        else:
            self._versions[row.key] = row.version
            self._addresses[row.key] = _read_address(row.value)
        if self.live != before:
            LOG.info('roster.changed', live=self.live, before=before)

    async def join(self) -> None:
        """Write this router's row, trying until it is there."""
        while self._key not in self._versions:
            try:
                await self._write(
                    msgspec.json.encode(
                        RouterRow(self._data_centre, self.address)
                    ),
                    NO_ROW,
                )
                return
            except ConditionFailed:
                # An earlier start of this router wrote the same.
                return
            except PlatformUnavailable as error:
                LOG.info('roster.not_joined', reason=str(error))
                await self._clock.sleep(RETRY_SECONDS)

    async def leave(self) -> None:
        """Remove this router's row, if that can be done at once."""
        version = self._versions.get(self._key)
        if version is None:
            return
        try:
            await self._write(None, version)
            self._versions.pop(self._key, None)
        except (ConditionFailed, PlatformUnavailable) as error:
            LOG.warning('roster.row_left', reason=str(error))

    async def _write(self, value: bytes | None, version: int) -> None:
        write = RowWrite(FLEET_TABLE, self._key, value, version)
        await self._store.write_row(write)


def _read_address(value: bytes) -> str:
    try:
        return msgspec.json.decode(value, type=RouterRow).address
    except (ValueError, msgspec.MsgspecError) as error:
        LOG.error('roster.unreadable', reason=str(error))
        return ''
