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

"""What a router asks, and tells, of requests that crash upstreams."""

import asyncio
import dataclasses

from lifttrestle.internal.clock.beat import Beat
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.crashes.held_row import format_digest
from lifttrestle.internal.fleet.crashes.held_row import HeldRow
from lifttrestle.internal.fleet.crashes.holds import build_held
from lifttrestle.internal.fleet.crashes.holds import HoldRows
from lifttrestle.internal.fleet.crashes.holds import MAX_HELD
from lifttrestle.internal.fleet.crashes.judgement import CRASH_LIMIT
from lifttrestle.internal.fleet.crashes.judgement import may_try_again
from lifttrestle.internal.fleet.crashes.ledger import CrashLedger
from lifttrestle.internal.fleet.crashes.loss_watch import LossWatch
from lifttrestle.internal.fleet.crashes.messages import CrashUpdate
from lifttrestle.internal.fleet.crashes.replicator import CrashReplicator
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('crashes')
LOOK_SECONDS = 0.5
# A row is written so much later than the request was found dangerous: another
# router that has seen it end well says so within some ms.
OBJECTION_SECONDS = 0.2
# Routers that counted the crashes write it if those that saw them don't.
HEARER_SECONDS = 1.0
# Origins that are remembered, of requests that lost an upstream lately.
MAX_ORIGINS = 1024


@dataclasses.dataclass(frozen=True)
class RequestOrigin:
    """Whose request it is, and by which route it came."""

    workspace: str
    route: str


UNKNOWN_ORIGIN = RequestOrigin('', '')


