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

"""The routers' rows as last read, and which of them are stale."""

from collections.abc import ItemsView
import dataclasses
import math

from lifttrestle.internal.fleet.state.router_row import decode_router_row
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowOrigin
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.intake.refusals import InputRefusals

# Interval at which a row is rewritten; each write is sent to every router.
REFRESH_SECONDS = 300.0
# A router whose row has not changed for three such intervals is not counted,
# and its row is removed.
STALE_SECONDS = 3 * REFRESH_SECONDS
# A router whose row is lost is still counted for this long. If it is live, it
# rewrites its row within half a second of learning of the loss.
LOST_GRACE_SECONDS = 5.0


@dataclasses.dataclass(frozen=True)
class RosterEntry:
    """A router's row as last read.

    :ivar seen_at: monotonic time at which its last change was read.
    """

    version: int
    address: str
    data_centre: str
    seen_at: float
    tunnel_address: str = ''


UNKNOWN_ROUTER = RosterEntry(NO_ROW, '', '', -math.inf)


class RosterEntries:
    """The entries of the routers, by key.

    Times are monotonic. ``current_as_of`` is the time at which the entries
    were last confirmed to match the store.

    :param own_key: the key of this router, whose entry is never stale.
    """

    def __init__(self, own_key: str, refusals: InputRefusals) -> None:
        self._refusals = refusals
        self._own_key = own_key
        self._entries: dict[str, RosterEntry] = {}
        # Lower bound of ``seen_at`` of the other routers' rows.
        self._oldest_seen_at = math.inf
        # All keys and that of this router, sorted; None if not known.
        self._sorted: list[str] | None = None
        # Versions of other routers' undeleted rows, by key.
        self._undeleted: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of entries, including stale ones."""
        return len(self._entries)

    @property
    def own(self) -> RosterEntry:
        """Return the entry of this router, or ``UNKNOWN_ROUTER``."""
        return self.get(self._own_key)

    def get(self, key: str) -> RosterEntry:
        """Return the entry of a router, or ``UNKNOWN_ROUTER``."""
        return self._entries.get(key, UNKNOWN_ROUTER)

    def __getitem__(self, key: str) -> RosterEntry:
        """Return the entry of a router.

        :raises KeyError: if there is none.
        """
        return self._entries[key]

    def items(self) -> ItemsView[str, RosterEntry]:
        """Return the keys and the entries of all routers."""
        return self._entries.items()

    def list_live(self, current_as_of: float) -> list[str]:
        """Return the sorted keys of this router and those not stale.

        The list must not be changed.
        """
        if self._sorted is None:
            self._sorted = sorted({*self._entries, self._own_key})
        stale = set(self.list_stale(current_as_of))
        if not stale:
            return self._sorted
        return [key for key in self._sorted if key not in stale]

    def list_stale(self, current_as_of: float) -> list[str]:
        """Return the keys of the other routers whose rows are stale."""
        latest = current_as_of - STALE_SECONDS
        if self._oldest_seen_at >= latest:
            # Called for each received load report, 250 times a second. A scan
            # of 195 rows each time took two fifths of the cost of a report
            # (72 microseconds with it, 43 without; benchmarks/decisions.py).
            return []
        others = [
            item for item in self._entries.items() if item[0] != self._own_key
        ]
        self._oldest_seen_at = min(
            (entry.seen_at for _, entry in others), default=math.inf
        )
        return [key for key, entry in others if entry.seen_at < latest]

    def apply_row(
        self, row: VersionedRow, now: float, current_as_of: float
    ) -> None:
        """Apply a changed row that was read just now."""
        self._undeleted.pop(row.key, None)
        if row.origin is RowOrigin.LOST:
            self._keep_lost(row.key, current_as_of)
        elif row.origin is RowOrigin.UNDELETED and row.key != self._own_key:
            self._undeleted[row.key] = row.version
        elif row.value is None:
            self.remove(row.key)
        else:
            decoded = decode_router_row(row.key, row.value, self._refusals)
            entry = RosterEntry(
                row.version,
                decoded.address,
                decoded.data_centre,
                now,
                decoded.tunnel_address,
            )
            self._put(row.key, entry)

    def _put(self, key: str, entry: RosterEntry) -> None:
        self._oldest_seen_at = min(self._oldest_seen_at, entry.seen_at)
        if key not in self._entries:
            self._sorted = None
        self._entries[key] = entry

    def remove(self, key: str) -> None:
        """Remove the entry of a router, if there is one."""
        if self._entries.pop(key, None) is not None:
            self._sorted = None

    def _keep_lost(self, key: str, current_as_of: float) -> None:
        """Keep counting a router whose row is lost, for the grace period.

        A live router rewrites its row within that period.
        """
        entry = self._entries.get(key)
        if entry is None:
            return
        seen_at = current_as_of - STALE_SECONDS + LOST_GRACE_SECONDS
        self._put(
            key, dataclasses.replace(entry, version=NO_ROW, seen_at=seen_at)
        )

    @property
    def has_undeleted(self) -> bool:
        """Return whether undeleted rows are to be removed."""
        return bool(self._undeleted)

    def list_undeleted(self) -> list[tuple[str, int]]:
        """Return the key and the version of each undeleted row."""
        return list(self._undeleted.items())

    def remove_undeleted(self, key: str) -> None:
        """Record that the row of a router is not undeleted any more."""
        self._undeleted.pop(key, None)
