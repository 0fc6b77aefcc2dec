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

"""The state that a router keeps for one upstream of the fleet."""

import dataclasses

from lifttrestle.internal.fleet.policy.rejection_limit import is_safe
from lifttrestle.internal.fleet.policy.rejection_limit import SendingShare
from lifttrestle.internal.fleet.state.departures import Departure
from lifttrestle.internal.fleet.state.reach import NEVER
from lifttrestle.internal.fleet.state.reach import Reachability
from lifttrestle.internal.fleet.state.rejection_pacing import RejectionPacing
from lifttrestle.internal.fleet.state.upstream_entry import build_digest
from lifttrestle.internal.fleet.state.upstream_entry import UpstreamEntry
from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.upstream.breaker import Breaker

# Weight of the newest value in the moving average of the time to first byte:
# about the last five values count.
SMOOTHING_FACTOR = 0.2
# An upstream with pending answers that has sent nothing for this long seems
# down. New requests avoid it, but those already sent to it continue: under
# normal load 99 of 100 first tokens arrive within 0.75 s, and avoiding an
# engine for a moment costs little.
SILENT_SECONDS = 0.5

# An entry shows new weights up to a heartbeat (1.2 s on the known deployments)
# and a read of the list later than an answer or a load report. An entry with
# older weights that arrives after this delay is correct: when it was ignored
# as outdated, an engine that declined every request was never ordered to load
# its weights again.
ENTRY_LAG_SECONDS = 4.0


@dataclasses.dataclass(frozen=True)
class PendingAnswer:
    """A request that was sent and has no answer yet.

    :ivar urgency: its priority, 0 is the highest; upstreams serve requests in
        the order of their priority.
    :ivar unread_tokens: prompt tokens that were uncached when it was sent.
    :ivar expected_seconds: time to first byte that was expected at the usual
        speed, zero if it is not known.
    """

    sent_at: float
    urgency: int
    unread_tokens: int = 0
    expected_seconds: float = 0.0


