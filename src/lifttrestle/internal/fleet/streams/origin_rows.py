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

"""Stores the origins of open streams, and reads those of all routers.

Messages between routers and what they keep in memory are lost when all routers
that hold an origin end. Each router stores those of the streams that it
serves; the rows are read only when a stream is resumed that nobody knows.
"""

from collections.abc import Callable
from collections.abc import Collection

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.unix_time import get_unix_ms
from lifttrestle.internal.clock.unix_time import MILLISECONDS
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.router_rows import RouterRows
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.streams.ledger import OriginLedger
from lifttrestle.internal.fleet.streams.open_streams import OpenStreams
from lifttrestle.internal.fleet.streams.origin import StreamOrigin
from lifttrestle.internal.fleet.streams.origin_row import decode_origin_row
from lifttrestle.internal.fleet.streams.origin_row import encode_origin_row
from lifttrestle.internal.fleet.streams.origin_row import list_row_origins
from lifttrestle.internal.fleet.streams.origin_row import ORIGIN_TABLE
from lifttrestle.internal.fleet.streams.origin_row import OriginRow
from lifttrestle.internal.fleet.streams.shared_call import SharedCall
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('streams')
# Any caller can name a stream that never was: that costs one read a period.
READ_SECONDS = 1.0
# The row of a router that has ended for good is removed after this time.
ABANDONED_SECONDS = 3600.0


class OriginRows:
    """Writes the row of this router and reads the rows of all.

    :param vm: key of this router's row.
    :param ledger: receives the origins that are read.
    :param get_life_seconds: returns for how long a stream that has begun may
        be resumed.
    """

    def __init__(
        self,
        vm: str,
        store: RowStore,
        roster: Roster,
        ledger: OriginLedger,
        clock: Clock,
        get_life_seconds: Callable[[], float],
        refusals: InputRefusals | None = None,
    ) -> None:
        self._rows = RouterRows(ORIGIN_TABLE, vm, store, roster, clock)
        self._ledger = ledger
        self._clock = clock
        self._get_life_seconds = get_life_seconds
        self._refusals = refusals or InputRefusals()
        self._open = OpenStreams(clock)
        self._next_read = SharedCall(
            clock, lambda: READ_SECONDS, self._read_sought
        )
        # Digests that callers of the next read look for.
        self._sought: set[int] = set()

    def note_begun(self, digest: int, origin: StreamOrigin) -> None:
        """Record a stream that this router begins or resumes."""
        self._open.add(digest, origin.without_unused_start())

    def note_unknown(self, digest: int) -> None:
        """Record that several streams began under one digest."""
        self._open.remove(digest)
        self._open.changed = True

    def note_complete(self, digest: int) -> None:
        """Record that a caller has received its stream completely."""
        self._open.remove(digest)

    async def write_due(self, *, needed: bool) -> None:
        """Write this router's row if it has changed; errors are logged.

        Of the rows of routers that have ended for good, one is removed.

        :param needed: whether streams may have different origins; without
            that the row is removed.
        """
        if not self._rows.may_write:
            return
        self._open.remove_expired(self._get_life_seconds())
        if self._rows.forget_restored():
            self._open.changed = True
        if needed and self._open.changed:
            await self._write_open()
        elif not needed and self._rows.exists:
            self._open.changed = True
            await self._rows.write(None)
        await self._rows.remove_one_abandoned()

    async def read_current(self, digest: int) -> None:
        """Read all rows, beginning after this call; errors are logged.

        Calls that wait together share one read.

        :param digest: a stream whose origin is recorded if a row has it; those
            of others are as far as there is room.
        """
        self._sought.add(digest)
        await self._next_read.call()

    async def _read_sought(self) -> None:
        sought, self._sought = self._sought, set()
        await self._read(sought)

    async def _write_open(self) -> None:
        if not self._rows.is_known:
            await self._read()
        if not self._rows.is_known:
            self._rows.delay_write()
            return
        self._open.changed = False
        written = await self._rows.write(
            encode_origin_row(
                self._open.list_origins(), get_unix_ms(self._clock)
            )
        )
        if not written:
            self._open.changed = True

    async def _read(self, sought: Collection[int] = ()) -> None:
        try:
            read = await self._rows.read()
        except PlatformUnavailable as error:
            LOG.info('origins.not_read', reason=str(error))
            return
        abandoned = []
        for row in read.rows:
            decoded = self._decode(row)
            self._record_row(decoded, sought)
            if row is read.earlier:
                self._open.add_earlier(list_row_origins(decoded))
            if self._is_abandoned(decoded):
                abandoned.append(row)
        self._rows.set_abandoned(abandoned)
        LOG.info('origins.read', routers=len(read.rows))

    def _record_row(self, row: OriginRow, sought: Collection[int]) -> None:
        for digest, origin in list_row_origins(row).items():
            if digest in sought or not self._ledger.is_full:
                self._record(digest, origin)

    def _record(self, digest: int, origin: StreamOrigin) -> None:
        """Record an origin; those that disagree become unknown."""
        known = self._ledger.get(digest)
        if known is None or not known.agrees_with(origin):
            self._ledger.put(digest, origin)

    def _decode(self, row: VersionedRow) -> OriginRow:
        """Return a decoded row, an empty one if it is invalid."""
        try:
            if row.value is not None:
                return decode_origin_row(row.value)
        except ValueError as error:
            self._refusals.report('streams', row.key, error)
        return OriginRow(get_unix_ms(self._clock), [], [])

    def _is_abandoned(self, row: OriginRow) -> bool:
        age_ms = get_unix_ms(self._clock) - row.written_at_ms
        return age_ms >= ABANDONED_SECONDS * MILLISECONDS
