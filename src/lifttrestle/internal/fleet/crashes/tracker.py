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

"""Tracks and holds requests that crash upstreams."""

import asyncio
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.crashes.held_row import format_digest
from lifttrestle.internal.fleet.crashes.held_row import format_digests
from lifttrestle.internal.fleet.crashes.held_row import HeldRow
from lifttrestle.internal.fleet.crashes.hold_rules import allows_trial
from lifttrestle.internal.fleet.crashes.hold_rules import CRASH_LIMIT
from lifttrestle.internal.fleet.crashes.holds import build_held_row
from lifttrestle.internal.fleet.crashes.holds import HoldRows
from lifttrestle.internal.fleet.crashes.holds import MAX_HELD
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
POLL_SECONDS = 0.5
# Delay between the detection of a dangerous request and the write of its row.
# A router that has seen the request succeed replies within some milliseconds.
WRITE_DELAY_SECONDS = 0.2
# Delay after which the owners of the request write the row if the routers
# that saw the crashes have not.
OWNER_DELAY_SECONDS = 1.0
# Maximum number of remembered origins of requests that lost an upstream.
MAX_ORIGINS = 1024


@dataclasses.dataclass(frozen=True)
class RequestOrigin:
    """Workspace, route and part digests of a request."""

    workspace: str
    route: str
    parts: tuple[int, ...] = ()


UNKNOWN_ORIGIN = RequestOrigin('', '')


