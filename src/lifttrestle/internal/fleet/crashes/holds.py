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

"""The requests that run no more, as the routers' table has them.

Messages between routers are gone with the routers; a row outlives them all,
and is read before a router that starts takes any request.
"""

import asyncio
from collections.abc import Callable
import dataclasses

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.beat import Beat
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.crashes.held_row import build_key
from lifttrestle.internal.fleet.crashes.held_row import decode_held_row
from lifttrestle.internal.fleet.crashes.held_row import format_digest
from lifttrestle.internal.fleet.crashes.held_row import HELD_PREFIX
from lifttrestle.internal.fleet.crashes.held_row import HeldRow
from lifttrestle.internal.fleet.crashes.held_row import read_key
from lifttrestle.internal.fleet.crashes.held_row import write_held
from lifttrestle.internal.fleet.crashes.judgement import choose_evicted
from lifttrestle.internal.fleet.crashes.judgement import HOLD_SECONDS
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
LOOK_SECONDS = 0.1
# Rows at the most, some 200 bytes each. Each has cost three upstreams.
MAX_HELD = 500
# A failed write is tried again so much later, twice that the next time, so
# that a store that is away is asked ever less often; it has the row within two
# seconds of its return.
FIRST_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 2.0
MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True)
class Hold:
    """A row with its version, by which it is changed."""

    row: HeldRow
    version: int


@dataclasses.dataclass
class DueWrite:
    """A row that is to be there, or to be gone.

    :ivar at: when to write, monotonic seconds.
    :ivar row: None to remove it.
    :ivar is_repair: whether the write corrects a restored store; the
        written row then stays without a check of ``is_wanted``.
    """

    at: float
    row: HeldRow | None
    is_repair: bool = False
    pause: float = FIRST_PAUSE_SECONDS


class HoldRows:
    """Follows the rows of held requests, writes and removes them.

    :ivar tell_lifted: is called with a request whose row was removed.
    :ivar tell_lost: is called with a request whose row is lost, and that
        row.
    :ivar tell_undeleted: is called with a request whose row is undeleted.
    :ivar is_wanted: returns whether a request is still to be held.
    """

    def __init__(
        self, store: RowStore, clock: Clock, refusals: InputRefusals
    ) -> None:
        self._store = store
        self._clock = clock
        self._refusals = refusals
        self._held: dict[int, Hold] = {}
        self._due: dict[int, DueWrite] = {}
        # The highest epoch of a received row, and the epoch for which holds
        # were last checked.
        self._epoch = 0
        self._checked_epoch = 0
        # Versions of undeleted rows, by request.
        self._undeleted: dict[int, int] = {}
        self.tell_lifted: Callable[[int], None] = lambda digest: None
        self.tell_lost: Callable[[int, HeldRow], None] = _tell_nobody
        self.tell_undeleted: Callable[[int], None] = lambda digest: None
        self.is_wanted: Callable[[int], bool] = lambda digest: True

    def __len__(self) -> int:
        """Return how many requests are held."""
        return len(self._held)

    def get(self, digest: int) -> Hold | None:
        """Return the hold of a request, None if it has none that counts."""
        hold = self._held.get(digest)
        if hold is None or self.get_age(hold) >= HOLD_SECONDS:
            return None
        return hold

    def get_age(self, hold: Hold) -> float:
        """Return for how many seconds a request has been held."""
        return self._clock.now().timestamp() - (
            hold.row.held_at_ms / MILLISECONDS
        )

    def take(self, row: VersionedRow) -> None:
        """Take in a changed row of the routers' table."""
        self._epoch = max(self._epoch, get_epoch(row.version))
        if not row.key.startswith(HELD_PREFIX):
            return
        try:
            digest = read_key(row.key)
            held = None if row.value is None else decode_held_row(row.value)
        except ValueError as error:
            self._refusals.note('holds', row.key, error)
            return
        if row.origin is RowOrigin.LOST:
            self._keep_lost_hold(digest)
            return
        if row.origin is RowOrigin.UNDELETED:
            # The request was lifted, so it is not held again.
            self._undeleted[digest] = row.version
            self.tell_undeleted(digest)
            return
        self._undeleted.pop(digest, None)
        due = self._due.get(digest)
        if held is not None:
            self._held[digest] = Hold(held, row.version)
            if due is not None and (due.row is not None or due.is_repair):
                # Another router was sooner.
                del self._due[digest]
            return
        # A write that was to follow must not bring it back.
        self._due.pop(digest, None)
        self._held.pop(digest, None)
        LOG.warning('hold.lifted', digest=format_digest(digest))
        self.tell_lifted(digest)

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
        self.tell_lost(digest, held.row)

    def repair_later(
        self, digest: int, seconds: float, row: HeldRow | None
    ) -> None:
        """Schedule a write or removal that corrects a restored store."""
        at = self._clock.monotonic() + seconds
        self._due[digest] = DueWrite(at, row, is_repair=True)

    def write_later(
        self, digest: int, seconds: float, row: HeldRow | None
    ) -> None:
        """Write or remove a row, unless another router does so before."""
        if (self.get(digest) is not None) != (row is None):
            self._due.pop(digest, None)
            return
        at = self._clock.monotonic() + seconds
        self._due[digest] = DueWrite(at, row)

    async def run(self, beat: Beat) -> None:
        """Write what is due, for ever."""
        while True:
            await beat.wait(LOOK_SECONDS)
            self.check_epoch()
            if self._due:
                await self.write_due()

    async def write_due(self) -> None:
        """Write what is due now."""
        now = self._clock.monotonic()
        due = [item for item in self._due.items() if item[1].at <= now]
        await asyncio.gather(*(self._write(*item) for item in due))

    async def _write(self, digest: int, due: DueWrite) -> None:
        hold = self._held.get(digest)
        if hold is not None:
            version = hold.version
        else:
            version = self._undeleted.get(digest, NO_ROW)
        try:
            await self._put(digest, due.row, version)
            self._settle(digest, due)
        except ConditionFailed:
            # Another router was sooner; its row is on its way.
            self._settle(digest, due)
        except PlatformUnavailable as error:
            LOG.warning(
                'hold.not_written',
                digest=format_digest(digest),
                reason=str(error),
            )
            due.at = self._clock.monotonic() + due.pause
            due.pause = min(due.pause * 2, MAX_PAUSE_SECONDS)
            return
        if due.row is None:
            return
        if not due.is_repair and not self.is_wanted(digest):
            # It was cleared while its row was being written.
            self.write_later(digest, 0.0, None)
        elif len(self._held) > MAX_HELD:
            await self._evict()

    def _settle(self, digest: int, due: DueWrite) -> None:
        if due.row is None:
            self._undeleted.pop(digest, None)
        if self._due.get(digest) is due:
            del self._due[digest]

    async def claim_trial(self, digest: int, hold: Hold) -> bool:
        """Have a held request run once more here; return if it may.

        The row's version decides between routers that ask at the same time.
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
        value = None if row is None else write_held(row)
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
        """Remove rows that are over, or one of the caller with most."""
        over = [
            digest for digest in self._held if self.get(digest) is None
        ] or [self._choose_evicted()]
        for digest in over:
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


def _tell_nobody(digest: int, row: HeldRow) -> None:
    """Tell nobody."""


def build_held(
    clock: Clock, workspace: str, route: str, crashed: int, by: str
) -> HeldRow:
    """Return the row of a request that is held from now on."""
    held_at = int(clock.now().timestamp() * MILLISECONDS)
    return HeldRow(workspace, route, crashed, held_at, by)
