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

"""Fair shares of the engine time of a fleet between workspaces.

Shares are weighted max-min fair: what a workspace does not ask for goes to
those that ask for more, in proportion to their weights. All times are seconds
of engine time per second.
"""

from collections.abc import Collection
import dataclasses
import math

from lifttrestle.internal.fleet.policy.load_view import WorkspaceStanding
from lifttrestle.internal.fleet.state.engine_pace import FIRST_STEP_SECONDS

# Time constant of the averages of engine time.
AVERAGING_SECONDS = 2.0
# Duration of one step of an engine. The time to first token without prefill
# is two steps.
STEP_SECONDS = FIRST_STEP_SECONDS / 2
# A workspace is over its share only if it asks for more than this multiple of
# the share: averages over 2 s fluctuate by a fifth for 24 requests a second of
# one workspace.
DEMAND_TOLERANCE = 1.5
MIN_RETRY_SECONDS = 0.4
MAX_RETRY_SECONDS = 2.0
# Relative error of sums of floating-point numbers that is no excess.
ROUNDING_ERROR = 1e-9


@dataclasses.dataclass(frozen=True)
class WorkspaceDemand:
    """Engine time of a workspace at all routers together.

    :ivar weight: weight of its share, above zero.
    :ivar asked_seconds: engine time of the requests that arrived.
    :ivar used_seconds: engine time of the requests that were sent.
    """

    weight: float
    asked_seconds: float
    used_seconds: float

    @property
    def wanted_seconds(self) -> float:
        """Return the asked time, with repeated sends where they are more."""
        return max(self.asked_seconds, self.used_seconds)


def estimate_cost(
    unread_tokens: int, prefill_seconds: float, output_tokens: int, slots: int
) -> float:
    """Return the engine time of a request in seconds.

    A step generates one token for each of the running requests, so a request
    is charged with its part of a step of a fully used engine.

    :param unread_tokens: prompt tokens that the engine has to compute.
    :param prefill_seconds: prefill time per token.
    :param output_tokens: tokens that it is expected to generate.
    :param slots: requests that an engine runs at the same time.
    """
    prefill = unread_tokens * prefill_seconds
    return prefill + max(output_tokens, 0) * STEP_SECONDS / max(slots, 1)


def compute_level(demands: Collection[WorkspaceDemand]) -> float:
    """Return the share of engine time for each unit of weight.

    It is infinite if all of the wanted time is used, and otherwise solves
    ``sum(min(wanted, level * weight)) == sum(used)``.
    """
    ordered = sorted(
        demands, key=lambda demand: demand.wanted_seconds / demand.weight
    )
    rest = math.fsum(demand.used_seconds for demand in ordered)
    weights = math.fsum(demand.weight for demand in ordered)
    for demand in ordered:
        if demand.wanted_seconds * weights > rest * demand.weight * (
            1.0 + ROUNDING_ERROR
        ):
            return max(rest, 0.0) / weights
        rest -= demand.wanted_seconds
        weights -= demand.weight
    return math.inf


def find_level(demands: Collection[WorkspaceDemand]) -> float:
    """Return the level of the shares, infinite for a single workspace.

    To limit the only workspace with demand would benefit no other.
    """
    return compute_level(demands) if len(demands) > 1 else math.inf


def judge_standing(
    own: WorkspaceDemand, level: float, cost_seconds: float
) -> WorkspaceStanding:
    """Return the standing that a workspace has if a request is sent.

    The request counts as used, as what is left by the others is exactly what a
    workspace with unmet demand has used: without it, that workspace would be
    over its share only after requests of the others were refused.

    :param own: its demand.
    :param level: share of engine time for each unit of weight.
    :param cost_seconds: engine time of the request, in seconds.
    """
    used = own.used_seconds + cost_seconds / AVERAGING_SECONDS
    share = level * own.weight
    if own.asked_seconds <= DEMAND_TOLERANCE * share:
        share = max(share, used)
    return WorkspaceStanding(own.asked_seconds, used, share)


def compute_retry_seconds(standing: WorkspaceStanding) -> float:
    """Return after which time the average use is back at the share.

    The average decays exponentially while nothing is sent.
    """
    if standing.share_seconds <= 0:
        return MAX_RETRY_SECONDS
    excess = standing.used_seconds / standing.share_seconds
    seconds = AVERAGING_SECONDS * math.log(max(excess, 1.0))
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
