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

"""A cost model of an inference engine: prefix cache, prefill and slots.

Prompts are prefilled one after the other. Decoding occupies a slot and takes
the same time for each token. The model has no network and no membership.
"""

import collections
import dataclasses
import heapq

from lifttrestle.internal.replay.request import TraceRequest


@dataclasses.dataclass(frozen=True)
class EngineCosts:
    """Parameters of the cost model, calibrated against the engine stand-in."""

    cache_tokens: int = 40_000
    slots: int = 32
    prefill_tokens_per_second: float = 8000.0
    decode_seconds: float = 0.01


@dataclasses.dataclass(frozen=True)
class ServeResult:
    """When a request was answered and how much of its prompt was cached.

    :ivar first_token_at: time of the first output token, in seconds.
    :ivar last_token_at: time of the last output token, in seconds.
    :ivar cached_tokens: prompt tokens found in the prefix cache.
    """

    first_token_at: float
    last_token_at: float
    cached_tokens: int


class PrefixCache:
    """An LRU cache of prefix levels.

    :param capacity: maximum number of cached tokens.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._used = 0
        self._levels: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def count_cached(self, request: TraceRequest) -> int:
        """Return how many tokens of the prompt are cached."""
        cached = 0
        for digest, tokens in request.levels:
            if digest not in self._levels:
                break
            cached = tokens
        return cached

    def admit(self, request: TraceRequest) -> list[str]:
        """Cache the prompt and return the digests of the evicted levels."""
        lengths = []
        offset = 0
        for digest, tokens in request.levels:
            lengths.append((digest, tokens - offset))
            offset = tokens
        # The rest of the prompt is unique, but it also occupies the cache.
        unique_key = f'{request.at} {request.workspace}'
        lengths.append((unique_key, request.tokens - offset))
        for digest, length in reversed(lengths):
            if digest not in self._levels:
                self._levels[digest] = length
                self._used += length
            self._levels.move_to_end(digest)
        return self._evict()

    def _evict(self) -> list[str]:
        evicted = []
        while self._used > self._capacity and len(self._levels) > 1:
            digest, length = self._levels.popitem(last=False)
            self._used -= length
            evicted.append(digest)
        return evicted


class ReplayEngine:
    """A simulated engine; it must receive requests in order of their times."""

    def __init__(self, name: str, costs: EngineCosts) -> None:
        self.name = name
        self.costs = costs
        self.incarnation = 0
        self.alive = True
        self.served = 0
        self.cache = PrefixCache(costs.cache_tokens)
        self._prefill_free_at = 0.0
        self._slot_ends: list[float] = []

    def serve(self, request: TraceRequest, now: float) -> ServeResult:
        """Process a request that arrives at ``now`` and return its result."""
        self.served += 1
        while self._slot_ends and self._slot_ends[0] <= now:
            heapq.heappop(self._slot_ends)
        start = now
        if len(self._slot_ends) >= self.costs.slots:
            start = heapq.heappop(self._slot_ends)
        start = max(start, self._prefill_free_at)
        cached = self.cache.count_cached(request)
        self.cache.admit(request)
        uncached = request.tokens - cached
        first = start + uncached / self.costs.prefill_tokens_per_second
        self._prefill_free_at = first
        first += self.costs.decode_seconds
        last = first + (request.output_tokens - 1) * self.costs.decode_seconds
        heapq.heappush(self._slot_ends, last)
        return ServeResult(first, last, cached)

    def count_load(self, now: float) -> int:
        """Return the number of running and queued requests."""
        return sum(end > now for end in self._slot_ends)

    def crash(self) -> None:
        """Drop the cache, free all slots and restart without delay."""
        self.incarnation += 1
        self.cache = PrefixCache(self.costs.cache_tokens)
        self._slot_ends.clear()
        self._prefill_free_at = 0.0
