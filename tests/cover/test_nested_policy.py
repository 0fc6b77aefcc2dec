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

"""Tests of the nested policy: homes, cache evidence and busy upstreams."""

import random
import unittest

from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.levels import derive_prompt
from lifttrestle.internal.routing.nested import NestedPolicy
from lifttrestle.internal.routing.nested import NestedSettings
from lifttrestle.internal.routing.prompt import Prompt

SYSTEM = 'instructions ' * 200


def make_candidates(count: int = 8, **fields: object) -> list[Candidate]:
    return [
        Candidate(f'engine-{number}', 'one', 32, 8000.0, **fields)
        for number in range(count)
    ]


def make_prompt(question: str, sheet: str = 'a sheet ' * 100) -> Prompt:
    return derive_prompt('salt', [SYSTEM, sheet, question])


def make_warm_policy(
    prompt: Prompt, candidates: list[Candidate]
) -> NestedPolicy:
    """Return a policy that has observed the prompt's home answer it."""
    policy = NestedPolicy(random.Random(1))
    choice = policy.choose(prompt, candidates, 0.0)
    chosen = next(c for c in candidates if c.name == choice.name)
    policy.observe(prompt, chosen, 0, 0.0)
    return policy


class TestNestedPolicy(unittest.TestCase):
    def test_regression_cold_home_wins_over_a_drawn_upstream(self) -> None:
        # A sampled upstream without a penalty for its rank was preferred to a
        # home other than the first that had not cached the prefix, so that
        # the next request with the prefix missed the cache.
        candidates = [
            Candidate(f'{site}-{number}', 'one', 32, 8000.0, 0, 0, distance)
            for site, distance in (('here', 0.0), ('there', 0.003))
            for number in (1, 2)
        ]
        for tenant in range(50):
            prefix = f'tenant {tenant} ' * 100
            prompt = derive_prompt('salt', [prefix, 'q'])
            for seed in range(10):
                policy = NestedPolicy(random.Random(seed))
                choice = policy.choose(prompt, candidates, 0.0)
                self.assertEqual(choice.reason, 'home')

    def test_routers_agree_without_a_message(self) -> None:
        names = {
            NestedPolicy(random.Random(seed))
            .choose(make_prompt('q'), make_candidates(), 0.0)
            .name
            for seed in range(20)
        }
        self.assertEqual(len(names), 1)

    def test_lower_prefixes_stay_within_the_homes_of_upper_ones(self) -> None:
        policy = NestedPolicy(random.Random(1))
        names = {
            policy.choose(
                make_prompt('q', f'sheet {number}'), make_candidates(40), 0.0
            ).name
            for number in range(100)
        }
        self.assertLessEqual(len(names), NestedSettings().upper_homes)
        self.assertGreater(len(names), 1)

    def test_losing_one_upstream_moves_only_its_prefixes(self) -> None:
        policy = NestedPolicy(random.Random(1))
        prompts = [
            derive_prompt('salt', [f'tenant {number}', 'q'])
            for number in range(200)
        ]
        candidates = make_candidates()
        before = [
            policy.choose(prompt, candidates, 0.0).name for prompt in prompts
        ]
        remaining = candidates[1:]
        after = [
            policy.choose(prompt, remaining, 0.0).name for prompt in prompts
        ]
        for old, new in zip(before, after):
            if old != candidates[0].name:
                self.assertEqual(old, new)

    def test_busy_homes_are_left(self) -> None:
        policy = NestedPolicy(random.Random(1))
        home = policy.choose(make_prompt('q'), make_candidates(), 0.0).name
        busy = [
            Candidate(
                item.name,
                'one',
                32,
                8000.0,
                in_flight=300 if item.name == home else 0,
            )
            for item in make_candidates()
        ]
        choice = policy.choose(make_prompt('q'), busy, 0.0)
        self.assertNotEqual(choice.name, home)

    def test_evidence_of_a_dead_incarnation_counts_for_nothing(self) -> None:
        candidates = make_candidates()
        prompt = make_prompt('q')
        policy = make_warm_policy(prompt, candidates)
        choice = policy.choose(prompt, candidates, 1.0)
        self.assertGreater(choice.expected_cached, 0)
        restarted = [
            Candidate(item.name, 'two', 32, 8000.0) for item in candidates
        ]
        self.assertEqual(
            policy.choose(prompt, restarted, 1.0).expected_cached, 0
        )

    def test_evidence_ages_out(self) -> None:
        candidates = make_candidates()
        prompt = make_prompt('q')
        policy = make_warm_policy(prompt, candidates)
        choice = policy.choose(prompt, candidates, 3600.0)
        self.assertEqual(choice.expected_cached, 0)

    def test_workspaces_and_weights_never_share_a_level(self) -> None:
        levels = [
            derive_prompt(salt, [SYSTEM, 'q']).levels[0].digest
            for salt in ('one', 'two')
        ]
        self.assertNotEqual(*levels)


if __name__ == '__main__':
    unittest.main()
