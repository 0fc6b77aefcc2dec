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

"""Detects whether an upstream that aborted an answer has crashed.

A connection also ends because of a reset, a cut link or the failure of a
single answer. The upstream has crashed if it was neither draining nor removed
at that time and this start of it has ended: nothing listens at its address,
its entry is removed, or a newer start has its name or address.
"""

from collections.abc import Callable
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.crashes.loss_states import CRASHED_STATES
from lifttrestle.internal.fleet.crashes.loss_states import END_EVIDENCE
from lifttrestle.internal.fleet.crashes.loss_states import LossState
from lifttrestle.internal.fleet.crashes.loss_states import StartEvidence
from lifttrestle.internal.fleet.crashes.loss_states import TRANSITIONS
from lifttrestle.internal.fleet.state.reach import NEVER
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.upstream_entry import StartEnd
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('crashes')
# The entry of a crashed upstream expires after three heartbeats, and routers
# observe this up to a few seconds later.
ENTRY_HEARTBEATS = 3
ENTRY_MARGIN_SECONDS = 4.0
# If the port refuses connections only after this time, its closing has
# another cause than the end of the connection.
REFUSED_SECONDS = 2.0
# An entry is read within this time after its start has crashed, if at all.
UNREAD_SECONDS = 5.0
MILLISECONDS = 1000
# Maximum number of watched starts; a large deployment has 600 upstreams.
MAX_STARTS = 256
# Maximum number of lost requests per start, more than one router has in
# progress at one upstream.
MAX_REQUESTS = 256


def get_entry_seconds(heartbeat_seconds: float) -> float:
    """Return after how long the entry of a crashed start has surely ended."""
    return ENTRY_HEARTBEATS * heartbeat_seconds + ENTRY_MARGIN_SECONDS


@dataclasses.dataclass
class Loss:
    """A start that aborted answers.

    :ivar lost_at: time of the first aborted answer, monotonic seconds.
    :ivar digests: digests of the requests of this router that were lost.
    :ivar lost_later: when each of those was sent that may have been lost by a
        newer start under its name, whose entry had not been read.
    """

    upstream: FleetUpstream
    lost_at: float
    state: LossState = LossState.OPEN
    digests: set[int] = dataclasses.field(default_factory=set)
    lost_later: dict[int, float] = dataclasses.field(default_factory=dict)

    def may_be_newer_start(self, sent_at: float) -> bool:
        """Return whether a newer start, not read yet, may have been reached.

        :param sent_at: when a request was sent that was lost, too.
        """
        return self.state is not LossState.OPEN and sent_at > self.lost_at


