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

"""Our policy: computed homes for nested prefixes, corrected by evidence.

The outermost prefix ranks all upstreams and keeps some as its homes; the next
level ranks only those. So an upper prefix is computed on few engines, and
every router finds the same ranking without a message. The innermost level's
first home is taken unless its load costs more than the prefill that another
upstream would have to do.
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
    """The constants of the policy, chosen by replay.

    :ivar upper_homes: how many homes an outer level keeps.
    :ivar service_seconds: the time a request holds a slot.
    :ivar load_penalty_seconds: what each running request is taken to cost.
        A larger price, such as the prefill that waits, makes routers leave
        homes that are busy because others had left theirs.
    :ivar home_prior: how likely the first home holds a prefix of which this
        router has no evidence: others may have sent it there.
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
    """Nested rendezvous hashing with evidence from answers."""

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
        """Return the candidate with the least expected cost."""
        by_name = {item.name: item for item in candidates}
        if not prompt.levels:
            return self._spread(candidates, now)
        homes = self._rank_homes(prompt, tuple(by_name))
        first = self._expect(prompt, by_name[homes[0]], now, is_first=True)
        others = [by_name[name] for name in homes[1:]]
        others += sample_non_homes(
            self._source, candidates, homes, self._settings.random_choices
        )
        if not others:
            return first
        choices = [self._expect(prompt, item, now) for item in others]
        best = min(choices, key=lambda item: item.expected_seconds)
        return min(first, best, key=lambda item: item.expected_seconds)

    def observe(
        self,
        prompt: Prompt,
        candidate: Candidate,
        cached_tokens: int,
        now: float,
    ) -> None:
        """Remember what the candidate holds after its answer."""
        self._evidence.note_computed(prompt, candidate, now)

    def _spread(self, candidates: list[Candidate], now: float) -> Choice:
        """Return the better of two drawn at random among the nearest."""
        drawn = sample_nearest(
            self._source, candidates, self._settings.random_choices
        )
        choices = [
            self._expect(NO_PROMPT, item, now, reason='least loaded')
            for item in drawn
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

    def _expect(
        self,
        prompt: Prompt,
        candidate: Candidate,
        now: float,
        is_first: bool = False,
        reason: str = 'home is busy',
    ) -> Choice:
        cached = self._evidence.estimate_cached_tokens(prompt, candidate, now)
        likely = float(cached)
        if is_first:
            reason = 'home'
            prior = self._settings.home_prior * prompt.levels[-1].tokens
            likely = max(likely, prior)
        missing = max(prompt.tokens - likely, 0.0)
        beyond = max(candidate.load + 1 - candidate.slots, 0)
        seconds = (
            missing / candidate.prefill_tokens_per_second
            + beyond / candidate.slots * self._settings.service_seconds
            + candidate.load * self._settings.load_penalty_seconds
            + candidate.distance_seconds
        )
        return Choice(candidate.name, reason, seconds, cached)