@dataclasses.dataclass
class FleetUpstream:
    """One start of an upstream.

    :ivar weights: newest version of each model's weights that it is known to
        hold.
    :ivar peers_in_flight: requests in flight there from other routers.
    :ivar peers_unread: prompt tokens of those requests that it has yet to
        compute.
    :ivar busy_until: when it is expected to finish loading weights.
    :ivar weights_noted_at: when it was first observed to hold its weights.
    :ivar vanished_at: when its entry was removed, or None.
    :ivar drains_since: when it may have reported first that it is draining,
        monotonic seconds; never if that is not known.
    :ivar departure: whether it has announced in an answer that it leaves.
    :ivar misdirected: whether another start answers at its address.
    :ivar first_byte_seconds: moving average of the time to first byte, at its
        usual speed.
    :ivar last_received_at: when it last sent anything.
    :ivar reach: whether it accepts connections.
    :ivar rejections: when it may be sent what it may have to reject.
    :ivar tunnel_found_at: when another router was found that reaches it,
        monotonic seconds.
    :ivar tunnel_failed_at: when no router asked could reach it.
    :ivar digest: identifies this start in messages between routers.
    :ivar pending: unanswered requests, by attempt id.
    """

    entry: UpstreamEntry
    pool: ClientPool
    breaker: Breaker = dataclasses.field(default_factory=Breaker)
    weights: dict[str, int] = dataclasses.field(default_factory=dict)
    busy_until: float = 0.0
    weights_noted_at: float = 0.0
    vanished_at: float | None = None
    drains_since: float = NEVER
    departure: Departure = dataclasses.field(default_factory=Departure)
    misdirected: bool = False
    in_flight: int = 0
    peers_in_flight: int = 0
    peers_unread: int = 0
    first_byte_seconds: float = 0.0
    last_received_at: float = 0.0
    reach: Reachability = dataclasses.field(default_factory=Reachability)
    pending: dict[int, PendingAnswer] = dataclasses.field(default_factory=dict)
    rejections: RejectionPacing = dataclasses.field(
        default_factory=RejectionPacing
    )
    tunnel_found_at: float = NEVER
    tunnel_failed_at: float = NEVER
    digest: int = 0

    def __post_init__(self) -> None:
        """Compute the digest of this start."""
        self.digest = build_digest(self.start)

    @property
    def instance(self) -> str:
        """Return the name of the upstream."""
        return self.entry.instance

    @property
    def start(self) -> str:
        """Return the identity of this start."""
        return self.entry.start

    @property
    def draining(self) -> bool:
        """Return whether it accepts no new work, as it says by any way."""
        return self.entry.draining or self.departure.has_begun

    def note_weights(self, model: str, version: int, now: float) -> None:
        """Record weights that it holds; older versions are ignored."""
        if version > self.weights.get(model, 0):
            self.weights[model] = version
            self.weights_noted_at = now
            self.busy_until = 0.0

    def note_listed_weights(
        self, model: str, version: int, now: float
    ) -> None:
        """Record the weights in its own entry, which may be older ones.

        An engine returns to an older version if it executes a delayed load
        order for its previous start. It accepts such an order if both starts
        have accepted the same number of orders.
        """
        is_current = now - self.weights_noted_at > ENTRY_LAG_SECONDS
        if is_current and version < self.weights.get(model, 0):
            self.weights[model] = version
            return
        self.note_weights(model, version, now)

    @property
    def unread_tokens(self) -> int:
        """Return the uncomputed prompt tokens of this router's requests."""
        return sum(pending.unread_tokens for pending in self._list_awaited())

    def note_sent(
        self,
        attempt_id: int,
        now: float,
        urgency: int = 0,
        unread: int = 0,
        expected: float = 0.0,
    ) -> None:
        """Record that a request with ``unread`` uncached tokens was sent.

        :param expected: time to first byte at the usual speed, in seconds.
        """
        pending = PendingAnswer(now, urgency, unread, expected)
        self.pending[attempt_id] = pending
        self.breaker.note_sent(now)

    def note_first_byte(
        self, attempt_id: int, now: float, slowdown: float = 1.0
    ) -> None:
        """Record the first byte of an answer.

        :param slowdown: factor by which it was known to be slower than usual.
            Choices multiply by the present one, so the average excludes it.
        """
        pending = self.pending.pop(attempt_id, PendingAnswer(now, 0))
        self.note_alive(now)
        seconds = (now - pending.sent_at) / slowdown
        change = seconds - self.first_byte_seconds
        self.first_byte_seconds += SMOOTHING_FACTOR * change

    def note_alive(self, now: float) -> None:
        """Record that it has sent something."""
        self.last_received_at = now
        self.reach.note_received(now)

    def may_be_full(
        self, share: SendingShare, now: float, assumed: float | None = None
    ) -> bool:
        """Return whether a request risks a rejection that it can't tolerate.

        :param share: what this router may send there.
        :param assumed: what others of its service announce; it counts until
            this one has answered.
        """
        has_answered = self.last_received_at > 0
        announced = self.rejections.max_rejections if has_answered else assumed
        if announced is None:
            return False
        if self.rejections.is_paused(now):
            return True
        if self._is_safe(share):
            return False
        return self.in_flight > 0 or not self.rejections.has_turn(share, now)

    def note_chosen(self, share: SendingShare, now: float) -> None:
        """Record that a request is sent to it; that may use up a turn."""
        if not self._is_safe(share):
            load = (self.in_flight + self.peers_in_flight) / self.entry.slots
            self.rejections.note_turn_used(share, load, now)

    def _is_safe(self, share: SendingShare) -> bool:
        return is_safe(
            self.in_flight, self.peers_in_flight, self.entry.slots, share
        )

    @property
    def uses_tunnels(self) -> bool:
        """Return whether it is reached through other routers only."""
        since = self.reach.unreachable_since
        return since is not None and self.tunnel_found_at >= since

    @property
    def is_available(self) -> bool:
        """Return whether this router or another one reaches it."""
        return not self.reach.unreachable or self.uses_tunnels

    def note_tunnel_found(self, now: float) -> None:
        """Record that another router reaches it."""
        if not self.uses_tunnels:
            self.tunnel_found_at = now

    def note_tunnel_failed(self, now: float) -> None:
        """Record that no other router reaches it."""
        self.tunnel_found_at = NEVER
        self.tunnel_failed_at = now

    def note_ended(self, attempt_id: int) -> None:
        """Remove a request that has ended."""
        self.pending.pop(attempt_id, None)

    def get_oldest_wait(self, now: float, urgency: int) -> float:
        """Return the longest time that an unanswered request has waited.

        :param urgency: only requests with this priority or a higher one
            count.
        :return: seconds, zero if there is no such request.
        """
        waits = [
            now - pending.sent_at
            for pending in self._list_awaited()
            if pending.urgency <= urgency
        ]
        return max(waits, default=0.0)

    def _list_awaited(self) -> list[PendingAnswer]:
        """Return the pending answers that its work may still delay.

        Those sent before it was reached through tunnels only may have been
        lost with their connections.
        """
        since = self.tunnel_found_at if self.uses_tunnels else NEVER
        return [
            item for item in self.pending.values() if item.sent_at >= since
        ]

    def seems_down(self, now: float) -> bool:
        """Return whether it is unreachable, by any path, or silent."""
        return not self.is_available or self.is_silent(now)

    def may_take_orders(self, now: float) -> bool:
        """Return whether orders reach it, directly, and it wants them."""
        return (
            not self.reach.unreachable
            and not self.is_silent(now)
            and not self.rejections.get_requested_seconds(now)
        )

    def is_silent(self, now: float) -> bool:
        """Return whether it has pending answers and sends nothing."""
        if not self.pending:
            return False
        oldest = min(pending.sent_at for pending in self.pending.values())
        since = max(oldest, self.last_received_at, self.tunnel_found_at)
        return now - since > SILENT_SECONDS
