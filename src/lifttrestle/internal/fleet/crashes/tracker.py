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

"""Tracks and holds requests and prompt parts that crash upstreams."""

import asyncio
from collections.abc import Iterable

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.crashes.held_row import build_held_row
from lifttrestle.internal.fleet.crashes.held_row import format_digest
from lifttrestle.internal.fleet.crashes.held_row import format_digests
from lifttrestle.internal.fleet.crashes.held_row import HeldRow
from lifttrestle.internal.fleet.crashes.hold_judge import HoldJudge
from lifttrestle.internal.fleet.crashes.hold_rules import allows_trial
from lifttrestle.internal.fleet.crashes.hold_rules import CRASH_LIMIT
from lifttrestle.internal.fleet.crashes.holds import HoldRows
from lifttrestle.internal.fleet.crashes.holds import MAX_HELD
from lifttrestle.internal.fleet.crashes.ledger import CrashLedger
from lifttrestle.internal.fleet.crashes.loss_watch import LossWatch
from lifttrestle.internal.fleet.crashes.lost_origins import LostOrigins
from lifttrestle.internal.fleet.crashes.lost_origins import RequestOrigin
from lifttrestle.internal.fleet.crashes.messages import CrashItem
from lifttrestle.internal.fleet.crashes.messages import CrashUpdate
from lifttrestle.internal.fleet.crashes.replicator import CrashReplicator
from lifttrestle.internal.fleet.crashes.suspects import get_kind
from lifttrestle.internal.fleet.crashes.suspects import get_kind_name
from lifttrestle.internal.fleet.crashes.suspects import SuspectKind
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.reach import NEVER
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
# An upstream that has written an answer for this long does not crash under its
# parts: those that crash upstreams do so within some tenths of a second.
SOUND_WRITING_SECONDS = 1.0


