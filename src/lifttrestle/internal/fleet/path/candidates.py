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

"""Selects the upstream for a request among those that may serve it now."""

from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.dialect import RequestFacts
from lifttrestle.internal.fleet.path.placement_context import build_context
from lifttrestle.internal.fleet.path.upstream_status import UpstreamStatus
from lifttrestle.internal.fleet.policy.admission import AdmittedRequest
from lifttrestle.internal.fleet.policy.admission import get_cache_scope
from lifttrestle.internal.fleet.policy.limit_permits import rank_request
from lifttrestle.internal.fleet.policy.placement import choose_engine
from lifttrestle.internal.fleet.policy.placement import choose_plain
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.policy.rejection_limit import divide_slots
from lifttrestle.internal.fleet.policy.rejection_limit import SendingShare
from lifttrestle.internal.fleet.policy.software_room import leave_room
from lifttrestle.internal.fleet.policy.software_room import prefer_stored
from lifttrestle.internal.fleet.policy.tunnel_peers import is_path_unknown
from lifttrestle.internal.fleet.policy.weights_filter import select_engines
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.streams.binding import StreamBinding

FOREVER = float('inf')
# A request that is sent to a draining upstream arrives within this time.
DRAIN_MARGIN_SECONDS = 0.5


class Candidates:
    """The upstreams for one request, except those already tried."""

    def __init__(
        self, parts: FleetParts, facts: RequestFacts, binding: StreamBinding
    ) -> None:
        self._parts = parts
        self._facts = facts
        self._binding = binding
        # Start id -> monotonic time until which it is not tried again.
        self._excluded_until: dict[str, float] = {}
        # Starts that were chosen again after a connection had failed.
        self._reconsidered: set[str] = set()
        # Start id -> what this router may send, set by the last choice if an
        # upstream announces how few rejections it tolerates.
        self._shares: dict[str, SendingShare] = {}
        # Priority of the request among those that want a permit, set by the
        # last choice.
        self.rank = 0

    def exclude(self, upstream: FleetUpstream, until: float = FOREVER) -> None:
        """Exclude an upstream until ``until``, in monotonic seconds."""
        self._excluded_until[upstream.start] = until

    def note_chosen(self, upstream: FleetUpstream) -> None:
        """Record that an upstream is tried now; it is not chosen again."""
        self.exclude(upstream)
        share = self._shares.get(upstream.start)
        if share is not None:
            upstream.note_chosen(share, self._parts.clock.monotonic())

    def reconsider(self, upstream: FleetUpstream) -> None:
        """Let an upstream to which no connection was made be chosen again.

        That is done once, as another path may have been found meanwhile.
        """
        if upstream.start not in self._reconsidered:
            self._reconsidered.add(upstream.start)
            self._excluded_until.pop(upstream.start, None)

    def choose(
        self,
        admitted: AdmittedRequest,
        service: str,
        urgency: int,
        *,
        repeated: bool,
    ) -> Placement | None:
        """Return the best upstream, or None if none may serve now.

        :param urgency: priority of the request at upstreams.
        :param repeated: whether the request was sent before.
        """
        parts = self._parts
        available = [
            upstream
            for upstream in self.list_available(admitted, service)
            if upstream.is_available
        ]
        if admitted.route.streams and self._binding.origin is None:
            listed = parts.streams.count_versions(service)
            available = leave_room(available, listed)
            if admitted.route.resumable:
                stored = parts.streams.list_stored(service)
                available = prefer_stored(available, stored)
        available = self._select_permitted(available, urgency, repeated)
        generation = self._facts.generation
        context = build_context(parts, admitted, service, urgency, generation)
        if generation is None:
            return choose_plain(available, context, parts.source)
        return choose_engine(
            available,
            generation,
            get_cache_scope(admitted),
            parts.sources.shared,
            context,
            parts.source,
        )

    def _select_permitted(
        self, available: list[FleetUpstream], urgency: int, repeated: bool
    ) -> list[FleetUpstream]:
        """Return the upstreams whose rate limits may permit this request."""
        limits = self._parts.limits
        if not limits.in_use:
            return available
        unlimited = [item for item in available if not limits.is_limited(item)]
        if len(unlimited) == len(available):
            return available
        self.rank = rank_request(
            urgency, has_others=bool(unlimited), repeated=repeated
        )
        if repeated and unlimited:
            return unlimited
        return [
            item
            for item in available
            if not limits.is_refused(item, self.rank)
        ]

    def find_permit_seconds(self, service: str) -> float | None:
        """Return the seconds until a limited upstream may permit a request.

        None unless rate limits are the only reason why no upstream may serve.
        """
        limits = self._parts.limits
        remaining = self._list_remaining(service)
        if not remaining or not all(
            limits.is_limited(item) for item in remaining
        ):
            return None
        return min(limits.get_retry_delay(item) for item in remaining)

    def find_pause_seconds(self, service: str) -> float | None:
        """Return the seconds until a pausing upstream takes requests.

        None unless all that remain asked for a pause.
        """
        now = self._parts.clock.monotonic()
        pauses = [
            upstream.rejections.get_requested_seconds(now)
            for upstream in self._list_remaining(service)
        ]
        return min(pauses) if pauses and all(pauses) else None

    def list_available(
        self, admitted: AdmittedRequest, service: str
    ) -> list[FleetUpstream]:
        """Return the upstreams to which this request may be sent now."""
        parts = self._parts
        now = parts.clock.monotonic()
        facts = admitted.catalogue.services.get(service)
        cap = facts.max_connections if facts is not None else 1
        cap = max(cap // parts.roster.live, 1)
        listed = parts.directory.list_available(service)
        assumed = min(
            (
                upstream.rejections.max_rejections
                for upstream in listed
                if upstream.rejections.max_rejections is not None
            ),
            default=None,
        )
        self._shares = {} if assumed is None else self._divide_slots(listed)
        found = [
            upstream
            for upstream in self._select_allowed(listed, service)
            if self._excluded_until.get(upstream.start, now) <= now
            and upstream.in_flight < cap
            and not upstream.rejections.get_requested_seconds(now)
            and not self._may_be_full(upstream, now, assumed)
        ]
        generation = self._facts.generation
        if generation is None:
            return found
        return select_engines(
            found,
            generation.model,
            parts.view.target_weights.get(generation.model),
            now,
            parts.settings.promises.weights_seconds,
        )

    def _divide_slots(
        self, upstreams: list[FleetUpstream]
    ) -> dict[str, SendingShare]:
        """Return what this router may send to each upstream, by its start."""
        roster = self._parts.roster
        routers = roster.routers
        ordered = sorted(upstreams, key=lambda upstream: upstream.start)
        shares = divide_slots(
            (upstream.entry.slots for upstream in ordered),
            len(routers),
            routers.index(roster.key),
        )
        return {
            upstream.start: share
            for upstream, share in zip(ordered, shares, strict=True)
        }

    def _may_be_full(
        self, upstream: FleetUpstream, now: float, assumed: float | None
    ) -> bool:
        share = self._shares.get(upstream.start)
        return share is not None and upstream.may_be_full(share, now, assumed)

    def has_alternative(self, admitted: AdmittedRequest, service: str) -> bool:
        """Return whether a healthy upstream remains to fail over to."""
        now = self._parts.clock.monotonic()
        return any(
            not upstream.seems_down(now)
            for upstream in self.list_available(admitted, service)
        )

    def may_become_available(self, service: str) -> bool:
        """Return whether an upstream remains that is worth waiting for.

        An unreachable upstream is not: only a probe can detect that it is
        reachable again, which takes longer than a request may wait.
        """
        return bool(self._list_remaining(service))

    def may_find_path(self, service: str) -> bool:
        """Return whether other routers are yet to be asked for a path."""
        return is_path_unknown(self._list_left(service)) and bool(
            self._parts.roster.list_tunnel_peers()
        )

    def list_unavailable(self, service: str) -> list[UpstreamStatus]:
        """Return what is known of each upstream of a service."""
        return [
            UpstreamStatus(
                upstream.instance,
                unreachable_since=upstream.reach.unreachable_since,
                has_idle_connection=upstream.pool.has_idle,
                in_flight=upstream.in_flight,
            )
            for upstream in self._list_allowed(service)
        ]

    def is_allowed(self, upstream: FleetUpstream, service: str) -> bool:
        """Return whether an upstream may be sent this request now."""
        return any(item is upstream for item in self._list_allowed(service))

    def _list_allowed(self, service: str) -> list[FleetUpstream]:
        """Return the upstreams of a service that may continue the stream."""
        return self._select_allowed(
            self._parts.directory.list_available(service), service
        )

    def _select_allowed(
        self, listed: list[FleetUpstream], service: str
    ) -> list[FleetUpstream]:
        """Return those of the listed upstreams that may continue the stream.

        If there are none, those that drain and still accept requests.
        """
        allowed = self._binding.select(listed)
        if allowed or self._binding.origin is None:
            return allowed
        parts = self._parts
        seconds = parts.settings.promises.drain_seconds - DRAIN_MARGIN_SECONDS
        return self._binding.select(
            parts.directory.list_draining(service, seconds)
        )

    def _list_remaining(self, service: str) -> list[FleetUpstream]:
        """Return the upstreams that were not tried and are available."""
        return [item for item in self._list_left(service) if item.is_available]

    def _list_left(self, service: str) -> list[FleetUpstream]:
        """Return the upstreams that were not tried, available or not."""
        return [
            upstream
            for upstream in self._list_allowed(service)
            if self._excluded_until.get(upstream.start) != FOREVER
        ]
