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
from lifttrestle.internal.fleet.state.engine_pace import FIRST_STEP_SECONDS
from lifttrestle.internal.fleet.state.engine_pace import PRIOR_READ_SECONDS
from lifttrestle.internal.fleet.state.shared_parts import build_salt
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.routing.rendezvous import rank_names

# Engines beside the first home that keep a shared part too.
HOMES = 2
# A running request slows the others on its engine by about this much.
RUNNING_SECONDS = 0.012
# Of a part that another engine has read, what fetching it costs of the time
# to compute it, where the configuration tells no pace of links.
USUAL_FETCH_SHARE = 0.35
# What waits for a slot waits for about this long for each request before it:
# runs take 0.1 to 1 s, and an engine with few slots ends some ten a second.
SLOT_SECONDS = 0.15
# A request sent to another data centre: a few ms, and its bytes are priced.
OTHER_DATA_CENTRE_SECONDS = 0.004
# What it is worth to answer by the newest weights.
OLD_WEIGHTS_SECONDS = 0.05
# Spreads requests over upstreams that are as good as each other.
TIE_SECONDS = 0.002
# Engines that are weighed: a few homes, so that the loss of some and a load
# there leave one, and some others drawn at random. To weigh all of 60 took
# 1.0 ms of processor time a choice, and all of 600 8 ms; these take 0.3 ms
# and 1.0 ms (benchmarks/decisions.py). Routers that hear the same sums would
# send to the same least loaded engine until the next one: with 195 routers
# before 59 engines at 0.75 of what they can read 0.947 of the callers are in
# time with eight others, 0.974 with four, 0.981 with two (played load).
CONSIDERED_HOMES = 4
CONSIDERED_OTHERS = 4
# An upstream without a kept connection: two ways of the network and its own
# work for the new one. In a large fleet a router has each of 65 upstreams
# asked once in half a minute; what has no home there goes where a connection
# is kept. Well below what reading a shared part of 600 tokens takes.
NEW_CONNECTION_SECONDS = 0.01
# Candidates that the log tells of.
MAX_TOLD = 5
# Engines begin to answer within this time while nothing waits; a request that
# has waited longer tells how long the queue is.
USUAL_WAIT_SECONDS = 0.15
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


@dataclasses.dataclass(frozen=True)
class Outlook:
    """What a generation would meet at an engine.

    :ivar unread_tokens: of its prompt, that have to be computed there.
    :ivar queue_seconds: until its own prompt's turn.
    :ivar first_piece_seconds: until its first piece.
    """

    unread_tokens: int
    queue_seconds: float
    first_piece_seconds: float


@dataclasses.dataclass(frozen=True)
class PromptMeasure:
    """What of a prompt has to be read, for all engines alike.

    :ivar own_tokens: that no other request shares.
    :ivar unknown_tokens: of the shared ones, those that no engine is known
        to have read, by the version of the weights.
    """

    model: str
    own_tokens: int
    shared_tokens: int
    unknown_tokens: dict[int, int]


@dataclasses.dataclass(frozen=True)
class Surroundings:
    """What the choice depends on beside the request.

    :ivar now: monotonic time in seconds.
    :ivar data_centre: the router's own.
    :ivar wanted_version: the newest weights of the request's model.
    :ivar urgency: of the request; 0 is first.
    :ivar slots: requests that one engine runs at once, zero if not known.
    :ivar read_seconds: that engines take to compute a token of a prompt.
    :ivar fetch_seconds: that they take to fetch one, None if not known.
    """

    now: float
    data_centre: str
    wanted_version: int
    urgency: int = 0
    slots: int = 0
    read_seconds: float = PRIOR_READ_SECONDS
    fetch_seconds: float | None = None

    @property
    def fetch_share(self) -> float:
        """Return what fetching a token costs of the time to compute it."""
        if self.fetch_seconds is None:
            return USUAL_FETCH_SHARE
        return min(self.fetch_seconds / self.read_seconds, 1.0)


