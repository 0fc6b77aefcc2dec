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

"""A baseline: routing by an index that engines' cache events feed.

Events come late and some are lost, as the engines publish them.
"""

import collections
import random

from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.choice import Choice
from lifttrestle.internal.routing.policy import Policy
from lifttrestle.internal.routing.prompt import Prompt

LOAD_SECONDS = 0.02


class EventIndexPolicy(Policy):
    """Keeps which digests each upstream is said to hold.

    :param lag_seconds: how late an event counts.
    :param loss: the share of events that never come.
    """

    def __init__(
        self, source: random.Random, lag_seconds: float, loss: float
    ) -> None:
        self._source = source
        self._lag = lag_seconds
        self._loss = loss
        self._held: dict[str, set[bytes]] = collections.defaultdict(set)
        self._coming: collections.deque[tuple[float, str, bytes, bool]] = (
            collections.deque()
        )

    def note_event(
        self, now: float, upstream: str, digest: bytes, stored: bool
    ) -> None:
        """Take an event that an engine publishes now."""
        if self._source.random() >= self._loss:
            self._coming.append((now + self._lag, upstream, digest, stored))

    def choose(
        self, prompt: Prompt, candidates: list[Candidate], now: float
    ) -> Choice:
        """Return the candidate with the least expected time."""
        self._apply_events(now)
        self._source.shuffle(candidates)
        choices = [self._expect(prompt, item) for item in candidates]
        return min(choices, key=lambda choice: choice.expected_seconds)

    def _apply_events(self, now: float) -> None:
        while self._coming and self._coming[0][0] <= now:
            _, upstream, digest, stored = self._coming.popleft()
            held = self._held[upstream]
            if stored:
                held.add(digest)
            else:
                held.discard(digest)

    def _expect(self, prompt: Prompt, candidate: Candidate) -> Choice:
        cached = 0
        for level in prompt.levels:
            if level.digest not in self._held[candidate.name]:
                break
            cached = level.tokens
        missing = prompt.tokens - cached
        seconds = (
            missing / candidate.prefill_tokens_per_second
            + candidate.load * LOAD_SECONDS
        )
        return Choice(candidate.name, 'index', seconds, cached)
