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

"""Estimates of queueing and prefill at engines, and their costs in seconds."""

from collections.abc import Mapping
import dataclasses

from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.policy.load_view import EngineCondition
from lifttrestle.internal.fleet.state.engine_pace import FIRST_STEP_SECONDS
from lifttrestle.internal.fleet.state.engine_pace import PRIOR_PREFILL_SECONDS
from lifttrestle.internal.fleet.state.shared_parts import build_salt
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.fleet.state.upstream import FleetUpstream

# Requests with a shared prefix prefer its homes: the first engines in the
# order in which rendezvous hashing ranks the engines for the prefix. Number of
# homes besides the first one that usually have the prefix cached.
EXTRA_HOMES = 2
# Approximate slowdown that a running request causes to the others on its
# engine.
RUNNING_REQUEST_SECONDS = 0.012
# Time to fetch a prefix that another engine has computed, as a fraction of
# the time to compute it, if the configuration has no link speed.
DEFAULT_FETCH_SHARE = 0.35
# Expected wait for a slot, per queued request: requests run for 0.1 to 1 s,
# and an engine with few slots completes about ten a second.
SLOT_WAIT_SECONDS = 0.15
# Cost of another data centre: a few ms of latency, and billed traffic.
OTHER_DATA_CENTRE_SECONDS = 0.004
# Penalty of answering with weights that are not the newest.
OLD_WEIGHTS_PENALTY_SECONDS = 0.05
# Cost of opening a connection: a network round trip and the work of the
# upstream. A router of a large fleet uses each of 65 upstreams about once in
# half a minute, so requests without a home go to an upstream with an idle
# connection. Well below the prefill time of a shared prefix of 600 tokens.
NEW_CONNECTION_SECONDS = 0.01
# An upstream of which nothing is known.
USUAL_CONDITION = EngineCondition()
# Engines without a queue begin to answer within this time. A request that has
# waited longer shows that there is a queue, and how long it is.
NORMAL_WAIT_SECONDS = 0.15


@dataclasses.dataclass(frozen=True)
class EngineEstimate:
    """Expected work and latency of a generation at an engine.

    :ivar unread_tokens: prompt tokens that the engine has to compute.
    :ivar queue_seconds: time until prefill of the prompt begins.
    :ivar first_token_seconds: time to first token.
    """

    unread_tokens: int
    queue_seconds: float
    first_token_seconds: float


@dataclasses.dataclass(frozen=True)
class PromptTokens:
    """Token counts of a prompt that do not depend on the engine.

    :ivar own_tokens: tokens that no other request shares.
    :ivar shared_tokens: tokens of the shared prefix.
    :ivar unknown_tokens: shared tokens that no engine is known to have
        computed, by version of the weights.
    """

    model: str
    own_tokens: int
    shared_tokens: int
    unknown_tokens: dict[int, int]


@dataclasses.dataclass(frozen=True)
class PlacementContext:
    """Inputs of a placement decision other than the request and engines.

    :ivar now: monotonic time in seconds.
    :ivar data_centre: data centre of this router.
    :ivar target_version: newest version of the weights of the model.
    :ivar urgency: of the request; 0 is the most urgent.
    :ivar slots: maximum number of concurrent requests per engine, zero if
        unknown.
    :ivar prefill_seconds: prefill time per token.
    :ivar fetch_seconds: time to fetch the cache of one token, None if
        unknown.
    :ivar conditions: what is known of upstreams, by their start.
    """

    now: float
    data_centre: str
    target_version: int
    urgency: int = 0
    slots: int = 0
    prefill_seconds: float = PRIOR_PREFILL_SECONDS
    fetch_seconds: float | None = None
    conditions: Mapping[str, EngineCondition] = dataclasses.field(
        default_factory=dict
    )

    @property
    def fetch_share(self) -> float:
        """Return the fetch time as a fraction of the prefill time."""
        if self.fetch_seconds is None:
            return DEFAULT_FETCH_SHARE
        return min(self.fetch_seconds / self.prefill_seconds, 1.0)

    def get_slowdown(self, upstream: FleetUpstream) -> float:
        """Return the factor by which an upstream is slower than usual."""
        return self.conditions.get(upstream.start, USUAL_CONDITION).slowdown