def choose_plain(
    fit: list[FleetUpstream], around: Surroundings, source: random.Random
) -> Placement | None:
    """Return the upstream of a plain service that should answer first."""
    costs = {}
    sound = _prefer_sound(fit, around.now)
    for upstream in sound:
        cost = upstream.first_byte_seconds
        cost += upstream.in_flight * PLAIN_RUNNING_SECONDS
        cost += _weigh_way(upstream, around)
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
    around: Surroundings,
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
    prompt = _measure_prompt(considered, generation, wall, parts)
    outlooks = {}
    costs = {}
    for rank, upstream in enumerate(considered):
        outlook = _look_ahead(upstream, rank, prompt, around)
        outlooks[upstream.instance] = outlook
        costs[upstream.instance] = _weigh_engine(
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
        queue_tokens=_count_queue(chosen),
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
    others.sort(key=_lacks_connection)
    considered = homes + _take_sound(others, now, CONSIDERED_OTHERS)
    return considered or _prefer_sound(ranked, now)


def _lacks_connection(upstream: FleetUpstream) -> bool:
    return not upstream.pool.has_kept


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


def _measure_prompt(
    considered: list[FleetUpstream],
    generation: Generation,
    wall: str,
    parts: SharedParts,
) -> PromptMeasure:
    model = generation.model
    shared = generation.shared
    versions = {upstream.weights.get(model, 0) for upstream in considered}
    return PromptMeasure(
        model=model,
        own_tokens=generation.own_tokens,
        shared_tokens=sum(part.tokens for part in shared),
        unknown_tokens={
            version: parts.count_unknown(
                build_salt(wall, model, version), shared
            )
            for version in versions
        },
    )


def _look_ahead(
    upstream: FleetUpstream,
    rank: int,
    prompt: PromptMeasure,
    around: Surroundings,
) -> Outlook:
    """Return what a generation would meet at an engine."""
    unknown = prompt.unknown_tokens[upstream.weights.get(prompt.model, 0)]
    known = prompt.shared_tokens - unknown
    fetched = known * _get_miss(rank) * around.fetch_share
    unread = prompt.own_tokens + unknown + round(fetched)
    queue = _expect_queue(upstream, around)
    reading = unread * around.read_seconds
    return Outlook(unread, queue, queue + reading + FIRST_STEP_SECONDS)


def _get_miss(rank: int) -> float:
    """Return how likely an engine lacks a part that has homes elsewhere."""
    return min(rank, HOMES) / HOMES


def _expect_queue(upstream: FleetUpstream, around: Surroundings) -> float:
    queue = _count_queue(upstream) * around.read_seconds
    waited = upstream.get_oldest_wait(around.now, around.urgency)
    # The estimate is wrong where the oldest has waited longer already.
    return max(queue, waited - USUAL_WAIT_SECONDS)


def _count_queue(upstream: FleetUpstream) -> int:
    return upstream.unread_tokens + upstream.peers_unread


def _weigh_engine(
    upstream: FleetUpstream,
    rank: int,
    prompt: PromptMeasure,
    outlook: Outlook,
    around: Surroundings,
) -> float:
    cost = outlook.first_piece_seconds
    cost += _get_miss(rank) * prompt.shared_tokens * around.read_seconds
    running = upstream.in_flight + upstream.peers_in_flight
    cost += running * RUNNING_SECONDS
    if around.slots:
        cost += max(running + 1 - around.slots, 0) * SLOT_SECONDS
    cost += _weigh_way(upstream, around)
    held = upstream.weights.get(prompt.model, 0)
    if held < around.wanted_version:
        cost += OLD_WEIGHTS_SECONDS
    return cost


def _weigh_way(upstream: FleetUpstream, around: Surroundings) -> float:
    """Return what it costs to reach an upstream."""
    cost = 0.0
    if upstream.entry.data_centre != around.data_centre:
        cost += OTHER_DATA_CENTRE_SECONDS
    if _lacks_connection(upstream):
        cost += NEW_CONNECTION_SECONDS
    return cost