class LossWatch:
    """Detects crashes of starts that aborted answers by later evidence.

    :param heartbeat_seconds: period of the heartbeats of an upstream.
    :ivar on_crashed: called with the digests of a request and of the start
        that has crashed under it.
    :ivar on_crash_retracted: called with the same digests if the start turns
        out not to have crashed.
    :ivar get_list_settled_seconds: returns for how long the list of upstreams
        has been current, without an outage or restore of the store.
    """

    def __init__(self, clock: Clock, heartbeat_seconds: float) -> None:
        self._clock = clock
        self._entry_seconds = get_entry_seconds(heartbeat_seconds)
        self._losses: dict[str, Loss] = {}
        # The start of each listed upstream whose entry was read last.
        self._newest: dict[str, FleetUpstream] = {}
        self.on_crashed: Callable[[int, int], None] = _ignore
        self.on_crash_retracted: Callable[[int, int], None] = _ignore
        self.get_list_settled_seconds: Callable[[], float] = lambda: float(
            'inf'
        )

    def note_lost(
        self,
        digest: int,
        upstream: FleetUpstream,
        sent_at: float = NEVER,
    ) -> None:
        """Record that an upstream aborted its answer to a request.

        :param sent_at: when the request was sent, in monotonic seconds.
        """
        if upstream.draining or upstream.vanished_at is not None:
            return
        newest = self._newest.get(upstream.instance, upstream)
        if newest.start == upstream.start:
            loss = self._get_loss(upstream)
            if loss.may_be_newer_start(sent_at):
                loss.lost_later[digest] = sent_at
        elif self._had_begun(newest, sent_at):
            self.note_lost(digest, newest)
            return
        else:
            loss = self._get_loss(upstream)
            loss.state = LossState.PROVED
        self._add_request(loss, digest)

    def _get_loss(self, upstream: FleetUpstream) -> Loss:
        loss = self._losses.get(upstream.start)
        if loss is None:
            if len(self._losses) >= MAX_STARTS:
                del self._losses[next(iter(self._losses))]
            loss = Loss(upstream, self._clock.monotonic())
            self._losses[upstream.start] = loss
        return loss

    def _add_request(self, loss: Loss, digest: int) -> None:
        """Record that a start has lost a request."""
        if digest in loss.digests or len(loss.digests) >= MAX_REQUESTS:
            return
        loss.digests.add(digest)
        # Schedules a probe of the upstream.
        loss.upstream.reach.note_connection_lost()
        if loss.state in CRASHED_STATES:
            self.on_crashed(digest, loss.upstream.digest)

    def note_answered(self, upstream: FleetUpstream, sent_at: float) -> None:
        """Record an answer to a request that was sent at ``sent_at``."""
        loss = self._losses.get(upstream.start)
        if loss is not None and sent_at > loss.lost_at:
            self.note_evidence(upstream.start, StartEvidence.ANSWERED)

    def _had_begun(self, upstream: FleetUpstream, sent_at: float) -> bool:
        """Return whether a start had begun when a request was sent."""
        if upstream.entry.born is None:
            return False
        ago = self._clock.monotonic() - sent_at
        sent = self._clock.now().timestamp() - ago
        return sent * MILLISECONDS >= upstream.entry.born

    def note_listed(self, upstream: FleetUpstream) -> None:
        """Record that the entry of a start was read.

        What its name lost after the crash of the start before was lost by it.
        """
        if self._newest.get(upstream.instance) is upstream:
            # Each heartbeat writes the entry anew.
            return
        self._newest[upstream.instance] = upstream
        oldest = self._clock.monotonic() - UNREAD_SECONDS
        for loss in list(self._losses.values()):
            before = loss.upstream
            if (
                before.instance != upstream.instance
                or before.start == upstream.start
            ):
                continue
            later, loss.lost_later = loss.lost_later, {}
            for digest, sent_at in later.items():
                if sent_at >= oldest:
                    self.note_lost(digest, upstream)

    def note_evidence(self, start: str, evidence: StartEvidence) -> None:
        """Update the state of a start by new evidence."""
        loss = self._losses.get(start)
        if loss is None:
            return
        late = self._clock.monotonic() - loss.lost_at > REFUSED_SECONDS
        if evidence is StartEvidence.REFUSED and late:
            return
        before = loss.state
        loss.state = TRANSITIONS.get((before, evidence), before)
        if loss.state is before:
            return
        LOG.info(
            'upstream.loss_judged',
            instance=loss.upstream.instance,
            start=start,
            sign=evidence.name.lower(),
            state=loss.state.name.lower(),
            requests=len(loss.digests),
        )
        if loss.state in CRASHED_STATES and before not in CRASHED_STATES:
            for digest in sorted(loss.digests):
                self.on_crashed(digest, loss.upstream.digest)
        if loss.state is LossState.SOUND:
            del self._losses[start]
            if before is LossState.CRASHED:
                for digest in sorted(loss.digests):
                    self.on_crash_retracted(digest, loss.upstream.digest)

    def note_probed(self, start: str, accepted: bool, refused: bool) -> None:
        """Record whether the address of a start accepted a connection."""
        if accepted:
            self.note_evidence(start, StartEvidence.ACCEPTED)
        elif refused:
            self.note_evidence(start, StartEvidence.REFUSED)

    def note_ended(self, upstream: FleetUpstream, end: StartEnd) -> None:
        """Record that a start is no longer listed."""
        if self._newest.get(upstream.instance) is upstream:
            del self._newest[upstream.instance]
        self.note_evidence(upstream.start, END_EVIDENCE[end])

    def count_open(self, digest: int) -> int:
        """Return how many starts lost by a request are undecided."""
        return sum(
            digest in loss.digests
            for loss in self._losses.values()
            if loss.state is LossState.OPEN
        )

    def can_refute(self) -> bool:
        """Return whether only entries of live starts are listed.

        After an outage, that of a crashed start lapses as late as after its
        crash.
        """
        return self.get_list_settled_seconds() >= self._entry_seconds

    def sweep(self, is_listed: Callable[[str], bool]) -> None:
        """Decide on starts whose entries should have expired by now."""
        if not self._losses or not self.can_refute():
            return
        latest = self._clock.monotonic() - self._entry_seconds
        due = [
            start
            for start, loss in self._losses.items()
            if loss.lost_at < latest
        ]
        for start in due:
            if is_listed(start):
                self.note_evidence(start, StartEvidence.STILL_LISTED)
            self._losses.pop(start, None)


def _ignore(digest: int, start: int) -> None:
    """Do nothing; the default callback."""
