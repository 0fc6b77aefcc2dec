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
"""

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
# After a write, its row is first awaited.
PAUSE_SECONDS = 2.0
# Two versions are as good as many: an origin that is not known stays so.
MAX_VERSIONS = 8
# Longest key of a row, in bytes.
MAX_KEY_BYTES = 200


class SoftwareRow(msgspec.Struct, frozen=True):
    """The versions that may have begun a stream of one service."""

    versions: list[str] = []


@dataclasses.dataclass
class ServiceRow:
    """What this router knows and intends for the row of one service.

    :ivar listed: the versions in the row as last read.
    :ivar row_version: version that a conditional write expects.
    :ivar due_since: when a write was first found to be due, or None.
    :ivar unused_since: when each listed version was first seen unused.
    """

    listed: frozenset[str] = frozenset()
    row_version: int = NO_ROW
    due_since: float | None = None
    paused_until: float = 0.0
    unused_since: dict[str, float] = dataclasses.field(default_factory=dict)

    def plan(
        self, used: set[str], now: float, life_seconds: float
    ) -> frozenset[str]:
        """Update which versions are unused; return what the row should list.

        :param used: the versions that serve or did within ``life_seconds``,
            as far as this router has seen.
        """
        self.unused_since = {
            version: self.unused_since.get(version, now)
            for version in self.listed - used
        }
        kept = {
            version
            for version, since in self.unused_since.items()
            if now - since < life_seconds
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

    def list_versions(self, service: str) -> frozenset[str]:
        """Return the versions that the row of a service lists."""
        row = self._rows.get(service)
        return frozenset() if row is None else row.listed

    def apply_row(self, row: VersionedRow) -> None:
        """Apply a changed row of the routers' table."""
        if not row.key.startswith(SOFTWARE_PREFIX):
            return
        known = self._get(row.key.removeprefix(SOFTWARE_PREFIX))
        if row.value is None:
            known.row_version = NO_ROW
            if row.origin is RowOrigin.WRITTEN:
                known.listed = frozenset()
            return
        known.row_version = row.version
        try:
            listed = decode_json(row.value, SoftwareRow)
        except ValueError as error:
            self._refusals.report('software', row.key, error)
            return
        known.listed = frozenset(listed.versions)

    async def write_due(
        self, service: str, used: set[str], life_seconds: float
    ) -> None:
        """Write the row of a service if it is this router's turn.

        :param used: see ``ServiceRow.plan``.
        """
        row = self._get(service)
        now = self._clock.monotonic()
        planned = row.plan(used, now, life_seconds)
        if planned == row.listed:
            row.due_since = None
            return
        if row.due_since is None:
            row.due_since = now
        rank = self._get_rank(service)
        is_turn = now - row.due_since >= rank * TURN_SECONDS
        if rank >= WRITER_COUNT or not is_turn or now < row.paused_until:
            return
        row.paused_until = now + PAUSE_SECONDS
        await self._write(service, row.row_version, planned)

    async def _write(
        self, service: str, row_version: int, versions: frozenset[str]
    ) -> None:
        key = f'{SOFTWARE_PREFIX}{service}'
        if len(key.encode()) > MAX_KEY_BYTES:
            return
        value = msgspec.json.encode(SoftwareRow(sorted(versions)))
        write = RowWrite(FLEET_TABLE, key, value, row_version)
        try:
            await self._store.write_row(write)
        except ConditionFailed:
            # Another router has written first; the watch delivers its row.
            return
        except PlatformUnavailable as error:
            LOG.info(
                'software.not_written', service=service, reason=str(error)
            )
            return
        LOG.info(
            'software.written', service=service, versions=sorted(versions)
        )

    def _get(self, service: str) -> ServiceRow:
        return self._rows.setdefault(service, ServiceRow())

    def _get_rank(self, service: str) -> int:
        digest = service.encode()[:64]
        return rank_names(digest, self._roster.routers).index(self._roster.key)
