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

"""Tests of the settings that all property tests share."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from tests.support.stalls import Stalls

# Hypothesis allows an example 200 ms by default.
STALL_SECONDS = 0.25


class TestDeadline(unittest.TestCase):
    def check_under_stalls(self, seed: int) -> None:
        stalls = Stalls(seed, 0.5, (STALL_SECONDS, STALL_SECONDS))

        @settings(derandomize=True, database=None, max_examples=4)
        @given(st.integers())
        def check(_number: int) -> None:
            stalls.maybe_stall()

        check()

    def test_regression_stall_within_an_example_was_a_failure(self) -> None:
        for seed in range(2):
            with self.subTest(seed=seed):
                self.check_under_stalls(seed)


if __name__ == '__main__':
    unittest.main()
