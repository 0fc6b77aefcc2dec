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

"""Rows of held requests in the routers' table.

A held request is refused instead of run. Messages between routers are lost
when the routers stop; the rows persist, and a starting router reads them
before it accepts any request.
"""

import asyncio
import dataclasses

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.clock.unix_time import MILLISECONDS
from lifttrestle.internal.fleet.crashes.held_row import build_key
from lifttrestle.internal.fleet.crashes.held_row import decode_held_row
from lifttrestle.internal.fleet.crashes.held_row import encode_held_row
from lifttrestle.internal.fleet.crashes.held_row import format_digest
from lifttrestle.internal.fleet.crashes.held_row import HELD_PREFIX
from lifttrestle.internal.fleet.crashes.held_row import HeldRow
from lifttrestle.internal.fleet.crashes.held_row import parse_key
from lifttrestle.internal.fleet.crashes.hold_judge import HoldJudge
from lifttrestle.internal.fleet.crashes.hold_rules import choose_evicted
from lifttrestle.internal.fleet.crashes.hold_rules import HOLD_SECONDS
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowOrigin
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import RowWrite
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('crashes')
POLL_SECONDS = 0.1
# Maximum number of rows, about 200 bytes each. Each row stands for three
# crashed upstreams.
MAX_HELD = 500
# Exponential backoff of failed writes, so that an unavailable store gets ever
# fewer requests. The maximum bounds the time until the row is written after
# the store has recovered to two seconds.
FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Hold:
    """A row and the version that a conditional write expects."""

    row: HeldRow
    version: int


@dataclasses.dataclass
class DueWrite:
    """A scheduled write or removal of a row.

    :ivar due_at: time of the write, monotonic seconds.
    :ivar row: row to write, None to remove it.
    :ivar is_repair: whether the write corrects a restored store; the
        written row then stays without a check by the judge.
    :ivar backoff: delay of the next retry in seconds.
    """

    due_at: float
    row: HeldRow | None
    is_repair: bool = False
    backoff: float = FIRST_BACKOFF_SECONDS