def lacks_connection(upstream: FleetUpstream) -> bool:
    """Return whether the upstream has no idle connection to reuse."""
    return not upstream.pool.has_idle


def count_prompt_tokens(
    considered: list[FleetUpstream],
    generation: Generation,
    cache_scope: str,
    parts: SharedParts,
) -> PromptTokens:
    """Return the token counts of a prompt.

    :param considered: the candidate engines.
    :param cache_scope: scope within which the request shares cached
        prefixes.
    """
    model = generation.model
    shared = generation.shared
    versions = {upstream.weights.get(model, 0) for upstream in considered}
    return PromptTokens(
        model=model,
        own_tokens=generation.own_tokens,
        shared_tokens=sum(part.tokens for part in shared),
        unknown_tokens={
            version: parts.count_unknown_tokens(
                build_salt(cache_scope, model, version), shared
            )
            for version in versions
        },
    )


def estimate_engine(
    upstream: FleetUpstream,
    rank: int,
    prompt: PromptTokens,
    context: PlacementContext,
) -> EngineEstimate:
    """Return the expected work and latency of a generation at an engine.

    :param rank: position of the engine among the homes of the prefix.
    """
    unknown = prompt.unknown_tokens[upstream.weights.get(prompt.model, 0)]
    known = prompt.shared_tokens - unknown
    fetched = known * _get_miss_probability(rank) * context.fetch_share
    unread = prompt.own_tokens + unknown + round(fetched)
    queue = _estimate_queue_seconds(upstream, context)
    slowdown = context.get_slowdown(upstream)
    prefill = unread * context.prefill_seconds * slowdown
    first_step = FIRST_STEP_SECONDS * slowdown
    return EngineEstimate(unread, queue, queue + prefill + first_step)


def _get_miss_probability(rank: int) -> float:
    """Return the probability that an engine has not cached a prefix."""
    return min(rank, EXTRA_HOMES) / EXTRA_HOMES


def _estimate_queue_seconds(
    upstream: FleetUpstream, context: PlacementContext
) -> float:
    queue = count_queued_tokens(upstream) * context.prefill_seconds
    queue *= context.get_slowdown(upstream)
    waited = upstream.get_oldest_wait(context.now, context.urgency)
    # The estimate is too low if the oldest request has waited longer already.
    return max(queue, waited - NORMAL_WAIT_SECONDS)


def count_queued_tokens(upstream: FleetUpstream) -> int:
    """Return the tokens that an engine has yet to compute for all routers."""
    return upstream.unread_tokens + upstream.peers_unread


def compute_engine_cost(
    upstream: FleetUpstream,
    rank: int,
    prompt: PromptTokens,
    estimate: EngineEstimate,
    context: PlacementContext,
) -> float:
    """Return the cost of a generation at an engine, in seconds.

    The cost is the time to first token plus the delay of other requests and
    penalties for a distant engine, a new connection and old weights.
    """
    slowdown = context.get_slowdown(upstream)
    cost = estimate.first_token_seconds
    cost += (
        _get_miss_probability(rank)
        * prompt.shared_tokens
        * context.prefill_seconds
        * slowdown
    )
    running = upstream.in_flight + upstream.peers_in_flight
    cost += running * RUNNING_REQUEST_SECONDS * slowdown
    if context.slots:
        cost += max(running + 1 - context.slots, 0) * SLOT_WAIT_SECONDS
    cost += compute_network_cost(upstream, context)
    loaded = upstream.weights.get(prompt.model, 0)
    if loaded < context.target_version:
        cost += OLD_WEIGHTS_PENALTY_SECONDS
    return cost


def compute_network_cost(
    upstream: FleetUpstream, context: PlacementContext
) -> float:
    """Return the cost of reaching an upstream, in seconds."""
    cost = 0.0
    if upstream.entry.data_centre != context.data_centre:
        cost += OTHER_DATA_CENTRE_SECONDS
    if lacks_connection(upstream):
        cost += NEW_CONNECTION_SECONDS
    return cost
