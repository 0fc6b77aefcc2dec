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

"""Rows of the software versions of each service, in the routers' table.

A router that has just started has not seen which versions served before. The
row of a service lists each version that serves or recently did. A few routers
write it: a new version is added at once, and one that no longer serves is
removed once no stream that it began can be resumed any more.

A store that is restored from an older copy may have lost a version, so a row
names the epoch in which it was known to list all.
"""

from collections.abc import Set
import dataclasses

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowOrigin
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import RowWrite
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.intake.decoding import decode_json
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.routing.rendezvous import rank_names
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('streams')
SOFTWARE_PREFIX = 'software/'
# Number of routers that write the row of a service, and how long each waits
# for the one before it.
WRITER_COUNT = 3
TURN_SECONDS = 1.0
# After a write that failed, the row of another router is first awaited.
PAUSE_SECONDS = 2.0
# Two versions are as good as many: an origin that is not known stays so.
MAX_VERSIONS = 8
# Stands in a row for the versions of upstreams that state none.
UNKNOWN_VERSION = ''
# Longest key of a row, in bytes.
MAX_KEY_BYTES = 200


class SoftwareRow(msgspec.Struct, frozen=True):
    """The versions that may have begun a stream of one service.

    :ivar versions: an empty one stands for unknown versions.
    :ivar epoch: the store's epoch in which a router that wrote the row knew
        all versions, None if it was written by an earlier release.
    """

    versions: list[str] = []
    epoch: int | None = None


@dataclasses.dataclass
class ServiceRow:
    """What this router knows and intends for the row of one service.

    :ivar stored: the versions in the row as last read or written, None if
        there is no valid row.
    :ivar epoch: see ``SoftwareRow``.
    :ivar row_version: version that a conditional write expects.
    :ivar due_since: when a write was first found to be due, or None.
    :ivar unused_since: when each version of the row, or of a row that a
        restore of the store has undone, was first seen unused.
    """

    stored: frozenset[str] | None = None
    epoch: int | None = None
    row_version: int = NO_ROW
    due_since: float | None = None
    paused_until: float = 0.0
    unused_since: dict[str, float] = dataclasses.field(default_factory=dict)

    def list_known(self) -> frozenset[str]:
        """Return the versions that may have begun a stream."""
        return (self.stored or frozenset()).union(self.unused_since)

    def replace(
        self,
        row: SoftwareRow | None,
        row_version: int,
        undone_at: float | None,
    ) -> None:
        """Replace what the row lists.

        :param row: None if there is no valid row.
        :param undone_at: monotonic seconds at which what the row lacks was
            undone; None if a router has removed it.
        """
        stored = None if row is None else frozenset(row.versions)
        for version in (self.stored or frozenset()) - (stored or frozenset()):
            if undone_at is None:
                self.unused_since.pop(version, None)
            else:
                self.unused_since.setdefault(version, undone_at)
        self.stored = stored
        self.epoch = None if row is None else row.epoch
        self.row_version = row_version

    def plan(
        self, used: Set[str], now: float, life_seconds: float
    ) -> frozenset[str]:
        """Update which versions are unused; return what the row should list.

        :param used: the versions that serve or did within ``life_seconds``,
            as far as this router has seen.
        """
        since = {
            version: self.unused_since.get(version, now)
            for version in self.list_known() - used
        }
        kept = {
            version
            for version, unused_at in since.items()
            if now - unused_at < life_seconds
        }
        listed = kept.union(self.stored or ())
        self.unused_since = {
            version: unused_at
            for version, unused_at in since.items()
            if version in listed
        }
        return frozenset(sorted(used | kept)[:MAX_VERSIONS])


