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

"""Our first policy, kept as a baseline: several homes for each level.

The outermost prefix ranks all upstreams and keeps a few as its homes; each
further level ranks only those and keeps fewer. So a shared prefix is computed
on few engines and the levels below it on fewer still, and every router finds
the same homes without a message. Among the homes, and two upstreams drawn at
random as a way out of a crowd, the least expected time to first token wins.
"""

import dataclasses
import random

from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.choice import Choice
from lifttrestle.internal.routing.draws import sample_nearest
from lifttrestle.internal.routing.draws import sample_non_homes
from lifttrestle.internal.routing.evidence import CacheEvidence
from lifttrestle.internal.routing.policy import Policy
from lifttrestle.internal.routing.prompt import Prompt
from lifttrestle.internal.routing.ranking_cache import RankingCache

NO_PROMPT = Prompt((), 0)


@dataclasses.dataclass(frozen=True)
class FirstNestedSettings:
    """The constants of the policy.

    :ivar homes: how many homes each level keeps, outermost first; the last
        number serves for all further levels.
    :ivar service_seconds: the time a request holds a slot, as a first guess.
    :ivar load_penalty_seconds: what each running request costs while there
        are free slots; an engine that batches hardly slows down for one.
    :ivar rank_penalty_seconds: what each step down the ranking costs, so
        that equal upstreams are not chosen in turn.
    :ivar home_prior: how likely a home holds a prefix without evidence.
    """

    homes: tuple[int, ...] = (3, 2, 1)
    service_seconds: float = 0.5
    load_penalty_seconds: float = 0.0005
    rank_penalty_seconds: float = 0.002
    random_choices: int = 2
    home_prior: float = 0.5
    evidence_seconds: float = 30.0
    evidence_entries: int = 50_000
    ranking_entries: int = 4096


class FirstNestedPolicy(Policy):
    """Nested rendezvous hashing with evidence from answers."""

    def __init__(
        self,
        source: random.Random,
        settings: FirstNestedSettings | None = None,
    ) -> None:
        self._source = source
        self._settings = settings or FirstNestedSettings()
        self._evidence = CacheEvidence(
            self._settings.evidence_seconds, self._settings.evidence_entries
        )
        self._rankings = RankingCache(self._settings.ranking_entries)

    def choose(
        self, prompt: Prompt, candidates: list[Candidate], now: float
    ) -> Choice:
        """Return the candidate with the least expected time."""
        by_name = {item.name: item for item in candidates}
        if not prompt.levels:
            return self._spread(candidates, by_name, now)
        homes = self._find_homes(prompt, tuple(by_name))
        best = self._weigh(prompt, homes, by_name, now)
        drawn = sample_non_homes(
            self._source, candidates, homes, self._settings.random_choices
        )
        others = [item.name for item in drawn]
        if not others:
            return best
        way_out = self._weigh(
            prompt, others, by_name, now, 'homes are busy', len(homes)
        )
        saved = best.expected_seconds - way_out.expected_seconds
        if saved > self._count_likely_loss(prompt, best, by_name):
            return way_out
        return best

    def _count_likely_loss(
        self, prompt: Prompt, home: Choice, by_name: dict[str, Candidate]
    ) -> float:
        """Return the seconds of prefill that leaving a home may cost.

        A home without evidence may well hold the prefix: another router may
        have sent it there.
        """
        if home.expected_cached:
            return 0.0
        rate = by_name[home.name].prefill_tokens_per_second
        return self._settings.home_prior * prompt.levels[-1].tokens / rate

    def _spread(
        self,
        candidates: list[Candidate],
        by_name: dict[str, Candidate],
        now: float,
    ) -> Choice:
        """Return the better of two drawn at random, the nearest first."""
        drawn = sample_nearest(
            self._source, candidates, self._settings.random_choices
        )
        names = [item.name for item in drawn]
        return self._weigh(NO_PROMPT, names, by_name, now, 'least loaded')

    def observe(
        self,
        prompt: Prompt,
        candidate: Candidate,
        cached_tokens: int,
        now: float,
    ) -> None:
        """Remember what the candidate holds after its answer."""
        self._evidence.note_computed(prompt, candidate, now)

    def _find_homes(self, prompt: Prompt, names: tuple[str, ...]) -> list[str]:
        homes = list(names)
        counts = self._settings.homes
        for index, level in enumerate(prompt.levels):
            count = counts[min(index, len(counts) - 1)]
            homes = self._rankings.rank(level.digest, homes)[: max(count, 1)]
        return homes

    def _weigh(
        self,
        prompt: Prompt,
        names: list[str],
        by_name: dict[str, Candidate],
        now: float,
        reason: str = 'home',
        first_rank: int = 0,
    ) -> Choice:
        choices = [
            self._expect(prompt, by_name[name], rank, reason, now)
            for rank, name in enumerate(names, first_rank)
        ]
        return min(choices, key=lambda choice: choice.expected_seconds)

    def _expect(
        self,
        prompt: Prompt,
        candidate: Candidate,
        rank: int,
        reason: str,
        now: float,
    ) -> Choice:
        cached = self._evidence.estimate_cached_tokens(prompt, candidate, now)
        missing = max(prompt.tokens - cached, 0)
        waiting = max(candidate.load + 1 - candidate.slots, 0)
        seconds = (
            waiting / candidate.slots * self._settings.service_seconds
            + candidate.load * self._settings.load_penalty_seconds
            + missing / candidate.prefill_tokens_per_second
            + candidate.distance_seconds
            + rank * self._settings.rank_penalty_seconds
        )
        return Choice(candidate.name, reason, seconds, cached)
