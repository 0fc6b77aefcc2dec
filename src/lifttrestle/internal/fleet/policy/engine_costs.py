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

"""What a request would meet at an upstream, and what that costs in seconds."""

import dataclasses

from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.state.engine_pace import FIRST_STEP_SECONDS
from lifttrestle.internal.fleet.state.engine_pace import PRIOR_READ_SECONDS
from lifttrestle.internal.fleet.state.shared_parts import build_salt
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.fleet.state.upstream import FleetUpstream

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
# An upstream without a kept connection: two ways of the network and its own
# work for the new one. In a large fleet a router has each of 65 upstreams
# asked once in half a minute; what has no home there goes where a connection
# is kept. Well below what reading a shared part of 600 tokens takes.
NEW_CONNECTION_SECONDS = 0.01
# Engines begin to answer within this time while nothing waits; a request that
# has waited longer tells how long the queue is.
USUAL_WAIT_SECONDS = 0.15


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
class PlacementContext:
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


def lacks_connection(upstream: FleetUpstream) -> bool:
    """Return whether a connection has to be opened first."""
    return not upstream.pool.has_kept


def measure_prompt(
    considered: list[FleetUpstream],
    generation: Generation,
    wall: str,
    parts: SharedParts,
) -> PromptMeasure:
    """Return what of a prompt has to be read.

    :param considered: the engines that are weighed.
    :param wall: the name under which the request shares cached context.
    """
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


def look_ahead(
    upstream: FleetUpstream,
    rank: int,
    prompt: PromptMeasure,
    around: PlacementContext,
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


def _expect_queue(upstream: FleetUpstream, around: PlacementContext) -> float:
    queue = count_queue(upstream) * around.read_seconds
    waited = upstream.get_oldest_wait(around.now, around.urgency)
    # The estimate is wrong where the oldest has waited longer already.
    return max(queue, waited - USUAL_WAIT_SECONDS)


def count_queue(upstream: FleetUpstream) -> int:
    """Return the tokens that an engine has yet to read for all routers."""
    return upstream.unread_tokens + upstream.peers_unread


def weigh_engine(
    upstream: FleetUpstream,
    rank: int,
    prompt: PromptMeasure,
    outlook: Outlook,
    around: PlacementContext,
) -> float:
    """Return what it costs to begin a generation at an engine, in seconds.

    Beside the time to its first piece: what others pay for it.
    """
    cost = outlook.first_piece_seconds
    cost += _get_miss(rank) * prompt.shared_tokens * around.read_seconds
    running = upstream.in_flight + upstream.peers_in_flight
    cost += running * RUNNING_SECONDS
    if around.slots:
        cost += max(running + 1 - around.slots, 0) * SLOT_SECONDS
    cost += weigh_way(upstream, around)
    held = upstream.weights.get(prompt.model, 0)
    if held < around.wanted_version:
        cost += OLD_WEIGHTS_SECONDS
    return cost


def weigh_way(upstream: FleetUpstream, around: PlacementContext) -> float:
    """Return what it costs to reach an upstream."""
    cost = 0.0
    if upstream.entry.data_centre != around.data_centre:
        cost += OTHER_DATA_CENTRE_SECONDS
    if lacks_connection(upstream):
        cost += NEW_CONNECTION_SECONDS
    return cost
