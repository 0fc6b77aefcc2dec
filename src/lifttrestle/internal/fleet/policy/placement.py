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
        cost += _weigh_distance(upstream, around)
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
) -> Placement | None:
    """Return the engine that should begin the generation first.

    Requests that share a part go to the same few engines, which then hold
    it; load moves them away only when waiting costs more than reading.
    """
    sound = _prefer_sound(fit, around.now)
    if not sound:
        return None
    ranks = _rank_homes(sound, generation, wall)
    unknown = _count_unknown(sound, generation, wall, parts)
    outlooks = {}
    for upstream in sound:
        rank = ranks[upstream.instance]
        version = upstream.weights.get(generation.model, 0)
        unread = _expect_unread(
            generation, rank, unknown[version], around.fetch_share
        )
        queue = _expect_queue(upstream, around)
        outlooks[upstream.instance] = Outlook(
            unread,
            queue,
            queue + unread * around.read_seconds + FIRST_STEP_SECONDS,
        )
    costs = {
        upstream.instance: _weigh_engine(
            upstream,
            generation,
            ranks[upstream.instance],
            outlooks[upstream.instance],
            around,
        )
        for upstream in sound
    }
    least = min(costs, key=costs.__getitem__)
    placement = _take_least(fit, sound, costs, f'home {ranks[least]}')
    outlook = outlooks[least]
    return dataclasses.replace(
        placement,
        expected_seconds=outlook.first_piece_seconds,
        queue_seconds=outlook.queue_seconds,
        unread_tokens=outlook.unread_tokens,
        queue_tokens=_count_queue(placement.upstream),
    )


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
    sound = [
        upstream
        for upstream in fit
        if upstream.breaker.allows(now) and not upstream.is_doubtful(now)
    ]
    return sound or [item for item in fit if item.breaker.allows(now)] or fit


def _rank_homes(
    sound: list[FleetUpstream], generation: Generation, wall: str
) -> dict[str, int]:
    shared = generation.shared
    key = shared[-1].part_id if shared else ''
    digest = f'{wall}/{key}'.encode()[:64]
    names = rank_names(digest, [upstream.instance for upstream in sound])
    return {name: rank for rank, name in enumerate(names)}


def _count_unknown(
    sound: list[FleetUpstream],
    generation: Generation,
    wall: str,
    parts: SharedParts,
) -> dict[int, int]:
    """Return by version of the weights what no engine has read yet."""
    model = generation.model
    versions = {upstream.weights.get(model, 0) for upstream in sound}
    return {
        version: parts.count_unknown(
            build_salt(wall, model, version), generation.shared
        )
        for version in versions
    }


def _expect_unread(
    generation: Generation, rank: int, unknown: int, fetch_share: float
) -> int:
    """Return the tokens that an engine has to read, or their like."""
    known = sum(part.tokens for part in generation.shared) - unknown
    fetched = known * _get_miss(rank) * fetch_share
    return generation.own_tokens + unknown + round(fetched)


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
    generation: Generation,
    rank: int,
    outlook: Outlook,
    around: Surroundings,
) -> float:
    shared = sum(part.tokens for part in generation.shared)
    cost = outlook.first_piece_seconds
    cost += _get_miss(rank) * shared * around.read_seconds
    running = upstream.in_flight + upstream.peers_in_flight
    cost += running * RUNNING_SECONDS
    if around.slots:
        cost += max(running + 1 - around.slots, 0) * SLOT_SECONDS
    cost += _weigh_distance(upstream, around)
    held = upstream.weights.get(generation.model, 0)
    if held < around.wanted_version:
        cost += OLD_WEIGHTS_SECONDS
    return cost


def _weigh_distance(upstream: FleetUpstream, around: Surroundings) -> float:
    if upstream.entry.data_centre == around.data_centre:
        return 0.0
    return OTHER_DATA_CENTRE_SECONDS
