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

"""Stores the crashes that routers have noted, and reads them at their start.

Messages between routers and what they keep in memory are lost when all routers
that know of a crash end, at once or in turn. Each router stores what it has
noted itself of requests, and reads what all have stored when it starts. Parts
of prompts are not stored: many requests share them, and their good ends, which
speak for them, are known by memory only.
"""

import collections
from collections.abc import Callable

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.crashes.crash_row import CRASH_TABLE
from lifttrestle.internal.fleet.crashes.crash_row import CrashRow
from lifttrestle.internal.fleet.crashes.crash_row import decode_crash_row
from lifttrestle.internal.fleet.crashes.crash_row import encode_crash_row
from lifttrestle.internal.fleet.crashes.crash_row import KnownCrashes
from lifttrestle.internal.fleet.crashes.crash_row import StoredRecord
from lifttrestle.internal.fleet.crashes.hold_rules import HOLD_SECONDS
from lifttrestle.internal.fleet.crashes.ledger import CrashLedger
from lifttrestle.internal.fleet.crashes.suspects import get_kind
from lifttrestle.internal.fleet.crashes.suspects import SuspectKind
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.router_rows import RouterRows
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('crashes')
POLL_SECONDS = 0.1
READ_SECONDS = 1.0
# Bound of the row's size, in starts that have crashed under something.
MAX_STORED_STARTS = 400
MILLISECONDS = 1000


def _ignore() -> None:
    """Do nothing; the default callback."""


class CrashRows:
    """Writes the row of this router and reads the rows of all once.

    :param vm: key of this router's row.
    :param ledger: holds the records to store, and receives those read.
    :ivar on_read: called after the rows were read.
    """

    def __init__(
        self,
        vm: str,
        store: RowStore,
        roster: Roster,
        ledger: CrashLedger,
        clock: Clock,
        refusals: InputRefusals,
    ) -> None:
        self._rows = RouterRows(CRASH_TABLE, vm, store, roster, clock)
        self._ledger = ledger
        self._clock = clock
        self._refusals = refusals
        # Digests of the records to store, an ordered set, the latest last.
        self._stored: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._is_changed = False
        self._read_at = -READ_SECONDS
        self.on_read: Callable[[], None] = _ignore

    def note(self, digest: int) -> None:
        """Store a record that this router has changed, from now on."""
        if get_kind(digest) is not SuspectKind.REQUEST:
            return
        self._stored[digest] = None
        self._stored.move_to_end(digest)
        if len(self._stored) > MAX_STORED_STARTS:
            self._stored.popitem(last=False)
        self._is_changed = True

    def note_merged(self, digest: int) -> None:
        """Update a record if it is stored, after it was merged."""
        if digest in self._stored:
            self._is_changed = True

    async def run(self, ticker: Ticker) -> None:
        """Read the rows, and write changes, until cancelled."""
        while True:
            await self.synchronize()
            await ticker.wait(POLL_SECONDS)

    async def synchronize(self) -> None:
        """Read the rows if that is due, and write what has changed."""
        if self._rows.forget_restored():
            self._is_changed = True
        if not self._rows.is_known:
            await self._read()
        if not self._rows.is_known or not self._rows.may_write:
            return
        if self._is_changed:
            await self._write()
        else:
            await self._rows.remove_one_abandoned()

    async def _read(self) -> None:
        now = self._clock.monotonic()
        if now < self._read_at + READ_SECONDS:
            return
        self._read_at = now
        try:
            read = await self._rows.read()
        except PlatformUnavailable as error:
            LOG.info('crashes.not_read', reason=str(error))
            return
        abandoned = []
        for row in read.rows:
            decoded = self._decode(row)
            # The latest is first in a row, and last in memory.
            for record in reversed(decoded.records):
                self._merge(record)
                if row is read.earlier:
                    self.note(record.digest)
            if self._is_old(decoded.written_at_ms):
                abandoned.append(row)
        self._rows.set_abandoned(abandoned)
        LOG.info('crashes.read', routers=len(read.rows))
        self.on_read()

    def _decode(self, row: VersionedRow) -> CrashRow:
        """Return a decoded row, an empty one if it is invalid."""
        try:
            if row.value is not None:
                return decode_crash_row(row.value)
        except ValueError as error:
            self._refusals.report('crashes', row.key, error)
        return CrashRow(self._get_unix_ms(), [])

    def _merge(self, record: StoredRecord) -> None:
        now, now_ms = self._clock.monotonic(), self._get_unix_ms()
        crashed = {
            start: min(now, now - (now_ms - at_ms) / MILLISECONDS)
            for start, at_ms in record.crashed
            if not self._is_old(at_ms)
        }
        known = KnownCrashes(
            crashed, tuple(record.retracted), record.succeeded
        )
        self._ledger.restore(record.digest, known)

    async def _write(self) -> None:
        self._is_changed = False
        records = self._list_records()
        if records:
            row = CrashRow(self._get_unix_ms(), records)
            written = await self._rows.write(encode_crash_row(row))
        elif self._rows.exists:
            written = await self._rows.write(None)
        else:
            return
        if not written:
            self._is_changed = True

    def _list_records(self) -> list[StoredRecord]:
        """Return the records that matter, as many as fit.

        Those with the latest crash that counts come first.
        """
        known = {
            digest: self._ledger.get_crashes(digest)
            for digest in reversed(self._stored)
        }
        ranked = sorted(
            known.items(), key=lambda item: item[1].latest, reverse=True
        )
        records = []
        room = MAX_STORED_STARTS
        for digest, crashes in ranked:
            if 0 < crashes.size <= room:
                room -= crashes.size
                records.append(self._encode_record(digest, crashes))
        return records

    def _encode_record(self, digest: int, known: KnownCrashes) -> StoredRecord:
        now, now_ms = self._clock.monotonic(), self._get_unix_ms()
        crashed = [
            (start, int(now_ms - (now - at) * MILLISECONDS))
            for start, at in known.crashed.items()
        ]
        return StoredRecord(
            digest, crashed, list(known.retracted), known.succeeded
        )

    def _is_old(self, at_ms: int) -> bool:
        age_ms = self._get_unix_ms() - at_ms
        return age_ms >= HOLD_SECONDS * MILLISECONDS

    def _get_unix_ms(self) -> int:
        return int(self._clock.now().timestamp() * MILLISECONDS)
