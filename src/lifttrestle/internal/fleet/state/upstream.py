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

"""What one router knows of one upstream of the fleet."""

import dataclasses

from lifttrestle.internal.fleet.state.reach import Reachability
from lifttrestle.internal.fleet.state.upstream_entry import build_digest
from lifttrestle.internal.fleet.state.upstream_entry import UpstreamEntry
from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.upstream.breaker import Breaker

# Weight of the newest observation in the average of first bytes: the last
# five or so count.
AVERAGE_SHARE = 0.2
# An upstream that owes answers and sent nothing for this long is suspect.
# It is avoided, not given up: 99 of 100 first pieces come within 0.75 s on
# calm days, and to avoid an engine for a moment costs little.
SILENT_SECONDS = 0.5

# Entries tell of weights up to a heartbeat (1.2 s on the known deployments)
# and a read of the list after an answer or a report did. An entry that tells
# of older weights later than this is right: taken for late, it left an engine
# that turned every request away without ever being ordered to load again.
ENTRY_LAG_SECONDS = 4.0


@dataclasses.dataclass(frozen=True)
class PendingAnswer:
    """A request that was sent and has no answer yet.

    :ivar urgency: 0 is first; upstreams take more urgent ones out of turn.
    :ivar unread_tokens: of its prompt, that had to be computed when sent.
    """

    sent_at: float
    urgency: int
    unread_tokens: int = 0


@dataclasses.dataclass
class FleetUpstream:
    """One start of an upstream.

    :ivar weights: the newest version of each model's weights that it is
        known to hold.
    :ivar peers_in_flight: requests that other routers have under way there.
    :ivar peers_unread: the tokens that it has yet to read for them.
    :ivar busy_until: until when it is expected to load weights.
    :ivar weights_noted_at: when it was first seen to hold its weights.
    :ivar vanished_at: when its entry went, or None.
    :ivar first_byte_seconds: average time to the first byte of an answer.
    :ivar reach: whether it takes connections.
    :ivar digest: stands for this start in messages to other routers.
    :ivar owed: the unanswered requests, by ticket.
    """

    entry: UpstreamEntry
    pool: ClientPool
    breaker: Breaker = dataclasses.field(default_factory=Breaker)
    weights: dict[str, int] = dataclasses.field(default_factory=dict)
    busy_until: float = 0.0
    weights_noted_at: float = 0.0
    vanished_at: float | None = None
    misdirected: bool = False
    in_flight: int = 0
    peers_in_flight: int = 0
    peers_unread: int = 0
    first_byte_seconds: float = 0.0
    last_received_at: float = 0.0
    reach: Reachability = dataclasses.field(default_factory=Reachability)
    pending: dict[int, PendingAnswer] = dataclasses.field(default_factory=dict)
    digest: int = 0

    def __post_init__(self) -> None:
        """Build what stands for this start in messages."""
        self.digest = build_digest(self.start)

    @property
    def instance(self) -> str:
        """Return its name."""
        return self.entry.instance

    @property
    def start(self) -> str:
        """Return the identity of this start."""
        return self.entry.start

    def note_weights(self, model: str, version: int, now: float) -> None:
        """Note weights that it was seen to hold; older news is dropped."""
        if version > self.weights.get(model, 0):
            self.weights[model] = version
            self.weights_noted_at = now
            self.busy_until = 0.0

    def note_listed_weights(
        self, model: str, version: int, now: float
    ) -> None:
        """Note weights by its own entry, which may tell that they went back.

        A late order that was sent to its start before, which had accepted
        as many orders, does that.
        """
        settled = now - self.weights_noted_at > ENTRY_LAG_SECONDS
        if settled and version < self.weights.get(model, 0):
            self.weights[model] = version
            return
        self.note_weights(model, version, now)

    @property
    def unread_tokens(self) -> int:
        """Return the tokens that it has yet to read for this router."""
        return sum(pending.unread_tokens for pending in self.pending.values())

    def note_sent(
        self, ticket: int, now: float, urgency: int = 0, unread: int = 0
    ) -> None:
        """Note that an answer is owed, after ``unread`` tokens are read."""
        self.pending[ticket] = PendingAnswer(now, urgency, unread)
        self.breaker.note_sent(now)

    def note_first_byte(self, ticket: int, now: float) -> None:
        """Note that an answer began."""
        pending = self.pending.pop(ticket, PendingAnswer(now, 0))
        self.note_alive(now)
        change = (now - pending.sent_at) - self.first_byte_seconds
        self.first_byte_seconds += AVERAGE_SHARE * change

    def note_alive(self, now: float) -> None:
        """Note that it has sent something."""
        self.last_received_at = now
        self.reach.note_reachable(now)

    def note_ended(self, ticket: int) -> None:
        """Forget an exchange that is over."""
        self.pending.pop(ticket, None)

    def get_oldest_wait(self, now: float, urgency: int) -> float:
        """Return how long an unanswered request has waited at the most.

        :param urgency: only requests that are as urgent count.
        """
        waits = [
            now - pending.sent_at
            for pending in self.pending.values()
            if pending.urgency <= urgency
        ]
        return max(waits, default=0.0)

    def seems_down(self, now: float) -> bool:
        """Return whether there are signs that it is not there."""
        return self.reach.unreachable or self.is_silent(now)

    def is_silent(self, now: float) -> bool:
        """Return whether it owes an answer and has been quiet too long."""
        if not self.pending:
            return False
        oldest = min(pending.sent_at for pending in self.pending.values())
        return now - max(oldest, self.last_received_at) > SILENT_SECONDS
