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

"""KV cache that running requests hold at the engines, for all routers."""

import collections
from collections.abc import Iterable
import dataclasses
import random

from lifttrestle.internal.fleet.news.messages import EngineNews
from lifttrestle.internal.fleet.news.messages import HeldEntry
from lifttrestle.internal.fleet.news.source import MAX_NEWS_SECONDS
from lifttrestle.internal.fleet.news.source import NewsDraft
from lifttrestle.internal.fleet.news.source import NewsSource
from lifttrestle.internal.fleet.policy.memory_fit import combine_held
from lifttrestle.internal.fleet.policy.memory_fit import decide_fit
from lifttrestle.internal.fleet.policy.memory_fit import estimate_sizes
from lifttrestle.internal.fleet.policy.memory_fit import expect_answer
from lifttrestle.internal.fleet.policy.memory_fit import FitDecision
from lifttrestle.internal.fleet.policy.memory_fit import HeldMemory
from lifttrestle.internal.fleet.policy.memory_fit import MemoryNeed
from lifttrestle.internal.fleet.policy.memory_fit import NO_SIZES
from lifttrestle.internal.fleet.policy.memory_fit import RequestSizes
from lifttrestle.internal.fleet.state.upstream import FleetUpstream

# Answers of a route that are remembered, and the part of them that the
# expected length covers.
MAX_ANSWERS = 64
ANSWER_QUANTILE = 0.9
# Shorter streams are not used to learn the tokens per event: the events that
# carry no text, at the beginning and the end, are a large part of them.
MIN_EVENTS = 16
# Lowest weight of the newest request in the mean sizes.
MIN_SIZE_WEIGHT = 0.05

NOTHING = HeldMemory(0, {})


@dataclasses.dataclass(frozen=True)
class RunningRequest:
    """A request that was sent to an engine and has not ended."""

    engine: int
    need: MemoryNeed


class AnswerLengths:
    """Lengths of the answers of one route, from the events of its streams.

    An event carries several tokens. No answer is longer than the request
    allows, so the lowest ratio of allowed tokens to events bounds the tokens
    per event.
    """

    def __init__(self) -> None:
        self._answers: collections.deque[tuple[int, int]] = collections.deque(
            maxlen=MAX_ANSWERS
        )

    def note(self, events: int, allowed: int) -> None:
        """Add a complete answer.

        :param allowed: the most tokens that its request allowed.
        """
        if allowed > 0:
            self._answers.append((events, allowed))

    def expect(self, allowed: int) -> int:
        """Return the tokens that a request is expected to generate."""
        ratios = [
            most / events
            for events, most in self._answers
            if events >= MIN_EVENTS
        ]
        if not ratios:
            return allowed
        event_tokens = min(ratios)
        lengths = [events * event_tokens for events, _ in self._answers]
        return expect_answer(lengths, ANSWER_QUANTILE, allowed)


class EngineMemory(NewsSource):
    """Counts what requests hold at the engines' starts."""

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._running: dict[int, RunningRequest] = {}
        # By short digest of the engine's start.
        self._own: dict[int, dict[int, MemoryNeed]] = {}
        self._others: dict[int, HeldMemory] = {}
        self._news_at = float('-inf')
        self._answers: dict[str, AnswerLengths] = {}
        self._sizes = NO_SIZES
        self._sent = 0

    def note_sent(
        self,
        attempt_id: int,
        upstream: FleetUpstream,
        need: MemoryNeed | None,
        now: float,
    ) -> None:
        """Count a request that is sent to an engine.

        :param need: None if its memory is not counted.
        """
        if need is None:
            return
        added = need.count_added(self.get_held(upstream, now).parts)
        self._note_sizes(need, added)
        engine = upstream.digest
        self._running[attempt_id] = RunningRequest(engine, need)
        self._own.setdefault(engine, {})[attempt_id] = need

    def note_ended(self, attempt_id: int) -> None:
        """Remove a request whose attempt has ended."""
        running = self._running.pop(attempt_id, None)
        if running is None:
            return
        held = self._own[running.engine]
        del held[attempt_id]
        if not held:
            del self._own[running.engine]

    def note_answer(self, route: str, events: int, allowed: int) -> None:
        """Learn from a stream that completed.

        :param allowed: the most tokens that its request allowed.
        """
        self._answers.setdefault(route, AnswerLengths()).note(events, allowed)

    def expect_answer(self, route: str, allowed: int) -> int:
        """Return the tokens that a request is expected to generate."""
        lengths = self._answers.get(route)
        return allowed if lengths is None else lengths.expect(allowed)

    def get_held(
        self,
        upstream: FleetUpstream,
        now: float,
        sizes: RequestSizes | None = None,
    ) -> HeldMemory:
        """Return what the requests of all routers hold at an engine.

        :param sizes: mean sizes of requests, None for those of this router.
        """
        engine = upstream.digest
        own = _sum_needs(self._own.get(engine, {}).values())
        return combine_held(
            own,
            self._get_others(upstream, now),
            upstream.peers_in_flight,
            upstream.peers_unread,
            sizes or self._sizes,
        )

    def _get_others(self, upstream: FleetUpstream, now: float) -> HeldMemory:
        """Return what other routers hold at an engine by their news."""
        if now - self._news_at > MAX_NEWS_SECONDS:
            return NOTHING
        return self._others.get(upstream.digest, NOTHING)

    def decide(
        self,
        need: MemoryNeed,
        upstreams: list[FleetUpstream],
        memory_tokens: int,
        now: float,
    ) -> FitDecision:
        """Return in which engines a request fits.

        :param memory_tokens: capacity of one engine.
        """
        if not self._sent:
            self._note_sizes(need, need.all_tokens)
        sizes = estimate_sizes(
            self._sizes,
            [self._get_others(upstream, now) for upstream in upstreams],
            sum(upstream.peers_in_flight for upstream in upstreams),
        )
        held = [self.get_held(upstream, now, sizes) for upstream in upstreams]
        has_others = any(upstream.peers_in_flight for upstream in upstreams)
        size = round(sizes.added_tokens) if has_others else 0
        return decide_fit(need, held, memory_tokens, size, self._source)

    def add_news(self, draft: NewsDraft, now: float) -> None:
        """Append what the requests of this router hold."""
        for engine, needs in self._own.items():
            held = _sum_needs(needs.values())
            parts = sorted(held.parts.items(), key=lambda part: -part[1])
            draft.held.append(HeldEntry(engine, held.tokens, parts))

    def apply_news(self, others: EngineNews, now: float) -> None:
        """Apply what the requests of the other routers hold."""
        self._news_at = now
        self._others = {
            entry.engine: HeldMemory(entry.tokens, dict(entry.parts))
            for entry in others.held
        }

    def _note_sizes(self, need: MemoryNeed, added: int) -> None:
        self._sent += 1
        weight = max(1 / self._sent, MIN_SIZE_WEIGHT)
        mean = self._sizes
        self._sizes = RequestSizes(
            _smooth(mean.own_tokens, need.own_tokens, weight),
            _smooth(mean.added_tokens, added, weight),
            _smooth(mean.all_tokens, need.all_tokens, weight),
        )


def _smooth(mean: float, newest: float, weight: float) -> float:
    return mean + weight * (newest - mean)


def _sum_needs(needs: Iterable[MemoryNeed]) -> HeldMemory:
    tokens = 0
    parts: dict[int, int] = {}
    for need in needs:
        tokens += need.own_tokens
        parts.update(need.parts)
    return HeldMemory(tokens, parts)
