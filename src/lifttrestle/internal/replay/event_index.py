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

"""Baseline policy: routing by an index built from cache events of engines.

Events are delayed and some are lost, as with the events of real engines.
"""

import collections
import random

from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.choice import Choice
from lifttrestle.internal.routing.policy import Policy
from lifttrestle.internal.routing.prompt import Prompt

LOAD_PENALTY_SECONDS = 0.02


class EventIndexPolicy(Policy):
    """Chooses by the digests that each upstream has reported as cached.

    :param lag_seconds: delay until an event takes effect.
    :param loss: fraction of the events that are lost.
    """

    def __init__(
        self, source: random.Random, lag_seconds: float, loss: float
    ) -> None:
        self._source = source
        self._lag = lag_seconds
        self._loss = loss
        self._cached: dict[str, set[bytes]] = collections.defaultdict(set)
        self._pending: collections.deque[tuple[float, str, bytes, bool]] = (
            collections.deque()
        )

    def note_event(
        self, now: float, upstream: str, digest: bytes, stored: bool
    ) -> None:
        """Queue an event that an upstream publishes, or lose it.

        :param stored: whether the digest was cached, or else evicted.
        """
        if self._source.random() >= self._loss:
            self._pending.append((now + self._lag, upstream, digest, stored))

    def choose(
        self, prompt: Prompt, candidates: list[Candidate], now: float
    ) -> Choice:
        """Return the candidate with the lowest estimated cost."""
        self._apply_events(now)
        self._source.shuffle(candidates)
        choices = [self._estimate(prompt, item) for item in candidates]
        return min(choices, key=lambda choice: choice.expected_seconds)

    def _apply_events(self, now: float) -> None:
        while self._pending and self._pending[0][0] <= now:
            _, upstream, digest, stored = self._pending.popleft()
            digests = self._cached[upstream]
            if stored:
                digests.add(digest)
            else:
                digests.discard(digest)

    def _estimate(self, prompt: Prompt, candidate: Candidate) -> Choice:
        cached = 0
        for level in prompt.levels:
            if level.digest not in self._cached[candidate.name]:
                break
            cached = level.tokens
        uncached = prompt.tokens - cached
        seconds = (
            uncached / candidate.prefill_tokens_per_second
            + candidate.load * LOAD_PENALTY_SECONDS
        )
        return Choice(candidate.name, 'index', seconds, cached)