class CrashTracker(HoldJudge):
    """Decides what must not run, from the crashes under it.

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
        self._origins = LostOrigins()
        self._refusals: dict[int, int] = {}
        # What the ledger found guilty when holds were last begun and ended.
        self._guilty: frozenset[int] = frozenset()
        self.holds = HoldRows(store, clock, refusals or InputRefusals(), self)
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
        """Return whether a request or part is held."""
        return self.holds.get(digest) is not None or self._ledger.is_dangerous(
            digest
        )

    def list_held(self, digests: Iterable[int]) -> list[int]:
        """Return those of a request and its parts that are held."""
        return [digest for digest in digests if self.is_held(digest)]

    def must_not_retry(self, digest: int, parts: Iterable[int]) -> bool:
        """Return whether a request that was just lost must not be retried.

        Lost upstreams count at once, although undecided: the detection of a
        crash takes 0.1 s, and the request may crash the next upstream sooner.

        :param parts: digests of the parts of its prompt.
        """
        unconfirmed = self.losses.count_open(digest)
        return (
            self.holds.get(digest) is not None
            or self._ledger.is_dangerous(digest, unconfirmed)
            or bool(self.list_held(parts))
        )

    def may_run_trial(self, digest: int) -> bool:
        """Return whether a held request or part may have a trial run."""
        hold = self.holds.get(digest)
        return hold is not None and allows_trial(
            self.holds.get_age(hold),
            refusals=self._refusals.get(digest, 0),
            trials=hold.row.trials,
        )

    def note_refused(self, digest: int) -> None:
        """Record a refusal of a held request or of one with a held part."""
        if digest in self._refusals or len(self._refusals) < MAX_HELD:
            self._refusals[digest] = self._refusals.get(digest, 0) + 1

    async def claim_trial(self, digest: int) -> bool:
        """Claim a trial run; return whether it is granted."""
        hold = self.holds.get(digest)
        if hold is None or not self.may_run_trial(digest):
            return False
        return await self.holds.claim_trial(digest, hold)

    def note_lost(
        self,
        digest: int,
        origin: RequestOrigin,
        upstream: FleetUpstream,
        writing_seconds: float = 0.0,
        sent_at: float = NEVER,
    ) -> None:
        """Record that an upstream aborted its answer to a request.

        :param writing_seconds: for how long it had been writing the answer. A
            part that crashes upstreams does so when they begin to write.
        :param sent_at: when it was sent, in monotonic seconds.
        """
        suspects = [digest]
        if writing_seconds < SOUND_WRITING_SECONDS:
            suspects += origin.parts
        else:
            self._note_sound(origin.parts)
        for suspect in suspects:
            self._origins.put(suspect, origin)
            self.losses.note_lost(suspect, upstream, sent_at)

    def note_success(self, digest: int, parts: Iterable[int] = ()) -> None:
        """Record that an upstream served a request.

        An error or rejection by the upstream is no success: it may be
        answered before the upstream begins to run the request.

        :param parts: digests of the parts of its prompt.
        """
        self._note_sound((digest, *parts))

    def _note_sound(self, digests: Iterable[int]) -> None:
        for digest in digests:
            if self._ledger.note_success(digest):
                LOG.info(
                    'hold.cleared',
                    digest=format_digest(digest),
                    kind=get_kind_name(digest),
                )
                self.replicator.queue_update(digest)
            if self.holds.get(digest) is not None:
                self.holds.schedule_write(digest, 0.0, None)
        self._apply_verdicts()

    def apply_row(self, row: VersionedRow) -> None:
        """Apply a changed row of the routers' table."""
        self.holds.apply_row(row)

    def handle_update(self, update: CrashUpdate) -> None:
        """Merge the records that another router has sent."""
        replies = [
            item.digest for item in update.items if self._ledger.merge(item)
        ]
        self._apply_verdicts(update.items)
        if replies:
            self.replicator.reply(update.vm, replies)

    def _note_crashed(self, digest: int, start: int) -> None:
        if not self._ledger.note_crashes(digest, [start]):
            return
        LOG.info(
            'crash.noted',
            digest=format_digest(digest),
            kind=get_kind_name(digest),
            crashed=self._ledger.count_crashed(digest),
            start=f'{start:x}',
            parts=format_digests(self._origins.get(digest).parts),
        )
        self.replicator.queue_update(digest)
        self._apply_verdicts()

    def _retract_crash(self, digest: int, start: int) -> None:
        """Retract a crash that later evidence has refuted."""
        if self._ledger.retract(digest, [start]):
            self.replicator.queue_update(digest)
            self._apply_verdicts()

    def _apply_verdicts(self, received: Iterable[CrashItem] = ()) -> None:
        """Begin and end holds if other requests or parts are guilty now.

        :param received: the records of another router that were just merged.
        """
        guilty = self._ledger.guilty
        if guilty == self._guilty:
            return
        before, self._guilty = self._guilty, guilty
        items = {item.digest: item for item in received}
        for digest in sorted(before - guilty):
            # A record that was evicted tells nothing; the row stays.
            if self._ledger.has_record(digest):
                self._end_hold(digest)
        for digest in sorted(guilty - before):
            self._begin_hold(digest, items.get(digest))

    def _end_hold(self, digest: int) -> None:
        """Cancel the scheduled write, or remove the written row."""
        if digest in self._origins:
            self.replicator.queue_update(digest)
        if self._writes_row(digest):
            self.holds.schedule_write(digest, 0.0, None)

    def _begin_hold(self, digest: int, received: CrashItem | None) -> None:
        """Hold a request or part.

        :param received: its record at the router that made it known, if this
            router learned of it from another one.
        """
        if received is None or self._is_news(received):
            self.replicator.queue_update(digest)
        origin = self._origins.get(digest)
        crashed = self._ledger.count_crashed(digest)
        LOG.warning(
            'hold.begun',
            digest=format_digest(digest),
            kind=get_kind_name(digest),
            crashed=crashed,
            workspace=origin.workspace,
            route=origin.route,
        )
        if not self._writes_row(digest):
            # Other routers write the row. If all did, the whole fleet would
            # retry its writes at an unavailable store.
            return
        delay = (
            WRITE_DELAY_SECONDS if received is None else OWNER_DELAY_SECONDS
        )
        row = build_held_row(
            self._clock, origin.workspace, origin.route, crashed, self._vm
        )
        self.holds.schedule_write(digest, delay, row)

    def _is_news(self, received: CrashItem) -> bool:
        """Return whether a hold is new to the router that sent a record.

        It is if this router has added up the crashes, or has judged a part
        against others as one of the owners.
        """
        if get_kind(received.digest) is SuspectKind.REQUEST:
            return len(received.crashed) < CRASH_LIMIT
        return self.replicator.is_owner(received.digest)

    def _writes_row(self, digest: int) -> bool:
        """Return whether this router writes the row of a request or part."""
        return digest in self._origins or self.replicator.is_owner(digest)

    def must_hold(self, digest: int) -> bool:
        """Return whether crashes speak against a request or part."""
        return self._ledger.is_dangerous(digest)

    def handle_lost(self, digest: int, row: HeldRow) -> None:
        """Schedule a new write of a lost row.

        The router that wrote the row writes it at once; the owners of the
        request write it later, in case that router is gone.
        """
        if row.by == self._vm:
            self.holds.schedule_repair(digest, 0.0, row)
        elif self.replicator.is_owner(digest):
            self.holds.schedule_repair(digest, OWNER_DELAY_SECONDS, row)

    def handle_undeleted(self, digest: int) -> None:
        """Schedule the removal of an undeleted row."""
        if self.replicator.is_owner(digest):
            self.holds.schedule_repair(digest, 0.0, None)

    def handle_lifted(self, digest: int) -> None:
        """Clear a request whose row was removed."""
        self._refusals.pop(digest, None)
        self._ledger.clear(digest)
        self._apply_verdicts()