class SoftwareRows:
    """Reads and writes the rows."""

    def __init__(
        self,
        store: RowStore,
        roster: Roster,
        clock: Clock,
        refusals: InputRefusals | None = None,
    ) -> None:
        self._store = store
        self._roster = roster
        self._clock = clock
        self._refusals = refusals or InputRefusals()
        self._rows: dict[str, ServiceRow] = {}
        # Services of which this router has read a row that lists all.
        self._informed: set[str] = set()
        self._started_at = clock.monotonic()

    def list_versions(self, service: str) -> frozenset[str]:
        """Return the versions that the row of a service lists."""
        return self._get(service).list_known()

    def list_stored(self, service: str) -> frozenset[str] | None:
        """Return the versions that other routers can read in the row.

        None if there is no row yet.
        """
        return self._get(service).stored

    def is_complete(self, service: str) -> bool:
        """Return whether the row lists all versions that were ever stored."""
        row = self._get(service)
        return row.stored is not None and row.epoch == self._store.epoch

    def apply_row(self, row: VersionedRow) -> None:
        """Apply a changed row of the routers' table."""
        if not row.key.startswith(SOFTWARE_PREFIX):
            return
        service = row.key.removeprefix(SOFTWARE_PREFIX)
        stored = self._decode(row)
        undone = stored is None or row.origin is not RowOrigin.WRITTEN
        self._get(service).replace(
            stored,
            NO_ROW if row.value is None else row.version,
            self._clock.monotonic() if undone else None,
        )
        self._note_informed(service)

    def _note_informed(self, service: str) -> None:
        if self.is_complete(service):
            self._informed.add(service)

    def _decode(self, row: VersionedRow) -> SoftwareRow | None:
        """Return a decoded row, None if there is none or it is invalid."""
        if row.value is None:
            return None
        try:
            return decode_json(row.value, SoftwareRow)
        except ValueError as error:
            self._refusals.report('software', row.key, error)
            return None

    async def write_due(
        self, service: str, used: Set[str], life_seconds: float
    ) -> None:
        """Write the row of a service if it is this router's turn.

        :param used: see ``ServiceRow.plan``.
        """
        row = self._get(service)
        now = self._clock.monotonic()
        planned = SoftwareRow(
            sorted(row.plan(used, now, life_seconds)),
            self._find_epoch(service, now - life_seconds),
        )
        if (
            frozenset(planned.versions) == row.stored
            and planned.epoch == row.epoch
        ):
            row.due_since = None
            return
        if row.due_since is None:
            row.due_since = now
        rank = self._get_rank(service)
        is_turn = now - row.due_since >= rank * TURN_SECONDS
        if rank >= WRITER_COUNT or not is_turn or now < row.paused_until:
            return
        if not await self._write(service, row, planned):
            row.paused_until = self._clock.monotonic() + PAUSE_SECONDS

    def _find_epoch(self, service: str, oldest: float) -> int | None:
        """Return the epoch in which a row that is written lists all versions.

        A router that has just started doesn't know what a restored row lacks.

        :param oldest: no stream that began before this time can be resumed.
        """
        row = self._get(service)
        knows_all = (
            row.row_version == NO_ROW
            or service in self._informed
            or self._started_at <= oldest
        )
        return self._store.epoch if knows_all else row.epoch

    async def _write(
        self, service: str, row: ServiceRow, planned: SoftwareRow
    ) -> bool:
        """Write a row; return whether that is certain, errors are logged."""
        key = f'{SOFTWARE_PREFIX}{service}'
        if len(key.encode()) > MAX_KEY_BYTES:
            return False
        value = msgspec.json.encode(planned)
        # A row that does not exist has the same version in each epoch.
        epoch = planned.epoch if row.row_version == NO_ROW else None
        write = RowWrite(FLEET_TABLE, key, value, row.row_version, epoch)
        try:
            version = await self._store.write_row(write)
        except ConditionFailed:
            # Another router has written first; the watch delivers its row.
            return False
        except PlatformUnavailable as error:
            LOG.info(
                'software.not_written', service=service, reason=str(error)
            )
            return False
        if version > row.row_version:
            row.replace(planned, version, undone_at=None)
            self._note_informed(service)
        LOG.info(
            'software.written', service=service, versions=planned.versions
        )
        return True

    def _get(self, service: str) -> ServiceRow:
        return self._rows.setdefault(service, ServiceRow())

    def _get_rank(self, service: str) -> int:
        digest = service.encode()[:64]
        return rank_names(digest, self._roster.routers).index(self._roster.key)
