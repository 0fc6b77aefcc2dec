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

"""Chooses the upstream that a request is sent to."""

import dataclasses
import itertools
import random

from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.policy.engine_costs import count_queue
from lifttrestle.internal.fleet.policy.engine_costs import lacks_connection
from lifttrestle.internal.fleet.policy.engine_costs import look_ahead
from lifttrestle.internal.fleet.policy.engine_costs import measure_prompt
from lifttrestle.internal.fleet.policy.engine_costs import PlacementContext
from lifttrestle.internal.fleet.policy.engine_costs import weigh_engine
from lifttrestle.internal.fleet.policy.engine_costs import weigh_way
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.routing.rendezvous import rank_names

# Spreads requests over upstreams that are as good as each other.
TIE_SECONDS = 0.002
# Engines that are weighed: a few homes, so that the loss of some and a load
# there leave one, and some others drawn at random. To weigh all of 60 took
# 1.1 ms of processor time a choice, and all of 600 11 ms; these take 0.3 ms
# and 1.7 ms (benchmarks/decisions.py). Routers that hear the same sums would
# send to the same least loaded engine until the next one: with 195 routers
# before 59 engines at 0.75 of what they can read 0.947 of the callers are in
# time with eight others, 0.974 with four, 0.981 with two (played load).
CONSIDERED_HOMES = 4
CONSIDERED_OTHERS = 4
# Candidates that the log tells of.
MAX_TOLD = 5
# A running request of a plain service holds one of few slots.
PLAIN_RUNNING_SECONDS = 0.03


@dataclasses.dataclass(frozen=True)
class Placement:
    """An upstream and why it was chosen, for the log.

    :ivar expected_seconds: until the first piece of the answer.
    :ivar queue_seconds: of these, until its own prompt is read.
    :ivar unread_tokens: of the prompt, to be computed there.
    :ivar queue_tokens: to be computed there before them.
    :ivar candidates: the best few instances with their costs in seconds.
    :ivar avoided: some instances that were left out for signs of trouble.
    """

    upstream: FleetUpstream
    reason: str
    expected_seconds: float
    queue_seconds: float = 0.0
    unread_tokens: int = 0
    queue_tokens: int = 0
    candidates: tuple[tuple[str, float], ...] = ()
    avoided: tuple[str, ...] = ()


def choose_plain(
    fit: list[FleetUpstream], around: PlacementContext, source: random.Random
) -> Placement | None:
    """Return the upstream of a plain service that should answer first."""
    costs = {}
    sound = _prefer_sound(fit, around.now)
    for upstream in sound:
        cost = upstream.first_byte_seconds
        cost += upstream.in_flight * PLAIN_RUNNING_SECONDS
        cost += weigh_way(upstream, around)
        cost += source.random() * TIE_SECONDS
        costs[upstream.instance] = cost
    if not sound:
        return None
    return _take_least(fit, sound, costs, 'least expected time')


def choose_engine(
    fit: list[FleetUpstream],
    generation: Generation,
    wall: str,
    parts: SharedParts,
    around: PlacementContext,
    source: random.Random,
) -> Placement | None:
    """Return the engine that should begin the generation first.

    Requests that share a part go to the same few engines, which then hold
    it; load moves them away only when waiting costs more than reading.
    """
    ranked = _rank_homes(fit, generation, wall)
    considered = _list_considered(ranked, around.now, source)
    if not considered:
        return None
    prompt = measure_prompt(considered, generation, wall, parts)
    outlooks = {}
    costs = {}
    for rank, upstream in enumerate(considered):
        outlook = look_ahead(upstream, rank, prompt, around)
        outlooks[upstream.instance] = outlook
        costs[upstream.instance] = weigh_engine(
            upstream, rank, prompt, outlook, around
        )
    homes = ranked[:CONSIDERED_HOMES] if _is_large(ranked) else ranked
    placement = _take_least(homes, considered, costs, 'home')
    chosen = placement.upstream
    outlook = outlooks[chosen.instance]
    return dataclasses.replace(
        placement,
        reason=f'home {considered.index(chosen)}',
        expected_seconds=outlook.first_piece_seconds,
        queue_seconds=outlook.queue_seconds,
        unread_tokens=outlook.unread_tokens,
        queue_tokens=count_queue(chosen),
    )


def _rank_homes(
    fit: list[FleetUpstream], generation: Generation, wall: str
) -> list[FleetUpstream]:
    # A prompt that shares nothing has no home; ranked alike, all such prompts
    # went to the same engine until news of its load came round.
    named = generation.shared or generation.parts
    key = named[-1].part_id if named else ''
    digest = f'{wall}/{key}'.encode()[:64]
    by_name = {upstream.instance: upstream for upstream in fit}
    return [by_name[name] for name in rank_names(digest, list(by_name))]


def _list_considered(
    ranked: list[FleetUpstream], now: float, source: random.Random
) -> list[FleetUpstream]:
    """Return the engines that are weighed, the best home first."""
    if not _is_large(ranked):
        return _prefer_sound(ranked, now)
    homes = _take_sound(ranked, now, CONSIDERED_HOMES)
    others = [
        upstream
        for upstream in source.sample(ranked, len(ranked) // 2)
        if upstream not in homes
    ]
    others.sort(key=lacks_connection)
    considered = homes + _take_sound(others, now, CONSIDERED_OTHERS)
    return considered or _prefer_sound(ranked, now)


def _is_large(fit: list[FleetUpstream]) -> bool:
    return len(fit) > CONSIDERED_HOMES + CONSIDERED_OTHERS


def _take_sound(
    upstreams: list[FleetUpstream], now: float, count: int
) -> list[FleetUpstream]:
    """Return the first few without signs of trouble."""
    sound = (item for item in upstreams if _is_sound(item, now))
    return list(itertools.islice(sound, count))


def _take_least(
    fit: list[FleetUpstream],
    sound: list[FleetUpstream],
    costs: dict[str, float],
    reason: str,
) -> Placement:
    best = min(sound, key=lambda upstream: costs[upstream.instance])
    ordered = sorted(costs.items(), key=lambda item: item[1])
    avoided = [item.instance for item in fit if item.instance not in costs]
    return Placement(
        best,
        reason,
        costs[best.instance],
        candidates=tuple(ordered[:MAX_TOLD]),
        avoided=tuple(avoided[:MAX_TOLD]),
    )


def _prefer_sound(fit: list[FleetUpstream], now: float) -> list[FleetUpstream]:
    """Return the upstreams without signs of trouble, or those with."""
    sound = [upstream for upstream in fit if _is_sound(upstream, now)]
    return sound or [item for item in fit if item.breaker.allows(now)] or fit


def _is_sound(upstream: FleetUpstream, now: float) -> bool:
    return upstream.breaker.allows(now) and not upstream.is_doubtful(now)
