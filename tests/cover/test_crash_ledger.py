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

"""Tests of the crash records of requests and of the rules for holds."""

import datetime
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.crashes.hold_rules import allows_trial
from lifttrestle.internal.fleet.crashes.hold_rules import choose_evicted
from lifttrestle.internal.fleet.crashes.hold_rules import CRASH_LIMIT
from lifttrestle.internal.fleet.crashes.hold_rules import EARLY_TRIAL_SECONDS
from lifttrestle.internal.fleet.crashes.hold_rules import EPISODE_SECONDS
from lifttrestle.internal.fleet.crashes.hold_rules import HOLD_SECONDS
from lifttrestle.internal.fleet.crashes.hold_rules import is_dangerous
from lifttrestle.internal.fleet.crashes.hold_rules import LAST_TRIAL_SECONDS
from lifttrestle.internal.fleet.crashes.hold_rules import TRIAL_REFUSALS
from lifttrestle.internal.fleet.crashes.hold_rules import TRIAL_SECONDS
from lifttrestle.internal.fleet.crashes.ledger import CrashLedger
from lifttrestle.internal.fleet.crashes.ledger import MAX_RECORDS
from lifttrestle.internal.fleet.crashes.messages import CrashItem
from lifttrestle.internal.fleet.path.dialect import RequestFacts
from lifttrestle.internal.fleet.path.request_digest import build_request_digest
from lifttrestle.internal.fleet.policy.admission import AdmittedRequest
from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.http.head import RequestHead

START = datetime.datetime(2026, 12, 3, tzinfo=datetime.timezone.utc)
DIGEST = 0xCAE7
STARTS = list(range(100, 100 + CRASH_LIMIT))


def make_ledger():
    """Return an empty ledger and its clock."""
    clock = ManualClock(START)
    return CrashLedger(clock), clock


class TestHoldRules(unittest.TestCase):
    def test_dangerous_after_three_crashes(self):
        self.assertFalse(is_dangerous([0.0, 0.1], succeeded=False))
        self.assertTrue(is_dangerous([0.0, 0.1, 0.1], succeeded=False))

    def test_group_of_crashes_counts_once_after_a_success(self):
        group = [EPISODE_SECONDS * share for share in (0.0, 0.3, 0.6, 1.0)]
        self.assertFalse(is_dangerous(group, succeeded=True))
        again = [time + 5.0 * turn for turn in range(2) for time in group]
        self.assertFalse(is_dangerous(again, succeeded=True))
        again.append(20.0)
        self.assertTrue(is_dangerous(again, succeeded=True))

    def test_trial_is_allowed_by_age_and_refusals(self):
        for seconds, refusals, trials, allowed in (
            (0.5, 1000, 0, False),
            (EARLY_TRIAL_SECONDS, TRIAL_REFUSALS, 0, True),
            (TRIAL_SECONDS - 1, TRIAL_REFUSALS - 1, 0, False),
            (TRIAL_SECONDS, 0, 0, True),
            (TRIAL_SECONDS, 1000, 1, False),
            (LAST_TRIAL_SECONDS, 0, 1, True),
            (HOLD_SECONDS, 1000, 2, False),
        ):
            with self.subTest(seconds=seconds, trials=trials):
                found = allows_trial(seconds, refusals=refusals, trials=trials)
                self.assertIs(found, allowed)

    def test_evicts_from_the_workspace_with_most_holds(self):
        workspaces = {1: 'acme', 2: 'vault', 3: 'vault', 4: 'acme', 5: 'vault'}
        self.assertEqual(choose_evicted(workspaces), 2)


