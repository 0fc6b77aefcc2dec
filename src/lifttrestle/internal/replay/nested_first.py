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

"""Baseline policy: a simpler ``NestedPolicy`` with fewer homes per level.

The outermost prefix level ranks all upstreams and selects the first ones as
its homes; each further level ranks only these homes and selects fewer. A
shared prefix is thus computed on few engines, the levels below it on even
fewer, and all routers derive the same homes without communication. Of the
homes and two randomly sampled upstreams, which relieve busy homes, the one
with the lowest estimated cost is chosen.
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
    """Parameters of the policy.

    :ivar homes: number of homes of each prefix level, outermost first; the
        last number applies to all further levels.
    :ivar service_seconds: estimated time for which a request occupies a slot.
    :ivar load_penalty_seconds: estimated cost of each running request while
        there are free slots. It is small, since one more request hardly slows
        down an engine that batches.
    :ivar rank_penalty_seconds: estimated cost of each position in the
        ranking, so that a router does not alternate between equal upstreams.
    :ivar random_choices: number of candidates sampled besides the homes.
    :ivar home_prior: probability that a home has cached a prefix for which
        this router has no evidence.
    :ivar evidence_seconds: age at which cache evidence expires.
    :ivar evidence_entries: maximum number of cache evidence entries.
    :ivar ranking_entries: maximum number of cached rankings.
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
    """Chooses by nested rendezvous hashing and cache evidence."""

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
        """Return the candidate with the lowest estimated cost."""
        by_name = {item.name: item for item in candidates}
        if not prompt.levels:
            return self._choose_nearest(candidates, by_name, now)
        homes = self._rank_homes(prompt, tuple(by_name))
        best = self._choose_cheapest(prompt, homes, by_name, now)
        sampled = sample_non_homes(
            self._source, candidates, homes, self._settings.random_choices
        )
        others = [item.name for item in sampled]
        if not others:
            return best
        alternative = self._choose_cheapest(
            prompt, others, by_name, now, 'homes are busy', len(homes)
        )
        saved_seconds = best.expected_seconds - alternative.expected_seconds
        if saved_seconds > self._estimate_prefill_loss(prompt, best, by_name):
            return alternative
        return best

    def _estimate_prefill_loss(
        self, prompt: Prompt, home: Choice, by_name: dict[str, Candidate]
    ) -> float:
        """Return the expected extra prefill, in seconds, of not using a home.

        A home may have cached the prefix even if this router has no evidence
        of it, as other routers may have sent the prefix there.
        """
        if home.expected_cached:
            return 0.0
        rate = by_name[home.name].prefill_tokens_per_second
        return self._settings.home_prior * prompt.levels[-1].tokens / rate

    def _choose_nearest(
        self,
        candidates: list[Candidate],
        by_name: dict[str, Candidate],
        now: float,
    ) -> Choice:
        """Return the cheapest of a random sample of the nearest candidates.

        This is for requests without prefix levels.
        """
        sampled = sample_nearest(
            self._source, candidates, self._settings.random_choices
        )
        names = [item.name for item in sampled]
        return self._choose_cheapest(
            NO_PROMPT, names, by_name, now, 'least loaded'
        )

    def observe(
        self,
        prompt: Prompt,
        candidate: Candidate,
        cached_tokens: int,
        now: float,
    ) -> None:
        """Record that the candidate has computed the prompt."""
        self._evidence.note_computed(prompt, candidate, now)

    def _rank_homes(self, prompt: Prompt, names: tuple[str, ...]) -> list[str]:
        homes = list(names)
        counts = self._settings.homes
        for index, level in enumerate(prompt.levels):
            count = counts[min(index, len(counts) - 1)]
            homes = self._rankings.rank(level.digest, homes)[: max(count, 1)]
        return homes

    def _choose_cheapest(
        self,
        prompt: Prompt,
        names: list[str],
        by_name: dict[str, Candidate],
        now: float,
        reason: str = 'home',
        first_rank: int = 0,
    ) -> Choice:
        choices = [
            self._estimate(prompt, by_name[name], rank, reason, now)
            for rank, name in enumerate(names, first_rank)
        ]
        return min(choices, key=lambda choice: choice.expected_seconds)

    def _estimate(
        self,
        prompt: Prompt,
        candidate: Candidate,
        rank: int,
        reason: str,
        now: float,
    ) -> Choice:
        cached = self._evidence.estimate_cached_tokens(prompt, candidate, now)
        uncached = max(prompt.tokens - cached, 0)
        excess = max(candidate.load + 1 - candidate.slots, 0)
        seconds = (
            excess / candidate.slots * self._settings.service_seconds
            + candidate.load * self._settings.load_penalty_seconds
            + uncached / candidate.prefill_tokens_per_second
            + candidate.distance_seconds
            + rank * self._settings.rank_penalty_seconds
        )
        return Choice(candidate.name, reason, seconds, cached)
