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

"""Decides in which engines the KV cache of a request fits.

An engine that runs out of memory preempts its newest request, whose work is
lost, or crashes. A shared part of prompts is held once for all requests that
use it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
import random

from lifttrestle.internal.fleet.path.dialect import Generation

# Part of the memory that is left to running streams, which may generate more
# tokens than expected.
RESERVE_SHARE = 0.05
# Routers that see the same memory become free would all send to it before
# they know of each other. An engine with room for fewer requests than this is
# left out of some decisions at random, the more the less room it has.
# In a simulated burst at 8 routers, engines rejected 0.002 of the arrivals,
# and 0.017 if none was left out.
CONTENDED_REQUESTS = 6


@dataclasses.dataclass(frozen=True)
class MemoryNeed:
    """Tokens of KV cache that a request holds while it runs.

    :ivar own_tokens: those of its own part and of its answer.
    :ivar parts: tokens of its shared parts, by short digest.
    """

    own_tokens: int
    parts: Mapping[int, int]

    @property
    def all_tokens(self) -> int:
        """Return the tokens that it needs in an empty engine."""
        return self.own_tokens + sum(self.parts.values())

    def count_added(self, held: Mapping[int, int]) -> int:
        """Return the tokens that it needs beside the shared parts held."""
        missing = (
            tokens for key, tokens in self.parts.items() if key not in held
        )
        return self.own_tokens + sum(missing)


@dataclasses.dataclass(frozen=True)
class HeldMemory:
    """Tokens of KV cache that the running requests of an engine hold.

    :ivar tokens: those that no other request shares.
    :ivar parts: tokens of the shared parts in use, by short digest.
    """

    tokens: int
    parts: Mapping[int, int]

    @property
    def all_tokens(self) -> int:
        """Return the tokens that are in use."""
        return self.tokens + sum(self.parts.values())


@dataclasses.dataclass(frozen=True)
class RequestSizes:
    """Mean sizes of the requests that a router has sent, in tokens.

    :ivar own_tokens: those of their own parts and answers.
    :ivar added_tokens: those that they added to what their engines held.
    :ivar all_tokens: all of them, shared parts included.
    """

    own_tokens: float
    added_tokens: float
    all_tokens: float


NO_SIZES = RequestSizes(0.0, 0.0, 0.0)


@dataclasses.dataclass(frozen=True)
class FitDecision:
    """Which engines have the memory for a request.

    :ivar fitting: indices of the engines to which it may be sent.
    :ivar free_tokens: free tokens of each engine; negative if more is in use
        than requests may use.
    :ivar best: index of the engine in which least is missing, None without
        engines.
    :ivar needed_tokens: what the request needs in the best engine.
    """

    fitting: tuple[int, ...]
    free_tokens: tuple[int, ...]
    best: int | None
    needed_tokens: int

    @property
    def fits_nowhere(self) -> bool:
        """Return whether there are engines but none has the memory."""
        return self.best is not None and not self.fitting


def build_need(
    generation: Generation, answer_tokens: int, digests: Iterable[int]
) -> MemoryNeed:
    """Return what a request holds while it runs.

    :param answer_tokens: tokens that it is expected to generate.
    :param digests: short digests of its shared parts, in order.
    """
    parts: dict[int, int] = {}
    for digest, part in zip(digests, generation.shared, strict=True):
        parts[digest] = max(part.tokens, 0)
    own = max(generation.own_tokens, 0) + max(answer_tokens, 0)
    return MemoryNeed(own, parts)


def get_usable_tokens(memory_tokens: int) -> int:
    """Return the tokens of an engine's memory that requests may use."""
    return int(memory_tokens * (1.0 - RESERVE_SHARE))


def combine_held(
    own: HeldMemory,
    others: HeldMemory,
    others_running: int,
    others_unread: int,
    sizes: RequestSizes,
) -> HeldMemory:
    """Return what the requests of all routers hold at an engine.

    News is older than load reports. The requests that it lacks are those in
    flight beyond the number that the tokens in the news correspond to. News
    that lacks an engine states nothing about its shared parts, so all of its
    requests count in full. Late news lists requests that have ended, so it
    never lowers the figure below that of the requests in flight.

    :param others: what the other routers hold by their news.
    :param others_running: their requests in flight by their load reports.
    :param others_unread: prompt tokens of these that are uncomputed.
    :param sizes: mean sizes of requests.
    """
    size = sizes.added_tokens if others.tokens else sizes.all_tokens
    covered = others.tokens / max(sizes.own_tokens, 1.0)
    lacking = max(others_running - covered, 0.0)
    shared = sum(others.parts.values())
    tokens = max(
        others.tokens + round(lacking * size),
        others_unread,
        round(others_running * size) - shared,
    )
    return HeldMemory(own.tokens + tokens, {**others.parts, **own.parts})


def estimate_sizes(
    own: RequestSizes, news: Iterable[HeldMemory], running: int
) -> RequestSizes:
    """Return the mean sizes of requests, rather too large than too small.

    A router of a large fleet sends too few requests to know their sizes. News
    is older than ``running``, so its mean is too small while load grows.

    :param own: mean sizes of the requests of this router.
    :param news: what the other routers hold at each engine.
    :param running: their requests in flight at these engines.
    """
    listed = list(news)
    tokens = sum(item.tokens for item in listed) / max(running, 1)
    size = sum(item.all_tokens for item in listed) / max(running, 1)
    return RequestSizes(
        max(own.own_tokens, tokens),
        max(own.added_tokens, size),
        max(own.all_tokens, size),
    )


def decide_fit(
    need: MemoryNeed,
    held: list[HeldMemory],
    memory_tokens: int,
    request_tokens: int,
    source: random.Random,
) -> FitDecision:
    """Return in which engines a request fits.

    A request that does not fit in an empty engine goes to the engine that
    holds least, as it would otherwise never be served.

    :param held: what each engine holds.
    :param memory_tokens: capacity of one engine.
    :param request_tokens: what a request of another router needs in the mean;
        zero if there are none.
    :param source: decides which engines with little room are left out.
    """
    usable = get_usable_tokens(memory_tokens)
    free = tuple(usable - item.all_tokens for item in held)
    if not held:
        return FitDecision((), free, None, need.all_tokens)
    if need.all_tokens > usable:
        emptiest = max(range(len(held)), key=free.__getitem__)
        return FitDecision((emptiest,), free, emptiest, need.all_tokens)
    added = [need.count_added(item.parts) for item in held]
    margins = [room - size for room, size in zip(free, added, strict=True)]
    best = max(range(len(held)), key=margins.__getitem__)
    room = CONTENDED_REQUESTS * request_tokens
    room = min(room, usable - need.all_tokens)
    fitting = tuple(
        index
        for index, margin in enumerate(margins)
        if margin >= 0 and margin >= source.random() * room
    )
    return FitDecision(fitting, free, best, added[best])


def expect_answer(lengths: list[float], quantile: float, allowed: int) -> int:
    """Return the tokens that a request is expected to generate.

    :param lengths: answer lengths so far, in tokens.
    :param quantile: part of the answers that are at most as long.
    :param allowed: the most that may be generated; zero if not specified.
    """
    if not lengths:
        return allowed
    index = min(int(len(lengths) * quantile), len(lengths) - 1)
    expected = math.ceil(sorted(lengths)[index])
    return min(expected, allowed) if allowed else expected