class TestLedger(unittest.TestCase):
    def test_crash_of_a_start_counts_once(self):
        ledger, _ = make_ledger()
        for _ in range(CRASH_LIMIT):
            ledger.note_crashes(DIGEST, STARTS[:1])
        self.assertFalse(ledger.is_dangerous(DIGEST))
        self.assertFalse(ledger.note_crashes(DIGEST, STARTS[:1]))
        ledger.note_crashes(DIGEST, STARTS)
        self.assertTrue(ledger.is_dangerous(DIGEST))

    def test_crashes_of_three_routers_are_added_up(self):
        ledger, _ = make_ledger()
        for start in STARTS:
            ledger.merge(CrashItem(DIGEST, [start]))
        self.assertTrue(ledger.is_dangerous(DIGEST))

    def test_lost_upstream_counts_before_its_crash_is_confirmed(self):
        ledger, _ = make_ledger()
        ledger.note_crashes(DIGEST, STARTS[:2])
        self.assertFalse(ledger.is_dangerous(DIGEST))
        self.assertTrue(ledger.is_dangerous(DIGEST, unconfirmed=1))

    def test_success_clears_crashes(self):
        ledger, _ = make_ledger()
        ledger.note_crashes(DIGEST, STARTS)
        self.assertTrue(ledger.note_success(DIGEST))
        self.assertFalse(ledger.is_dangerous(DIGEST))
        # A stale update reports the same crashes again.
        ledger.merge(CrashItem(DIGEST, STARTS))
        self.assertFalse(ledger.is_dangerous(DIGEST))

    def test_earlier_success_is_sent_to_a_router_without_it(self):
        ledger, _ = make_ledger()
        ledger.note_success(DIGEST)
        self.assertTrue(ledger.merge(CrashItem(DIGEST, STARTS)))
        self.assertFalse(ledger.is_dangerous(DIGEST))
        known = CrashItem(DIGEST, STARTS, succeeded=True)
        self.assertFalse(ledger.merge(known))

    def test_crashes_expire(self):
        ledger, clock = make_ledger()
        ledger.note_crashes(DIGEST, STARTS)
        clock.advance(HOLD_SECONDS + 1)
        self.assertFalse(ledger.is_dangerous(DIGEST))

    def test_records_are_bounded(self):
        ledger, _ = make_ledger()
        for digest in range(2 * MAX_RECORDS):
            ledger.note_crashes(digest, [1])
            ledger.note_success(digest)
        self.assertEqual(len(ledger._records), MAX_RECORDS)
        self.assertLessEqual(len(ledger._succeeded), 2 * MAX_RECORDS)
        ledger.note_crashes(DIGEST, list(range(5000)))
        self.assertLess(ledger.count_crashed(DIGEST), 100)

    items = st.builds(
        CrashItem,
        st.just(DIGEST),
        st.lists(st.sampled_from(STARTS), unique=True),
        st.lists(st.sampled_from(STARTS), unique=True),
        st.booleans(),
    )

    @given(st.lists(items, max_size=6), st.randoms())
    def test_order_and_repeats_make_no_difference(
        self, items: list[CrashItem], source: random.Random
    ):
        outcomes = []
        for _ in range(2):
            ledger, _clock = make_ledger()
            for item in items:
                ledger.merge(item)
            merged = ledger.build_item(DIGEST)
            outcomes.append(
                (
                    sorted(merged.crashed),
                    sorted(merged.retracted),
                    merged.succeeded,
                )
            )
            items = items + source.sample(items, len(items) // 2)
            source.shuffle(items)
        self.assertEqual(*outcomes)


class TestDigest(unittest.TestCase):
    def build(self, workspace='acme', target='/a?b=c', body=b'grid', **fields):
        admitted = AdmittedRequest(
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            Workspace(workspace, None, False) if workspace else None,
        )
        facts = RequestFacts('r', 'shop', '/a', 'k', None, None, None)
        head = RequestHead(fields.pop('method', 'POST'), target, **fields)
        return build_request_digest(admitted, facts.host, head, body)

    def test_headers_are_not_part_of_the_digest(self):
        headers = (('request-id', 'r2'), ('last-event-id', '7'))
        self.assertEqual(self.build(), self.build(headers=headers))

    def test_workspace_method_target_and_body_are_part_of_it(self):
        others = (
            self.build('vault'),
            self.build(''),
            self.build(target='/a?b=d'),
            self.build(target='/a'),
            self.build(method='PUT'),
            self.build(body=b''),
            self.build(body=b'Grid'),
        )
        self.assertEqual(len({self.build(), *others}), len(others) + 1)
