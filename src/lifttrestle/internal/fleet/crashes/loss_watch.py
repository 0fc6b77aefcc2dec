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

"""Finds out whether an upstream that broke off an answer has crashed.

A connection also ends by a reset, a cut link or a fault of one answer. The
upstream has crashed if it was neither leaving nor listed as gone by then, and
this start of it is gone: nothing listens at its address, its entry ends, or a
newer start has its name or its address.
"""

from collections.abc import Callable
import dataclasses
import enum

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.upstream_entry import StartEnd
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('crashes')
# Entries of crashed upstreams end after three heartbeats, and routers learn of
# it up to some seconds later.
ENTRY_HEARTBEATS = 3
ENTRY_MARGIN_SECONDS = 4.0
# A port that refuses connections so much later has been closed by something
# else than what ended the connection.
REFUSED_SECONDS = 2.0
# Starts that are looked at; a large deployment has 600 upstreams.
MAX_STARTS = 256
# Requests under way at one upstream for one router, and more.
MAX_LOST = 256


class StartEvidence(enum.Enum):
    """What is learned of a start that broke off an answer."""

    # Its address refused a connection.
    REFUSED = enum.auto()
    # Its address took a connection: it lives, or another start is there.
    ACCEPTED = enum.auto()
    # It answered a request that was sent after it had broken one off.
    ANSWERED = enum.auto()
    # A newer start has its name or its address.
    REPLACED = enum.auto()
    # Its entry ended without a word.
    VANISHED = enum.auto()
    # It said that it leaves, or its entry can't be read any more.
    WITHDRAWN = enum.auto()
    # Its entry should have ended by now and has not.
    STILL_LISTED = enum.auto()


class LossState(enum.Enum):
    """What is believed of a start that broke off an answer."""

    OPEN = enum.auto()
    # It takes connections; only a newer start proves a crash now.
    REACHED = enum.auto()
    # Nothing listens at its address.
    CRASHED = enum.auto()
    # It will not be back.
    PROVED = enum.auto()
    # It has not crashed.
    SOUND = enum.auto()


SIGNS = {
    StartEnd.REPLACED: StartEvidence.REPLACED,
    StartEnd.VANISHED: StartEvidence.VANISHED,
    StartEnd.WITHDRAWN: StartEvidence.WITHDRAWN,
}
CRASHED_STATES = (LossState.CRASHED, LossState.PROVED)
TRANSITIONS = {
    (LossState.OPEN, StartEvidence.REFUSED): LossState.CRASHED,
    (LossState.OPEN, StartEvidence.ACCEPTED): LossState.REACHED,
    (LossState.OPEN, StartEvidence.ANSWERED): LossState.SOUND,
    (LossState.OPEN, StartEvidence.REPLACED): LossState.PROVED,
    (LossState.OPEN, StartEvidence.VANISHED): LossState.PROVED,
    (LossState.OPEN, StartEvidence.WITHDRAWN): LossState.SOUND,
    (LossState.OPEN, StartEvidence.STILL_LISTED): LossState.SOUND,
    # The listener may close a moment after the connections.
    (LossState.REACHED, StartEvidence.REFUSED): LossState.CRASHED,
    (LossState.REACHED, StartEvidence.ANSWERED): LossState.SOUND,
    (LossState.REACHED, StartEvidence.REPLACED): LossState.PROVED,
    (LossState.REACHED, StartEvidence.VANISHED): LossState.SOUND,
    (LossState.REACHED, StartEvidence.WITHDRAWN): LossState.SOUND,
    (LossState.REACHED, StartEvidence.STILL_LISTED): LossState.SOUND,
    # A cut link may refuse connections, too.
    (LossState.CRASHED, StartEvidence.ANSWERED): LossState.SOUND,
    (LossState.CRASHED, StartEvidence.REPLACED): LossState.PROVED,
    (LossState.CRASHED, StartEvidence.VANISHED): LossState.PROVED,
    (LossState.CRASHED, StartEvidence.WITHDRAWN): LossState.SOUND,
    (LossState.CRASHED, StartEvidence.STILL_LISTED): LossState.SOUND,
}


