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

"""Tests of the list of known failures and of the judgement of a run."""

import unittest

from tests.known_failures import judge
from tests.known_failures import parse_known_failures
from tests.run import get_test_id
from tests.run import KNOWN_FAILURES
from tests.run import TimedResult

ALWAYS = 'a.TestB.test_c, fails (python -m tests.run; seed 1), issue 7'
SOMETIMES = 'a.TestB.test_d [intermittent], fails in 1 of 9 runs, issue 8'
C = 'a.TestB.test_c'
D = 'a.TestB.test_d'
OTHER = 'a.TestB.test_e'


class TestList(unittest.TestCase):
    def test_entries_are_read(self):
        known = parse_known_failures(f'# Head.\n\n{ALWAYS}\n{SOMETIMES}\n')
        self.assertEqual(list(known), [C, D])
        self.assertFalse(known[C].intermittent)
        self.assertTrue(known[D].intermittent)
        self.assertEqual(known[D].text, SOMETIMES)

    def test_malformed_entries_are_rejected(self):
        for line in (
            C,
            f'{C}, no issue',
            f'{C}, issue 7',
            f'{C}, a cause, issue',
            f'{C} [flaky], a cause, issue 7',
            f'{C} [intermittent] [intermittent], a cause, issue 7',
            f'{C}, {D}',
        ):
            with self.subTest(line=line):
                with self.assertRaises(ValueError):
                    parse_known_failures(line)

    def test_second_entry_of_a_test_is_rejected(self):
        again = ALWAYS.replace(C, f'{C} [intermittent]')
        with self.assertRaises(ValueError):
            parse_known_failures(f'{ALWAYS}\n{again}')

    def test_own_list_is_valid(self):
        parse_known_failures(KNOWN_FAILURES.read_text())


class TestJudgement(unittest.TestCase):
    def judge(self, passed, failed, text=f'{ALWAYS}\n{SOMETIMES}', **options):
        known = parse_known_failures(text)
        options.setdefault('partial', False)
        return judge(known, set(passed), set(failed), **options)

    def test_intermittent_test_may_pass_or_fail_and_is_printed(self):
        for passed, failed in (((OTHER, D), (C,)), ((OTHER,), (C, D))):
            with self.subTest(failed=failed):
                verdict = self.judge(passed, failed)
                self.assertTrue(verdict.is_green)
                self.assertEqual(len(verdict.lines), 2)
                self.assertIn(SOMETIMES, verdict.lines[1])
                told = 'passed in this run' in verdict.lines[1]
                self.assertEqual(told, D in passed)

    def test_other_test_that_fails_is_not_tolerated(self):
        self.assertFalse(self.judge((D,), (C, OTHER)).is_green)

    def test_unmarked_test_that_passes_is_not_tolerated(self):
        verdict = self.judge((C, D, OTHER), ())
        self.assertFalse(verdict.is_green)
        self.assertIn('remove it', verdict.lines[0])

    def test_listed_test_that_does_not_run_is_not_tolerated(self):
        for text in (ALWAYS, SOMETIMES):
            with self.subTest(text=text):
                verdict = self.judge((OTHER,), (), text)
                self.assertFalse(verdict.is_green)
                self.assertTrue(
                    self.judge((OTHER,), (), text, partial=True).is_green
                )

    def test_run_without_a_passed_test_is_not_green(self):
        self.assertFalse(self.judge((), (D,), SOMETIMES).is_green)

    def test_name_that_only_begins_like_a_listed_one_is_not_tolerated(self):
        self.assertFalse(self.judge((OTHER,), (C, D, f'{C}_2')).is_green)

    def test_subtest_counts_as_its_test(self):
        class Inner(unittest.TestCase):
            def test_inner(self):
                with self.subTest(seed=1):
                    self.fail()

        result = TimedResult(open('/dev/null', 'w'), False, 0)
        self.addCleanup(result.stream.close)
        inner = Inner('test_inner')
        inner.run(result)
        ((failure, _),) = result.failures
        self.assertEqual(get_test_id(failure), inner.id())


if __name__ == '__main__':
    unittest.main()
