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

"""Stores the crashes that routers have noted, in rows of the routers' table.

Messages between routers and what they keep in memory are lost when all routers
that know of a crash end, at once or in turn. Each router stores what it has
noted itself of requests, in a row of its own, and all merge the rows of all; a
starting router does before it accepts any request. Parts of prompts are not
stored: many requests share them, and their good ends, which speak for them,
are known by memory only.
"""

import collections

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.clock.unix_time import get_unix_ms
from lifttrestle.internal.clock.unix_time import MILLISECONDS
from lifttrestle.internal.fleet.crashes.crash_row import CRASH_PREFIX
from lifttrestle.internal.fleet.crashes.crash_row import CrashRow
from lifttrestle.internal.fleet.crashes.crash_row import decode_crash_row
from lifttrestle.internal.fleet.crashes.crash_row import encode_crash_row
from lifttrestle.internal.fleet.crashes.crash_row import KnownCrashes
from lifttrestle.internal.fleet.crashes.crash_row import StoredRecord
from lifttrestle.internal.fleet.crashes.hold_rules import HOLD_SECONDS
from lifttrestle.internal.fleet.crashes.ledger import CrashLedger
from lifttrestle.internal.fleet.crashes.ledger import MAX_RECORDS
from lifttrestle.internal.fleet.crashes.suspects import get_kind
from lifttrestle.internal.fleet.crashes.suspects import SuspectKind
from lifttrestle.internal.fleet.policy.row_pacing import get_write_seconds
from lifttrestle.internal.fleet.state.own_row_writer import OwnRowWriter
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('crashes')
POLL_SECONDS = 0.1
# Bounds of a row's size, in starts that have crashed under something. Routers
# keep the rows of the last 500 changes of the table in memory.
MAX_STORED_STARTS = 200
MIN_STORED_STARTS = 8
NO_RECORDS: tuple[StoredRecord, ...] = ()


def get_max_starts(routers: int) -> int:
    """Return how many starts one router may store.

    The records of all rows fit into half of a ledger, in fleets of over 256
    routers into a greater part of it.
    """
    share = MAX_RECORDS // 2 // max(routers, 1)
    return min(max(share, MIN_STORED_STARTS), MAX_STORED_STARTS)


class CrashRows:
    """Writes the row of this router, and merges those of all.

    :param vm: names this router's row.
    :param ledger: holds the records to store, and receives those read.
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
        self._key = f'{CRASH_PREFIX}{vm}'
        self._writer = OwnRowWriter(store, FLEET_TABLE, self._key)
        self._roster = roster
        self._ledger = ledger
        self._clock = clock
        self._refusals = refusals
        # Digests of the records to store, an ordered set, the latest last.
        self._stored: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._is_changed = False
        self._has_written = False
        self._write_at = 0.0
        # The highest epoch of a received row.
        self._epoch = 0
        # Rows of other routers, and when each was written, Unix milliseconds.
        self._others: dict[str, tuple[VersionedRow, int]] = {}

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

    def apply_row(self, row: VersionedRow) -> tuple[StoredRecord, ...]:
        """Merge a changed row of the routers' table; return its records."""
        self._note_epoch(get_epoch(row.version))
        if not row.key.startswith(CRASH_PREFIX):
            return NO_RECORDS
        is_own = row.key == self._key
        if is_own:
            self._writer.note_own(row)
        if row.value is None:
            self._others.pop(row.key, None)
            # Removed by another router, or lost by the store.
            self._is_changed = self._is_changed or (
                is_own and bool(self._stored)
            )
            return NO_RECORDS
        decoded = self._decode(row)
        # The latest is first in a row, and last in memory.
        for record in reversed(decoded.records):
            self._merge(record)
            if is_own and not self._has_written:
                # Of an earlier start of this router.
                self.note(record.digest)
        if not is_own:
            self._others[row.key] = (row, decoded.written_at_ms)
        return tuple(decoded.records)

    def _note_epoch(self, epoch: int) -> None:
        """Write the row again if the store was restored."""
        if epoch <= self._epoch:
            return
        self._epoch = epoch
        self._writer.begin_epoch(epoch)
        self._is_changed = self._is_changed or bool(self._stored)

    async def run(self, ticker: Ticker) -> None:
        """Write changes until cancelled."""
        while True:
            await self.synchronize()
            await ticker.wait(POLL_SECONDS)

    async def synchronize(self) -> None:
        """Write what has changed, or remove a row that nobody needs."""
        if not self._roster.loaded:
            return
        now = self._clock.monotonic()
        if now < self._write_at:
            return
        if self._is_changed:
            self._delay_write(now)
            await self._write()
            return
        abandoned = self._find_abandoned()
        if abandoned is not None:
            self._delay_write(now)
            if await self._writer.remove(abandoned.key, abandoned.version):
                self._others.pop(abandoned.key, None)

    def _delay_write(self, now: float) -> None:
        """Let other routers write first."""
        self._write_at = now + get_write_seconds(self._roster.live)

    def _find_abandoned(self) -> VersionedRow | None:
        """Return a row whose records no longer count, if there is one.

        The first live router removes it.
        """
        if not self._others or self._roster.routers[0] != self._roster.key:
            return None
        return next(
            (
                row
                for row, written_at_ms in self._others.values()
                if self._is_old(written_at_ms)
            ),
            None,
        )

    def _decode(self, row: VersionedRow) -> CrashRow:
        """Return a decoded row, an empty one if it is invalid."""
        try:
            if row.value is not None:
                return decode_crash_row(row.value)
        except ValueError as error:
            self._refusals.report('crashes', row.key, error)
        return CrashRow(get_unix_ms(self._clock), [])

    def _merge(self, record: StoredRecord) -> None:
        now, now_ms = self._clock.monotonic(), get_unix_ms(self._clock)
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
        records = self._list_records()
        self._is_changed = False
        if not records and not self._writer.exists:
            return
        row = CrashRow(get_unix_ms(self._clock), records)
        self._has_written = True
        try:
            await self._writer.write_own(encode_crash_row(row))
        except (ConditionFailed, PlatformUnavailable) as error:
            # The watch delivers the row that the store has.
            LOG.info('crashes.not_written', reason=str(error))
            self._is_changed = True

    def _list_records(self) -> list[StoredRecord]:
        """Return the records that matter, as many as fit.

        Those with most crashes come first, then those with the latest.
        """
        known = {
            digest: self._ledger.get_crashes(digest)
            for digest in reversed(self._stored)
        }
        ranked = sorted(
            known.items(),
            key=lambda item: (len(item[1].crashed), item[1].latest),
            reverse=True,
        )
        records = []
        room = get_max_starts(self._roster.live)
        for digest, crashes in ranked:
            if 0 < crashes.size <= room:
                room -= crashes.size
                records.append(self._encode_record(digest, crashes))
        return records

    def _encode_record(self, digest: int, known: KnownCrashes) -> StoredRecord:
        now, now_ms = self._clock.monotonic(), get_unix_ms(self._clock)
        crashed = [
            (start, int(now_ms - (now - at) * MILLISECONDS))
            for start, at in known.crashed.items()
        ]
        return StoredRecord(
            digest, crashed, list(known.retracted), known.succeeded
        )

    def _is_old(self, at_ms: int) -> bool:
        age_ms = get_unix_ms(self._clock) - at_ms
        return age_ms >= HOLD_SECONDS * MILLISECONDS