@dataclasses.dataclass
class Loss:
    """A start that broke off answers.

    :ivar lost_at: when it did so first.
    :ivar digests: of the requests that it had under way for this router.
    """

    upstream: FleetUpstream
    lost_at: float
    state: LossState = LossState.OPEN
    digests: set[int] = dataclasses.field(default_factory=set)


class LossWatch:
    """Judges each start that broke off answers by the signs that follow.

    :param heartbeat_seconds: between two signs of life of an upstream.
    :ivar tell_crashed: is called with a request's digest and that of a start
        that has crashed under it.
    :ivar tell_sound: likewise, for one that was taken for crashed.
    :ivar is_list_current: returns whether the list of upstreams is current.
    """

    def __init__(self, clock: Clock, heartbeat_seconds: float) -> None:
        self._clock = clock
        self._entry_seconds = (
            ENTRY_HEARTBEATS * heartbeat_seconds + ENTRY_MARGIN_SECONDS
        )
        self._losses: dict[str, Loss] = {}
        self.tell_crashed: Callable[[int, int], None] = _tell_nobody
        self.tell_sound: Callable[[int, int], None] = _tell_nobody
        self.is_list_current: Callable[[], bool] = lambda: True

    def note_lost(self, digest: int, upstream: FleetUpstream) -> None:
        """Note that an upstream broke off its answer to a request."""
        if upstream.entry.draining or upstream.vanished_at is not None:
            return
        loss = self._losses.get(upstream.start)
        if loss is None:
            if len(self._losses) >= MAX_STARTS:
                del self._losses[next(iter(self._losses))]
            loss = Loss(upstream, self._clock.monotonic())
            self._losses[upstream.start] = loss
        if digest in loss.digests or len(loss.digests) >= MAX_LOST:
            return
        loss.digests.add(digest)
        # Have it probed soon.
        upstream.reach.note_lost()
        if loss.state in CRASHED_STATES:
            self.tell_crashed(digest, upstream.digest)

    def note_answered(self, upstream: FleetUpstream, sent_at: float) -> None:
        """Note an answer to what was sent at sent_at."""
        loss = self._losses.get(upstream.start)
        if loss is not None and sent_at > loss.lost_at:
            self.note_evidence(upstream.start, StartEvidence.ANSWERED)

    def note_evidence(self, start: str, sign: StartEvidence) -> None:
        """Judge a start by something that was learned of it."""
        loss = self._losses.get(start)
        if loss is None:
            return
        late = self._clock.monotonic() - loss.lost_at > REFUSED_SECONDS
        if sign is StartEvidence.REFUSED and late:
            return
        before = loss.state
        loss.state = TRANSITIONS.get((before, sign), before)
        if loss.state is before:
            return
        LOG.info(
            'upstream.loss_judged',
            instance=loss.upstream.instance,
            start=start,
            sign=sign.name.lower(),
            state=loss.state.name.lower(),
            requests=len(loss.digests),
        )
        if loss.state in CRASHED_STATES and before not in CRASHED_STATES:
            for digest in sorted(loss.digests):
                self.tell_crashed(digest, loss.upstream.digest)
        if loss.state is LossState.SOUND:
            del self._losses[start]
            if before is LossState.CRASHED:
                for digest in sorted(loss.digests):
                    self.tell_sound(digest, loss.upstream.digest)

    def note_probed(self, start: str, taken: bool, refused: bool) -> None:
        """Note whether a probe of a start's address was taken."""
        if taken:
            self.note_evidence(start, StartEvidence.ACCEPTED)
        elif refused:
            self.note_evidence(start, StartEvidence.REFUSED)

    def note_ended(self, upstream: FleetUpstream, end: StartEnd) -> None:
        """Note that a start is listed no more."""
        self.note_evidence(upstream.start, SIGNS[end])

    def count_open(self, digest: int) -> int:
        """Return how many starts a request lost that may have crashed."""
        return sum(
            digest in loss.digests
            for loss in self._losses.values()
            if loss.state is LossState.OPEN
        )

    def look(self, is_listed: Callable[[str], bool]) -> None:
        """Judge those whose entries should have ended by now."""
        if not self._losses or not self.is_list_current():
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


def _tell_nobody(digest: int, start: int) -> None:
    """Tell nobody."""