class HoldRows:
    """Watches, writes and removes the rows of held requests.

    :param judge: decides what becomes of rows that others have changed.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        refusals: InputRefusals,
        judge: HoldJudge,
    ) -> None:
        self._store = store
        self._judge = judge
        self._clock = clock
        self._refusals = refusals
        self._held: dict[int, Hold] = {}
        self._due: dict[int, DueWrite] = {}
        # Highest epoch of a received row, and epoch at the last check of the
        # holds.
        self._epoch = 0
        self._checked_epoch = 0
        # Versions of undeleted rows by request digest.
        self._undeleted: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of held requests."""
        return len(self._held)

    def get(self, digest: int) -> Hold | None:
        """Return the hold of a request, None without one or if expired."""
        hold = self._held.get(digest)
        if hold is None or self.get_age(hold) >= HOLD_SECONDS:
            return None
        return hold

    def get_age(self, hold: Hold) -> float:
        """Return the age of a hold in seconds."""
        return self._clock.now().timestamp() - (
            hold.row.held_at_ms / MILLISECONDS
        )

    def apply_row(self, row: VersionedRow) -> None:
        """Apply a changed row of the routers' table."""
        self._epoch = max(self._epoch, get_epoch(row.version))
        if not row.key.startswith(HELD_PREFIX):
            return
        try:
            digest = parse_key(row.key)
            held = None if row.value is None else decode_held_row(row.value)
        except ValueError as error:
            self._refusals.report('holds', row.key, error)
            return
        if row.origin is RowOrigin.LOST:
            self._keep_lost_hold(digest)
            return
        if row.origin is RowOrigin.UNDELETED:
            # The hold had been lifted, so it is not restored.
            self._undeleted[digest] = row.version
            self._judge.handle_undeleted(digest)
            return
        self._undeleted.pop(digest, None)
        due = self._due.get(digest)
        if held is not None:
            self._held[digest] = Hold(held, row.version)
            if due is not None and (due.row is not None or due.is_repair):
                # Another router has written the row first.
                del self._due[digest]
            return
        # A scheduled write must not restore the removed row.
        self._due.pop(digest, None)
        self._held.pop(digest, None)
        LOG.warning('hold.lifted', digest=format_digest(digest))
        self._judge.handle_lifted(digest)

    def check_epoch(self) -> None:
        """Treat holds from earlier epochs as lost once a new epoch begins.

        A row that was written just before a restore and never read back by
        the watch is not reported as lost.
        """
        if self._checked_epoch == self._epoch:
            return
        self._checked_epoch = self._epoch
        for digest, hold in list(self._held.items()):
            if (
                hold.version != NO_ROW
                and get_epoch(hold.version) < self._epoch
            ):
                self._keep_lost_hold(digest)

    def _keep_lost_hold(self, digest: int) -> None:
        """Keep holding a request whose row is lost."""
        held = self._held.get(digest)
        if held is None:
            return
        self._held[digest] = Hold(held.row, NO_ROW)
        self._judge.handle_lost(digest, held.row)

    def schedule_repair(
        self, digest: int, delay: float, row: HeldRow | None
    ) -> None:
        """Schedule a write or removal that corrects a restored store."""
        due_at = self._clock.monotonic() + delay
        self._due[digest] = DueWrite(due_at, row, is_repair=True)

    def schedule_write(
        self, digest: int, delay: float, row: HeldRow | None
    ) -> None:
        """Schedule a write or removal unless another router does it first."""
        if (self.get(digest) is not None) != (row is None):
            self._due.pop(digest, None)
            return
        due_at = self._clock.monotonic() + delay
        self._due[digest] = DueWrite(due_at, row)

    async def run(self, ticker: Ticker) -> None:
        """Run the scheduled writes until cancelled."""
        while True:
            await ticker.wait(POLL_SECONDS)
            self.check_epoch()
            if self._due:
                await self.write_due()

    async def write_due(self) -> None:
        """Run the scheduled writes that are due."""
        now = self._clock.monotonic()
        due = [item for item in self._due.items() if item[1].due_at <= now]
        await asyncio.gather(*(self._write(*item) for item in due))

    async def _write(self, digest: int, due: DueWrite) -> None:
        hold = self._held.get(digest)
        if hold is not None:
            version = hold.version
        else:
            version = self._undeleted.get(digest, NO_ROW)
        try:
            await self._put(digest, due.row, version)
            self._finish_write(digest, due)
        except ConditionFailed:
            # Another router has written first; the watch delivers its row.
            self._finish_write(digest, due)
        except PlatformUnavailable as error:
            LOG.warning(
                'hold.not_written',
                digest=format_digest(digest),
                reason=str(error),
            )
            due.due_at = self._clock.monotonic() + due.backoff
            due.backoff = min(due.backoff * 2, MAX_BACKOFF_SECONDS)
            return
        if due.row is None:
            return
        if not due.is_repair and not self._judge.must_hold(digest):
            # The request was cleared during the write of its row.
            self.schedule_write(digest, 0.0, None)
        elif len(self._held) > MAX_HELD:
            await self._evict()

    def _finish_write(self, digest: int, due: DueWrite) -> None:
        if due.row is None:
            self._undeleted.pop(digest, None)
        if self._due.get(digest) is due:
            del self._due[digest]

    async def claim_trial(self, digest: int, hold: Hold) -> bool:
        """Claim a trial run of a held request; return whether it is granted.

        The conditional write on the row's version grants it to only one of
        several concurrent routers.
        """
        row = msgspec.structs.replace(hold.row, trials=hold.row.trials + 1)
        try:
            await self._put(digest, row, hold.version)
        except (ConditionFailed, PlatformUnavailable) as error:
            LOG.info('hold.trial_not_claimed', reason=str(error))
            return False
        LOG.warning('hold.trial', digest=format_digest(digest))
        return True

    async def _put(
        self, digest: int, row: HeldRow | None, version: int
    ) -> None:
        value = None if row is None else encode_held_row(row)
        written = await self._store.write_row(
            RowWrite(FLEET_TABLE, build_key(digest), value, version)
        )
        known = self._held.get(digest)
        if known is not None and known.version > written:
            return
        if row is None:
            self._held.pop(digest, None)
        else:
            self._held[digest] = Hold(row, written)

    async def _evict(self) -> None:
        """Remove expired rows, else one of the workspace with most holds."""
        evicted = [
            digest for digest in self._held if self.get(digest) is None
        ] or [self._choose_evicted()]
        for digest in evicted:
            try:
                await self._put(digest, None, self._held[digest].version)
            except (ConditionFailed, PlatformUnavailable) as error:
                LOG.info('hold.not_evicted', reason=str(error))

    def _choose_evicted(self) -> int:
        oldest_first = sorted(
            self._held.items(), key=lambda item: item[1].row.held_at_ms
        )
        return choose_evicted(
            {digest: hold.row.workspace for digest, hold in oldest_first}
        )
