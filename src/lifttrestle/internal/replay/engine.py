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

"""A small cost model of an engine: a bounded cache, prefill, slots.

Prefill is the engine's one compute resource and is done in turn; decoding
holds a slot at a steady pace. There is no network and no membership in it.
"""

import collections
import dataclasses
import heapq

from lifttrestle.internal.replay.request import TraceRequest


@dataclasses.dataclass(frozen=True)
class EngineCosts:
    """The constants of the model, calibrated against the stand-in."""

    cache_tokens: int = 40_000
    slots: int = 32
    prefill_tokens_per_second: float = 8000.0
    decode_seconds: float = 0.01


@dataclasses.dataclass(frozen=True)
class Served:
    """What one request cost.

    :ivar first: when its first token came, and ``last`` its last one.
    :ivar cached: tokens of its prompt that were in the cache.
    """

    first: float
    last: float
    cached: int


class PrefixCache:
    """Prefix levels with their own lengths, the oldest used going first."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._used = 0
        self._levels: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def count_cached(self, request: TraceRequest) -> int:
        """Return how many tokens of the prompt are held."""
        cached = 0
        for digest, tokens in request.levels:
            if digest not in self._levels:
                break
            cached = tokens
        return cached

    def admit(self, request: TraceRequest) -> list[str]:
        """Hold the prompt's levels; return the digests that went."""
        lengths = []
        before = 0
        for digest, tokens in request.levels:
            lengths.append((digest, tokens - before))
            before = tokens
        # The question takes room as well, though no one asks for it again.
        own = f'{request.at} {request.workspace}'
        lengths.append((own, request.tokens - before))
        for digest, length in reversed(lengths):
            if digest not in self._levels:
                self._levels[digest] = length
                self._used += length
            self._levels.move_to_end(digest)
        return self._evict()

    def _evict(self) -> list[str]:
        gone = []
        while self._used > self._capacity and len(self._levels) > 1:
            digest, length = self._levels.popitem(last=False)
            self._used -= length
            gone.append(digest)
        return gone


class ReplayEngine:
    """One engine; requests are given to it in the order of their times."""

    def __init__(self, name: str, costs: EngineCosts) -> None:
        self.name = name
        self.costs = costs
        self.incarnation = 0
        self.alive = True
        self.served = 0
        self.cache = PrefixCache(costs.cache_tokens)
        self._prefill_free = 0.0
        self._slot_ends: list[float] = []

    def serve(self, request: TraceRequest, now: float) -> Served:
        """Return what the request costs, starting at ``now``."""
        self.served += 1
        while self._slot_ends and self._slot_ends[0] <= now:
            heapq.heappop(self._slot_ends)
        start = now
        if len(self._slot_ends) >= self.costs.slots:
            start = heapq.heappop(self._slot_ends)
        start = max(start, self._prefill_free)
        cached = self.cache.count_cached(request)
        self.cache.admit(request)
        missing = request.tokens - cached
        first = start + missing / self.costs.prefill_tokens_per_second
        self._prefill_free = first
        first += self.costs.decode_seconds
        last = first + (request.output_tokens - 1) * self.costs.decode_seconds
        heapq.heappush(self._slot_ends, last)
        return Served(first, last, cached)

    def count_load(self, now: float) -> int:
        """Return how many requests run or wait."""
        return sum(end > now for end in self._slot_ends)

    def crash(self) -> None:
        """Lose everything; the engine is there again, empty, at once."""
        self.incarnation += 1
        self.cache = PrefixCache(self.costs.cache_tokens)
        self._slot_ends.clear()
        self._prefill_free = 0.0
