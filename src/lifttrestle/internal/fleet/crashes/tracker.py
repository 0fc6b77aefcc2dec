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
from lifttrestle.internal.fleet.crashes.crash_rows import CrashRows
from lifttrestle.internal.fleet.crashes.decisions import HoldDecisions
from lifttrestle.internal.fleet.crashes.good_ends import GoodEnds
from lifttrestle.internal.fleet.crashes.good_ends import TURN_SECONDS
from lifttrestle.internal.fleet.crashes.held_row import format_digest
from lifttrestle.internal.fleet.crashes.held_row import format_digests
from lifttrestle.internal.fleet.crashes.hold_rules import allows_trial
from lifttrestle.internal.fleet.crashes.holds import MAX_HELD
from lifttrestle.internal.fleet.crashes.ledger import CrashLedger
from lifttrestle.internal.fleet.crashes.loss_watch import get_entry_seconds
from lifttrestle.internal.fleet.crashes.loss_watch import LossWatch
from lifttrestle.internal.fleet.crashes.lost_origins import LostOrigins
from lifttrestle.internal.fleet.crashes.lost_origins import RequestOrigin
from lifttrestle.internal.fleet.crashes.messages import CrashUpdate
from lifttrestle.internal.fleet.crashes.replicator import CrashReplicator
from lifttrestle.internal.fleet.crashes.stored_watch import StoredCrashWatch
from lifttrestle.internal.fleet.crashes.suspects import get_kind_name
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
# An upstream that has written an answer for this long does not crash under its
# parts: those that crash upstreams do so within some tenths of a second.
SOUND_WRITING_SECONDS = 1.0


class CrashTracker:
    """Decides what must not run, from the crashes under it.

    :ivar losses: detects whether upstreams that aborted answers have crashed.
    :ivar replicator: sends crash records to other routers.
    :ivar decisions: begins and ends holds.
    :ivar holds: persistent rows of held requests.
    :ivar rows: persistent rows of crashes.
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
        self._directory = directory
        self._ledger = CrashLedger(clock)
        self._origins = LostOrigins()
        self._refusals: dict[int, int] = {}
        self.replicator = CrashReplicator(vm, self._ledger, roster)
        refusals = refusals or InputRefusals()
        self.decisions = HoldDecisions(
            vm,
            store,
            clock,
            refusals,
            self._ledger,
            self._origins,
            self.replicator,
        )
        self.decisions.on_lifted = self._note_lifted
        self.rows = CrashRows(vm, store, roster, self._ledger, clock, refusals)
        self._good_ends = GoodEnds(roster, clock)
        self._stored_watch = StoredCrashWatch(
            clock, get_entry_seconds(heartbeat_seconds)
        )
        self.holds = self.decisions.holds
        self.losses = LossWatch(clock, heartbeat_seconds)
        self.losses.on_crashed = self._note_crashed
        self.losses.on_crash_retracted = self._retract_crash

    async def run(self, ticker: Ticker) -> None:
        """Run replication, row writes and the sweep until cancelled."""
        await asyncio.gather(
            self.replicator.run(),
            self.holds.run(ticker),
            self.rows.run(ticker),
            self._run_sweep(ticker),
            self._run_good_ends(ticker),
        )

    async def _run_sweep(self, ticker: Ticker) -> None:
        while True:
            await ticker.wait(POLL_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """Decide on starts whose entries should have expired by now."""
        self.losses.sweep(self._is_listed)
        if not self.losses.can_refute():
            return
        for digest, start in self._stored_watch.take_refuted(self._has_digest):
            self._retract_stored(digest, start)

    def _retract_stored(self, digest: int, start: int) -> None:
        """Retract a stored crash as all routers do; the owners tell it."""
        if not self._ledger.retract(digest, [start]):
            return
        self.rows.note_merged(digest)
        if self.replicator.is_owner(digest):
            self._publish(digest)
        self.decisions.apply_verdicts()

    def _has_digest(self, start: int) -> bool:
        return self._directory.get_by_digest(start) is not None

    async def _run_good_ends(self, ticker: Ticker) -> None:
        while True:
            await ticker.wait(TURN_SECONDS)
            self.tell_good_ends()

    def tell_good_ends(self) -> None:
        """Tell other routers of the good ends that are due."""
        for digest in self._good_ends.take_due():
            self._publish(digest)

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

    def _note_lifted(self, digest: int) -> None:
        """Record the removal of a hold, after which crashes no longer count.

        Rows of routers that are gone may still list them.
        """
        self._refusals.pop(digest, None)
        if self.replicator.is_owner(digest):
            self.rows.note(digest)
        else:
            self.rows.note_merged(digest)

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
                self._publish(digest)
            if self.holds.get(digest) is not None:
                self.holds.schedule_write(digest, 0.0, None)
        self.decisions.apply_verdicts()

    def apply_row(self, row: VersionedRow) -> None:
        """Apply a changed row of the routers' table."""
        self.holds.apply_row(row)
        records = self.rows.apply_row(row)
        if not records:
            return
        self.decisions.apply_stored(records)
        for record in records:
            self._stored_watch.note(record)
            if record.succeeded:
                self._good_ends.note_told(record.digest)
            elif self._ledger.has_seen_success(record.digest):
                self._good_ends.note(record.digest)

    def handle_update(self, update: CrashUpdate) -> None:
        """Merge the records that another router has sent."""
        replies = [
            item.digest for item in update.items if self._ledger.merge(item)
        ]
        for item in update.items:
            self.rows.note_merged(item.digest)
            if item.succeeded:
                self._good_ends.note_told(item.digest)
        self.decisions.apply_verdicts(update.items)
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
        self._publish(digest)
        self.decisions.apply_verdicts()

    def _retract_crash(self, digest: int, start: int) -> None:
        """Retract a crash that later evidence has refuted."""
        if self._ledger.retract(digest, [start]):
            self._publish(digest)
            self.decisions.apply_verdicts()

    def _publish(self, digest: int) -> None:
        """Tell other routers, and those that start later, of a record."""
        self.replicator.queue_update(digest)
        self.rows.note(digest)
