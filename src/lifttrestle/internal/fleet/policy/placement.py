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

"""Selects the upstream for a request."""

import dataclasses
import itertools
import random

from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.policy.engine_costs import compute_engine_cost
from lifttrestle.internal.fleet.policy.engine_costs import compute_network_cost
from lifttrestle.internal.fleet.policy.engine_costs import count_prompt_tokens
from lifttrestle.internal.fleet.policy.engine_costs import count_queued_tokens
from lifttrestle.internal.fleet.policy.engine_costs import estimate_engine
from lifttrestle.internal.fleet.policy.engine_costs import lacks_connection
from lifttrestle.internal.fleet.policy.engine_costs import PlacementContext
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.routing.rendezvous import rank_names

# Upper bound of a random cost that spreads requests over equal upstreams.
TIE_BREAK_SECONDS = 0.002
# Candidates per decision: some homes, enough that one remains if others are
# lost or loading weights, and some random engines. Computing the costs of all
# engines took 1.1 ms of CPU time per decision with 60 engines and 11 ms with
# 600; the candidates take 0.3 ms and 1.7 ms (benchmarks/decisions.py). Routers
# with the same load sums would all choose the least loaded engine until the
# next update: with 195 routers and 59 engines at 0.75 of their prefill
# capacity, the fraction of requests in time is 0.947 with eight random
# engines, 0.974 with four and 0.981 with two (simulated load).
CANDIDATE_HOMES = 4
CANDIDATE_OTHERS = 4
# Maximum number of candidates in a log event.
MAX_LOGGED_CANDIDATES = 5
# Cost per running request of a plain service, which has few slots.
PLAIN_RUNNING_SECONDS = 0.03


@dataclasses.dataclass(frozen=True)
class Placement:
    """A chosen upstream and the reasons for the choice.

    :ivar reason: why it was chosen, for the log.
    :ivar expected_seconds: expected time to the first token of the answer;
        the cost, for a plain service.
    :ivar queue_seconds: part of it until prefill of the prompt begins.
    :ivar unread_tokens: prompt tokens that the engine has to compute.
    :ivar queue_tokens: tokens that it has to compute before them.
    :ivar slowdown: factor by which it is slower than its service.
    :ivar candidates: the cheapest instances with their costs in seconds.
    :ivar avoided: some instances that were excluded as unhealthy.
    """

    upstream: FleetUpstream
    reason: str
    expected_seconds: float
    queue_seconds: float = 0.0
    unread_tokens: int = 0
    queue_tokens: int = 0
    slowdown: float = 1.0
    candidates: tuple[tuple[str, float], ...] = ()
    avoided: tuple[str, ...] = ()


def choose_plain(
    available: list[FleetUpstream],
    context: PlacementContext,
    source: random.Random,
) -> Placement | None:
    """Return the upstream of a plain service with the lowest cost.

    Returns None if there is no upstream.
    """
    costs = {}
    healthy = _prefer_healthy(available, context.now)
    for upstream in healthy:
        slowdown = context.get_slowdown(upstream)
        cost = upstream.first_byte_seconds * slowdown
        cost += upstream.in_flight * PLAIN_RUNNING_SECONDS * slowdown
        cost += compute_network_cost(upstream, context)
        cost += source.random() * TIE_BREAK_SECONDS
        costs[upstream.instance] = cost
    if not healthy:
        return None
    placement = _choose_cheapest(
        available, healthy, costs, 'least expected time'
    )
    slowdown = context.get_slowdown(placement.upstream)
    return dataclasses.replace(placement, slowdown=slowdown)