class CrashTracker:
    """Decides which requests must not run, from the crashes under them.

    :ivar losses: detects whether upstreams that aborted answers have crashed.
    :ivar replicator: sends crash records to other routers.
    :ivar holds: persistent rows of held requests.
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
        self.holds.on_lifted = self._handle_lifted
        self.holds.must_hold = self._ledger.is_dangerous
        self.holds.on_lost = self._rewrite_lost
        self.holds.on_undeleted = self._remove_undeleted
        self.replicator = CrashReplicator(vm, self._ledger, roster)
        self.losses = LossWatch(clock, heartbeat_seconds)
        self.losses.on_crashed = self._note_crashed
        self.losses.on_crash_retracted = self._retract_crash

    async def run(self, ticker: Ticker) -> None:
        """Run replication, row writes and the sweep until cancelled."""
        await asyncio.gather(
            self.replicator.run(),
            self.holds.run(ticker),
            self._run_sweep(ticker),
        )

    async def _run_sweep(self, ticker: Ticker) -> None:
        while True:
            await ticker.wait(POLL_SECONDS)
            self.losses.sweep(self._is_listed)

    def _is_listed(self, start: str) -> bool:
        return self._directory.get_start(start) is not None

    def is_held(self, digest: int) -> bool:
        """Return whether a request is held."""
        return self.holds.get(digest) is not None or self._ledger.is_dangerous(
            digest
        )

    def must_not_retry(self, digest: int) -> bool:
        """Return whether a request that was just lost must not be retried.

        Lost upstreams count at once, although undecided: the detection of a
        crash takes 0.1 s, and the request may crash the next upstream sooner.
        """
        unconfirmed = self.losses.count_open(digest)
        return self.holds.get(digest) is not None or self._ledger.is_dangerous(
            digest, unconfirmed
        )

    def may_run_trial(self, digest: int) -> bool:
        """Return whether a held request may have a trial run."""
        hold = self.holds.get(digest)
        return hold is not None and allows_trial(
            self.holds.get_age(hold),
            refusals=self._refusals.get(digest, 0),
            trials=hold.row.trials,
        )

    def note_refused(self, digest: int) -> None:
        """Record a refusal of a held request."""
        if digest in self._refusals or len(self._refusals) < MAX_HELD:
            self._refusals[digest] = self._refusals.get(digest, 0) + 1

    async def claim_trial(self, digest: int) -> bool:
        """Claim a trial run of a held request; return whether granted."""
        hold = self.holds.get(digest)
        if hold is None or not self.may_run_trial(digest):
            return False
        return await self.holds.claim_trial(digest, hold)

    def note_lost(
        self, digest: int, origin: RequestOrigin, upstream: FleetUpstream
    ) -> None:
        """Record that an upstream aborted its answer to a request."""
        if len(self._origins) >= MAX_ORIGINS:
            del self._origins[next(iter(self._origins))]
        self._origins[digest] = origin
        self.losses.note_lost(digest, upstream)

    def note_success(self, digest: int) -> None:
        """Record that an upstream served a request.

        An error or rejection by the upstream is no success: it may be
        answered before the upstream begins to run the request.
        """
        cleared = self._ledger.note_success(digest)
        held = self.holds.get(digest) is not None
        if cleared:
            LOG.info('hold.cleared', digest=format_digest(digest))
            self.replicator.queue_update(digest)
        if held:
            self.holds.schedule_write(digest, 0.0, None)

    def apply_row(self, row: VersionedRow) -> None:
        """Apply a changed row of the routers' table."""
        self.holds.apply_row(row)

    def handle_update(self, update: CrashUpdate) -> None:
        """Merge the records that another router has sent."""
        replies = []
        for item in update.items:
            was_dangerous = self._ledger.is_dangerous(item.digest)
            if self._ledger.merge(item):
                replies.append(item.digest)
            # The result is new to all others if this router has added up the
            # crashes, or if the request was cleared after this router had
            # reported it.
            counted_here = len(item.crashed) < CRASH_LIMIT
            replicated_here = item.digest in self._origins
            replicate = replicated_here if was_dangerous else counted_here
            self._update_hold(
                item.digest,
                was_dangerous,
                OWNER_DELAY_SECONDS,
                replicate=replicate,
            )
        if replies:
            self.replicator.reply(update.vm, replies)

    def _note_crashed(self, digest: int, start: int) -> None:
        was_dangerous = self._ledger.is_dangerous(digest)
        if not self._ledger.note_crashes(digest, [start]):
            return
        LOG.info(
            'crash.noted',
            digest=format_digest(digest),
            crashed=self._ledger.count_crashed(digest),
            start=f'{start:x}',
            parts=format_digests(self._get_origin(digest).parts),
        )
        self.replicator.queue_update(digest)
        self._update_hold(
            digest, was_dangerous, WRITE_DELAY_SECONDS, replicate=True
        )

    def _retract_crash(self, digest: int, start: int) -> None:
        """Retract a crash that later evidence has refuted."""
        if self._ledger.retract(digest, [start]):
            self.replicator.queue_update(digest)

    def _update_hold(
        self,
        digest: int,
        was_dangerous: bool,
        delay: float,
        *,
        replicate: bool,
    ) -> None:
        """Begin or end the hold if the request became dangerous or safe."""
        dangerous = self._ledger.is_dangerous(digest)
        if was_dangerous == dangerous:
            return
        if replicate:
            self.replicator.queue_update(digest)
        seen_here = digest in self._origins
        writes = seen_here or self.replicator.is_owner(digest)
        if not dangerous:
            # Cancels a scheduled write, or removes the written row.
            if writes:
                self.holds.schedule_write(digest, 0.0, None)
            return
        origin = self._get_origin(digest)
        crashed = self._ledger.count_crashed(digest)
        LOG.warning(
            'hold.begun',
            digest=format_digest(digest),
            crashed=crashed,
            workspace=origin.workspace,
            route=origin.route,
        )
        if not writes:
            # Other routers write the row. If all did, the whole fleet would
            # retry its writes at an unavailable store.
            return
        row = build_held_row(
            self._clock, origin.workspace, origin.route, crashed, self._vm
        )
        self.holds.schedule_write(digest, delay, row)

    def _get_origin(self, digest: int) -> RequestOrigin:
        return self._origins.get(digest, UNKNOWN_ORIGIN)

    def _rewrite_lost(self, digest: int, row: HeldRow) -> None:
        """Schedule a new write of a lost row.

        The router that wrote the row writes it at once; the owners of the
        request write it later, in case that router is gone.
        """
        if row.by == self._vm:
            self.holds.schedule_repair(digest, 0.0, row)
        elif self.replicator.is_owner(digest):
            self.holds.schedule_repair(digest, OWNER_DELAY_SECONDS, row)

    def _remove_undeleted(self, digest: int) -> None:
        """Schedule the removal of an undeleted row."""
        if self.replicator.is_owner(digest):
            self.holds.schedule_repair(digest, 0.0, None)

    def _handle_lifted(self, digest: int) -> None:
        """Clear a request whose row was removed."""
        self._refusals.pop(digest, None)
        self._ledger.clear(digest)
