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

import unittest

from lifttrestle.internal.http.memory_budget import Claim
from lifttrestle.internal.http.memory_budget import MemoryBudget
from lifttrestle.internal.http.memory_budget import order_by_duty


class TestMemoryBudget(unittest.TestCase):
    def setUp(self):
        self.ended = []
        self.budget = MemoryBudget(100)

    def hold(self, name, size):
        hold = self.enterContext(
            self.budget.hold(lambda: self.ended.append(name))
        )
        hold.resize(size)
        return hold

    def test_regression_answers_together_took_all_memory(self):
        self.hold('small', 10)
        largest = self.hold('largest', 60)
        self.hold('other', 40)
        self.assertEqual(self.ended, ['largest'])
        self.assertTrue(largest.given_up)
        self.assertEqual(self.budget.held, 50)
        self.assertEqual(self.budget.given_way, 1)

    def test_one_answer_that_exceeds_all_gives_way_itself(self):
        self.hold('sound', 20)
        self.hold('endless', 101)
        self.assertEqual(self.ended, ['endless'])
        self.assertEqual(self.budget.held, 20)

    def test_answer_that_gave_way_counts_no_more(self):
        hold = self.hold('endless', 101)
        hold.resize(200)
        self.assertEqual(self.budget.held, 0)

    def test_large_bodies_leave_room_for_small_ones(self):
        budget = MemoryBudget(100_000)
        self.assertTrue(budget.has_room_to_keep(75_000))
        self.assertFalse(budget.has_room_to_keep(75_001))
        budget.kept = 75_000
        self.assertFalse(budget.has_room_to_keep(20_000))
        self.assertTrue(budget.has_room_to_keep(500))
        budget.kept = 99_600
        self.assertFalse(budget.has_room_to_keep(500))

    def test_what_makes_no_headway_comes_first(self):
        claims = {
            'large': Claim(90),
            'stalled': Claim(10, stalled=True),
            'small': Claim(20),
            'runs': Claim(200, yields=False, stalled=True),
            'empty': Claim(0, stalled=True),
        }
        ordered = order_by_duty(claims.items())
        self.assertEqual(
            [name for name, _ in ordered], ['stalled', 'large', 'small']
        )

    def test_completed_answer_is_released(self):
        with self.budget.hold(lambda: None) as hold:
            hold.resize(70)
        self.assertEqual(self.budget.held, 0)
        self.hold('next', 70)
        self.assertEqual(self.ended, [])
