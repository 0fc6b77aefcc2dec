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

"""The measurements of a replay."""

import dataclasses

import msgspec


class Figures(msgspec.Struct, frozen=True):
    """Results of one policy on one trace under one fault.

    :ivar hit_rate: fraction of the prompt tokens that were cached.
    :ivar ideal_hit_rate: hit rate of a single engine with the cache capacity
        of all engines.
    :ivar first_p50: median time to the first token in seconds; ``first_p99``
        and ``first_p999`` are further percentiles.
    :ivar wasted_tokens: prompt tokens that were recomputed although another
        engine had them cached.
    :ivar spread: requests of the most loaded engine, relative to the mean.
    """

    policy: str
    fault: str
    requests: int
    prompt_tokens: int
    hit_rate: float
    ideal_hit_rate: float
    first_p50: float
    first_p99: float
    first_p999: float
    wasted_tokens: int
    spread: float


@dataclasses.dataclass
class Totals:
    """Values that a replay accumulates.

    :ivar first_token_seconds: times to the first token of all requests.
    """

    first_token_seconds: list[float] = dataclasses.field(default_factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    ideal_tokens: int = 0
    wasted_tokens: int = 0


def get_quantile(ordered: list[float], fraction: float) -> float:
    """Return the value below which ``fraction`` of the sorted values lie."""
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
