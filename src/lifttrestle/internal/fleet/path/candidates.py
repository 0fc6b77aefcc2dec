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

"""Which upstreams may serve one request now, and the best of them."""

from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.dialect import RequestFacts
from lifttrestle.internal.fleet.policy.admission import AdmittedRequest
from lifttrestle.internal.fleet.policy.admission import get_cache_scope
from lifttrestle.internal.fleet.policy.admission import get_urgency
from lifttrestle.internal.fleet.policy.engine_costs import PlacementContext
from lifttrestle.internal.fleet.policy.limit_permits import rank_request
from lifttrestle.internal.fleet.policy.placement import choose_engine
from lifttrestle.internal.fleet.policy.placement import choose_plain
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.policy.weights_fit import select_engines
from lifttrestle.internal.fleet.state.upstream import FleetUpstream

FOR_EVER = float('inf')


def _get_slots(admitted: AdmittedRequest, service: str) -> int:
    facts = admitted.catalogue.services.get(service)
    if facts is None or facts.engine is None:
        return 0
    return facts.engine.slots


class Candidates:
    """The upstreams of one request, without those that have failed it."""

    def __init__(self, parts: FleetParts, facts: RequestFacts) -> None:
        self._parts = parts
        self._facts = facts
        # Until when an upstream is not to be tried again.
        self._tried: dict[str, float] = {}
        # Of the request among those that want a permit, when last chosen.
        self.rank = 0

    def exclude(
        self, upstream: FleetUpstream, until: float = FOR_EVER
    ) -> None:
        """Do not try an upstream again before ``until``."""
        self._tried[upstream.start] = until

    def choose(
        self, admitted: AdmittedRequest, service: str, *, repeated: bool
    ) -> Placement | None:
        """Return the best upstream, or None if none may serve now.

        :param repeated: the request was sent before.
        """
        parts = self._parts
        fit = [
            upstream
            for upstream in self.list_fit(admitted, service)
            if not upstream.reach.unreachable
        ]
        fit = self._select_open(fit, get_urgency(admitted), repeated)
        generation = self._facts.generation
        wanted = None
        if generation is not None:
            wanted = parts.view.wanted.get(generation.model)
        around = PlacementContext(
            now=parts.clock.monotonic(),
            data_centre=parts.settings.data_centre,
            wanted_version=wanted.version if wanted is not None else 0,
            urgency=get_urgency(admitted),
            slots=_get_slots(admitted, service),
            read_seconds=parts.get_pace(service).read_seconds,
            fetch_seconds=admitted.catalogue.get_fetch_seconds(service),
        )
        if generation is None:
            return choose_plain(fit, around, parts.source)
        return choose_engine(
            fit,
            generation,
            get_cache_scope(admitted),
            parts.sources.shared,
            around,
            parts.source,
        )

    def _select_open(
        self, fit: list[FleetUpstream], urgency: int, repeated: bool
    ) -> list[FleetUpstream]:
        """Return the upstreams that may still take this request."""
        limits = self._parts.limits
        if not limits.in_use:
            return fit
        free = [item for item in fit if not limits.is_limited(item)]
        if len(free) == len(fit):
            return fit
        self.rank = rank_request(
            urgency, has_others=bool(free), repeated=repeated
        )
        if repeated and free:
            return free
        return [item for item in fit if not limits.is_closed(item, self.rank)]

    def find_permit_seconds(self, service: str) -> float | None:
        """Return when the first limited upstream may take one more request.

        None if there are other reasons for which none may serve.
        """
        limits = self._parts.limits
        left = self._list_left(service)
        if not left or not all(limits.is_limited(item) for item in left):
            return None
        return min(limits.get_wait(item) for item in left)

    def list_fit(
        self, admitted: AdmittedRequest, service: str
    ) -> list[FleetUpstream]:
        """Return the upstreams that may begin this request now."""
        parts = self._parts
        now = parts.clock.monotonic()
        facts = admitted.catalogue.services.get(service)
        cap = facts.max_connections if facts is not None else 1
        cap = max(cap // parts.roster.live, 1)
        found = [
            upstream
            for upstream in parts.directory.list_available(service)
            if self._tried.get(upstream.start, now) <= now
            and upstream.in_flight < cap
        ]
        generation = self._facts.generation
        if generation is None:
            return found
        return select_engines(
            found,
            generation.model,
            parts.view.wanted.get(generation.model),
            now,
            parts.settings.promises.weights_seconds,
        )

    def has_others(self, admitted: AdmittedRequest, service: str) -> bool:
        """Return whether a sound upstream is left to go on."""
        now = self._parts.clock.monotonic()
        return any(
            not upstream.seems_down(now)
            for upstream in self.list_fit(admitted, service)
        )

    def may_become_fit(self, service: str) -> bool:
        """Return whether an upstream is left that can be waited for.

        One that takes no connections is known to be back by a probe only,
        later than a request may wait.
        """
        return bool(self._list_left(service))

    def _list_left(self, service: str) -> list[FleetUpstream]:
        return [
            upstream
            for upstream in self._parts.directory.list_available(service)
            if self._tried.get(upstream.start) != FOR_EVER
            and not upstream.reach.unreachable
        ]
