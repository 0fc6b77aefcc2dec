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

"""Baseline routing policies that replays compare other policies with."""

import itertools
import random

from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.choice import Choice
from lifttrestle.internal.routing.policy import Policy
from lifttrestle.internal.routing.prompt import Prompt


class RandomPolicy(Policy):
    """Picks a candidate uniformly at random."""

    def __init__(self, source: random.Random) -> None:
        self._source = source

    def choose(
        self, prompt: Prompt, candidates: list[Candidate], now: float
    ) -> Choice:
        """Return one of the candidates, each with equal probability."""
        return Choice(self._source.choice(candidates).name, 'random')


class RoundRobinPolicy(Policy):
    """Cycles through the candidates."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def choose(
        self, prompt: Prompt, candidates: list[Candidate], now: float
    ) -> Choice:
        """Return the next candidate of the cycle."""
        index = next(self._counter) % len(candidates)
        return Choice(candidates[index].name, 'in turn')


class LeastInFlightPolicy(Policy):
    """Picks the upstream with the fewest in-flight requests of this router."""

    def __init__(self, source: random.Random) -> None:
        self._source = source

    def choose(
        self, prompt: Prompt, candidates: list[Candidate], now: float
    ) -> Choice:
        """Return a candidate with the fewest requests; break ties randomly."""
        least = min(item.in_flight for item in candidates)
        ties = [item for item in candidates if item.in_flight == least]
        return Choice(self._source.choice(ties).name, 'least in flight')