def choose_engine(
    available: list[FleetUpstream],
    generation: Generation,
    cache_scope: str,
    parts: SharedParts,
    context: PlacementContext,
    source: random.Random,
) -> Placement | None:
    """Return the engine with the lowest cost for a generation.

    Requests with a common prefix go to the same few engines, its homes, which
    then have it cached. They go elsewhere only when waiting costs more than
    computing the prefix. Returns None if there is no engine.
    """
    ranked = _rank_homes(available, generation, cache_scope)
    candidates = _select_candidates(ranked, context.now, source)
    if not candidates:
        return None
    prompt = count_prompt_tokens(candidates, generation, cache_scope, parts)
    estimates = {}
    costs = {}
    for rank, upstream in enumerate(candidates):
        estimate = estimate_engine(upstream, rank, prompt, context)
        estimates[upstream.instance] = estimate
        costs[upstream.instance] = compute_engine_cost(
            upstream, rank, prompt, estimate, context
        )
    homes = ranked[:CANDIDATE_HOMES] if _is_large(ranked) else ranked
    placement = _choose_cheapest(homes, candidates, costs, 'home')
    chosen = placement.upstream
    estimate = estimates[chosen.instance]
    return dataclasses.replace(
        placement,
        reason=f'home {candidates.index(chosen)}',
        expected_seconds=estimate.first_token_seconds,
        queue_seconds=estimate.queue_seconds,
        unread_tokens=estimate.unread_tokens,
        queue_tokens=count_queued_tokens(chosen),
        slowdown=context.get_slowdown(chosen),
    )


def _rank_homes(
    available: list[FleetUpstream], generation: Generation, cache_scope: str
) -> list[FleetUpstream]:
    # A prompt without a shared prefix has no home. If all such prompts had the
    # same key, they would go to the same engine until its load is reported.
    prefix = generation.shared or generation.parts
    key = prefix[-1].part_id if prefix else ''
    digest = f'{cache_scope}/{key}'.encode()[:64]
    by_name = {upstream.instance: upstream for upstream in available}
    return [by_name[name] for name in rank_names(digest, list(by_name))]


def _select_candidates(
    ranked: list[FleetUpstream], now: float, source: random.Random
) -> list[FleetUpstream]:
    """Return the candidate engines, the first home first."""
    if not _is_large(ranked):
        return _prefer_healthy(ranked, now)
    homes = _take_healthy(ranked, now, CANDIDATE_HOMES)
    others = [
        upstream
        for upstream in source.sample(ranked, len(ranked) // 2)
        if upstream not in homes
    ]
    others.sort(key=lacks_connection)
    candidates = homes + _take_healthy(others, now, CANDIDATE_OTHERS)
    return candidates or _prefer_healthy(ranked, now)


def _is_large(available: list[FleetUpstream]) -> bool:
    return len(available) > CANDIDATE_HOMES + CANDIDATE_OTHERS


def _take_healthy(
    upstreams: list[FleetUpstream], now: float, count: int
) -> list[FleetUpstream]:
    """Return up to ``count`` healthy upstreams, in order."""
    healthy = (item for item in upstreams if _is_healthy(item, now))
    return list(itertools.islice(healthy, count))


def _choose_cheapest(
    available: list[FleetUpstream],
    healthy: list[FleetUpstream],
    costs: dict[str, float],
    reason: str,
) -> Placement:
    best = min(healthy, key=lambda upstream: costs[upstream.instance])
    ordered = sorted(costs.items(), key=lambda item: item[1])
    avoided = [
        item.instance for item in available if item.instance not in costs
    ]
    return Placement(
        best,
        reason,
        costs[best.instance],
        candidates=tuple(ordered[:MAX_LOGGED_CANDIDATES]),
        avoided=tuple(avoided[:MAX_LOGGED_CANDIDATES]),
    )


def _prefer_healthy(
    available: list[FleetUpstream], now: float
) -> list[FleetUpstream]:
    """Return the healthy upstreams, or the others if there are none.

    Of the others, those whose circuit breaker allows requests are preferred.
    """
    healthy = [
        upstream for upstream in available if _is_healthy(upstream, now)
    ]
    return (
        healthy
        or [item for item in available if item.breaker.allows(now)]
        or available
    )


def _is_healthy(upstream: FleetUpstream, now: float) -> bool:
    return upstream.breaker.allows(now) and not upstream.seems_down(now)
