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

"""Prefix-aware routing by nested rendezvous hashing.

The outermost prefix level ranks all upstreams and selects the first ones as
its homes; each further level ranks only the homes of the level above. An outer
prefix is thus computed on few engines, and all routers derive the same ranking
without communication. The first home of the innermost level is chosen unless
its load costs more than the prefill at another upstream. Answers of upstreams
provide evidence of what their caches hold, which corrects the estimates.
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
class NestedSettings:
    """Parameters of the policy, tuned by replaying traces.

    :ivar upper_homes: number of homes of a prefix level.
    :ivar service_seconds: time for which a request occupies a slot.
    :ivar load_penalty_seconds: estimated cost of each running request. With a
        larger penalty, such as the pending prefill, load that was diverted
        from one home makes further homes busy, and routers divert from these
        in turn.
    :ivar home_prior: probability that the first home has cached a prefix for
        which this router has no evidence; other routers may have sent it
        there.
    :ivar random_choices: number of candidates sampled besides the homes.
    :ivar evidence_seconds: age at which cache evidence expires.
    :ivar evidence_entries: maximum number of cache evidence entries.
    :ivar ranking_entries: maximum number of cached rankings.
    """

    upper_homes: int = 8
    service_seconds: float = 0.5
    load_penalty_seconds: float = 0.02
    home_prior: float = 0.95
    random_choices: int = 2
    evidence_seconds: float = 30.0
    evidence_entries: int = 50_000
    ranking_entries: int = 4096


class NestedPolicy(Policy):
    """Chooses by nested rendezvous hashing and cache evidence."""

    def __init__(
        self, source: random.Random, settings: NestedSettings | None = None
    ) -> None:
        self._source = source
        self._settings = settings or NestedSettings()
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
            return self._choose_nearest(candidates, now)
        homes = self._rank_homes(prompt, tuple(by_name))
        first = self._estimate(prompt, by_name[homes[0]], now, is_first=True)
        others = [by_name[name] for name in homes[1:]]
        others += sample_non_homes(
            self._source, candidates, homes, self._settings.random_choices
        )
        if not others:
            return first
        choices = [self._estimate(prompt, item, now) for item in others]
        best = min(choices, key=lambda item: item.expected_seconds)
        return min(first, best, key=lambda item: item.expected_seconds)

    def observe(
        self,
        prompt: Prompt,
        candidate: Candidate,
        cached_tokens: int,
        now: float,
    ) -> None:
        """Record that the candidate has computed the prompt."""
        self._evidence.note_computed(prompt, candidate, now)

    def _choose_nearest(
        self, candidates: list[Candidate], now: float
    ) -> Choice:
        """Return the cheapest of a random sample of the nearest candidates.

        This is for requests without prefix levels.
        """
        sampled = sample_nearest(
            self._source, candidates, self._settings.random_choices
        )
        choices = [
            self._estimate(NO_PROMPT, item, now, reason='least loaded')
            for item in sampled
        ]
        return min(choices, key=lambda item: item.expected_seconds)

    def _rank_homes(self, prompt: Prompt, names: tuple[str, ...]) -> list[str]:
        homes = list(names)
        for level in prompt.levels[:-1]:
            ranking = self._rankings.rank(level.digest, homes)
            homes = ranking[: self._settings.upper_homes]
        return self._rankings.rank(prompt.levels[-1].digest, homes)[
            : self._settings.upper_homes
        ]

    def _estimate(
        self,
        prompt: Prompt,
        candidate: Candidate,
        now: float,
        is_first: bool = False,
        reason: str = 'home is busy',
    ) -> Choice:
        cached = self._evidence.estimate_cached_tokens(prompt, candidate, now)
        expected_cached = float(cached)
        if is_first:
            reason = 'home'
            prior = self._settings.home_prior * prompt.levels[-1].tokens
            expected_cached = max(expected_cached, prior)
        uncached = max(prompt.tokens - expected_cached, 0.0)
        excess = max(candidate.load + 1 - candidate.slots, 0)
        seconds = (
            uncached / candidate.prefill_tokens_per_second
            + excess / candidate.slots * self._settings.service_seconds
            + candidate.load * self._settings.load_penalty_seconds
            + candidate.distance_seconds
        )
        return Choice(candidate.name, reason, seconds, cached)