class CrashTracker:
    """Knows which requests must not run, and learns it from what is lost.

    :ivar losses: judges whether upstreams that broke off have crashed.
    :ivar replicator: tells other routers.
    :ivar holds: the rows that outlive all routers.
    """

    def __init__(
        self,
        vm: str,
        store: RowStore,
        directory: UpstreamDirectory,
        roster: Roster,
        clock: Clock,
        heartbeat_seconds: float,
        refusals: InputRefusals | None = None,
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._directory = directory
        self._ledger = CrashLedger(clock)
        self._origins: dict[int, RequestOrigin] = {}
        self._refusals: dict[int, int] = {}
        self.holds = HoldRows(store, clock, refusals or InputRefusals())
        self.holds.tell_lifted = self._forget
        self.holds.is_wanted = self._ledger.is_dangerous
        self.holds.tell_lost = self._rewrite_lost
        self.holds.tell_undeleted = self._remove_undeleted
        self.replicator = CrashReplicator(vm, self._ledger, roster, clock)
        self.losses = LossWatch(clock, heartbeat_seconds)
        self.losses.tell_crashed = self._note_crashed
        self.losses.tell_sound = self._note_sound

    async def run(self, beat: Beat) -> None:
        """Tell, write and look again, for ever."""
        await asyncio.gather(
            self.replicator.run(),
            self.holds.run(beat),
            self._run_looking(beat),
        )

    async def _run_looking(self, beat: Beat) -> None:
        while True:
            await beat.wait(LOOK_SECONDS)
            self.losses.look(self._is_listed)

    def _is_listed(self, start: str) -> bool:
        return self._directory.get_start(start) is not None

    def is_held(self, digest: int) -> bool:
        """Return whether a request must not run."""
        return self.holds.get(digest) is not None or self._ledger.is_dangerous(
            digest
        )

    def must_not_retry(self, digest: int) -> bool:
        """Return whether a request that was just lost is not to go on.

        What it has lost counts at once: to find out whether an upstream has
        crashed takes 0.1 s, and to crash the next one does not.
        """
        unproved = self.losses.count_open(digest)
        return self.holds.get(digest) is not None or self._ledger.is_dangerous(
            digest, unproved
        )

    def may_try(self, digest: int) -> bool:
        """Return whether a held request may run once more."""
        hold = self.holds.get(digest)
        return hold is not None and may_try_again(
            self.holds.get_age(hold),
            refusals=self._refusals.get(digest, 0),
            trials=hold.row.trials,
        )

    def note_refused(self, digest: int) -> None:
        """Count a refusal of a held request."""
        if digest in self._refusals or len(self._refusals) < MAX_HELD:
            self._refusals[digest] = self._refusals.get(digest, 0) + 1

    async def claim_trial(self, digest: int) -> bool:
        """Return whether a held request may run once more, here and now."""
        hold = self.holds.get(digest)
        if hold is None or not self.may_try(digest):
            return False
        return await self.holds.claim_trial(digest, hold)

    def note_lost(
        self, digest: int, origin: RequestOrigin, upstream: FleetUpstream
    ) -> None:
        """Note that an upstream broke off its answer to a request."""
        if len(self._origins) >= MAX_ORIGINS:
            del self._origins[next(iter(self._origins))]
        self._origins[digest] = origin
        self.losses.note_lost(digest, upstream)

    def note_success(self, digest: int) -> None:
        """Note that an upstream served a request.

        A failure or rejection of its own is no good end: an upstream may
        answer so before it begins to run a request.
        """
        cleared = self._ledger.note_success(digest)
        held = self.holds.get(digest) is not None
        if cleared:
            LOG.info('hold.cleared', digest=format_digest(digest))
            self.replicator.tell(digest)
        if held:
            self.holds.write_later(digest, 0.0, None)

    def apply_row(self, row: VersionedRow) -> None:
        """Take in a changed row of the routers' table."""
        self.holds.take(row)

    def handle_update(self, news: CrashUpdate) -> None:
        """Take in what another router has told."""
        replies = []
        for item in news.items:
            before = self._ledger.is_dangerous(item.digest)
            if self._ledger.merge(item):
                replies.append(item.digest)
            # One that was counted together here is news to all others, and
            # so is one that was cleared after this router had told of it.
            counted_here = len(item.crashed) < CRASH_LIMIT
            told_here = item.digest in self._origins
            tell = told_here if before else counted_here
            self._judge(item.digest, before, HEARER_SECONDS, tell=tell)
        if replies:
            self.replicator.reply(news.vm, replies)

    def _note_crashed(self, digest: int, start: int) -> None:
        before = self._ledger.is_dangerous(digest)
        if not self._ledger.note_crashes(digest, [start]):
            return
        LOG.info(
            'crash.noted',
            digest=format_digest(digest),
            crashed=self._ledger.count_crashed(digest),
        )
        self.replicator.tell(digest)
        self._judge(digest, before, OBJECTION_SECONDS, tell=True)

    def _note_sound(self, digest: int, start: int) -> None:
        """Take back what was believed of an upstream."""
        if self._ledger.forgive(digest, [start]):
            self.replicator.tell(digest)

    def _judge(
        self, digest: int, before: bool, seconds: float, *, tell: bool
    ) -> None:
        """Act on a request that has turned dangerous, or is none any more."""
        dangerous = self._ledger.is_dangerous(digest)
        if before == dangerous:
            return
        if tell:
            self.replicator.tell(digest)
        seen_here = digest in self._origins
        writes = seen_here or self.replicator.is_counter(digest)
        if not dangerous:
            # Nothing is written of it, or what was written goes.
            if writes:
                self.holds.write_later(digest, 0.0, None)
            return
        origin = self._origins.get(digest, UNKNOWN_ORIGIN)
        crashed = self._ledger.count_crashed(digest)
        LOG.warning(
            'hold.begun',
            digest=format_digest(digest),
            crashed=crashed,
            workspace=origin.workspace,
            route=origin.route,
        )
        if not writes:
            # Others do; a whole fleet would ask a store that is away.
            return
        row = build_held(
            self._clock, origin.workspace, origin.route, crashed, self._vm
        )
        self.holds.write_later(digest, seconds, row)

    def _rewrite_lost(self, digest: int, row: HeldRow) -> None:
        """Schedule a new write of a lost row.

        The router that wrote the row writes it at once; those that count the
        request write it later, in case that router is gone.
        """
        if row.by == self._vm:
            self.holds.repair_later(digest, 0.0, row)
        elif self.replicator.is_counter(digest):
            self.holds.repair_later(digest, HEARER_SECONDS, row)

    def _remove_undeleted(self, digest: int) -> None:
        """Schedule the removal of an undeleted row."""
        if self.replicator.is_counter(digest):
            self.holds.repair_later(digest, 0.0, None)

    def _forget(self, digest: int) -> None:
        """Believe that a request is sound, as its row was removed."""
        self._refusals.pop(digest, None)
        self._ledger.clear(digest)
