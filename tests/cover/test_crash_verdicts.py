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

"""Tests of which requests and prompt parts are at fault for crashes."""

import asyncio
import types
import unittest
from unittest import mock

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.exchange.progress import RequestProgress
from lifttrestle.internal.fleet.crashes.hold_rules import CRASH_LIMIT
from lifttrestle.internal.fleet.crashes.hold_rules import EPISODE_SECONDS
from lifttrestle.internal.fleet.crashes.ledger import YOUNG_SECONDS
from lifttrestle.internal.fleet.crashes.lost_origins import RequestOrigin
from lifttrestle.internal.fleet.crashes.suspects import set_kind
from lifttrestle.internal.fleet.crashes.suspects import SuspectKind
from lifttrestle.internal.fleet.crashes.tracker import SOUND_WRITING_SECONDS
from lifttrestle.internal.fleet.crashes.verdicts import judge
from lifttrestle.internal.fleet.crashes.verdicts import PART_CRASH_LIMIT
from lifttrestle.internal.fleet.crashes.verdicts import Suspect
from lifttrestle.internal.fleet.path.hold_check import check_held
from lifttrestle.internal.fleet.path.request_context import RequestContext
from tests.support.crash_fleet import CrashFleet

FIRST = set_kind(1, SuspectKind.FIRST_PART)
GUILTY = set_kind(2, SuspectKind.PART)
OTHER_GUILTY = set_kind(3, SuspectKind.PART)
RARE = set_kind(4, SuspectKind.PART)
POPULAR = set_kind(5, SuspectKind.PART)
REQUEST = set_kind(6, SuspectKind.REQUEST)
OTHER_REQUEST = set_kind(7, SuspectKind.REQUEST)
GAP_SECONDS = 0.1
MAX_RECORDS = 'lifttrestle.internal.fleet.crashes.ledger.MAX_RECORDS'


def make_suspect(digest, starts, succeeded=False, gap_seconds=GAP_SECONDS):
    """Return a suspect of crashes of starts, which are a short time apart."""
    kind = SuspectKind(digest >> 62)
    crashed_at = {start: start * gap_seconds for start in starts}
    return Suspect(digest, kind, crashed_at, succeeded)


class TestVerdicts(unittest.TestCase):
    def check(self, guilty, *suspects):
        """Check who is guilty, whatever the order of the suspects."""
        self.assertEqual(judge(suspects).guilty, set(guilty))
        self.assertEqual(judge(reversed(suspects)).guilty, set(guilty))

    def test_part_is_guilty_before_the_fifth_crash(self):
        self.assertLess(PART_CRASH_LIMIT, 5)
        starts = range(PART_CRASH_LIMIT)
        self.check([GUILTY], make_suspect(GUILTY, starts))
        self.check([], make_suspect(GUILTY, starts[1:]))

    def test_guilty_part_explains_the_crashes_of_its_neighbours(self):
        self.check(
            [GUILTY],
            make_suspect(GUILTY, range(6)),
            make_suspect(RARE, range(1, 5)),
            make_suspect(REQUEST, range(4)),
        )

    def test_second_guilty_part_is_known_by_few_crashes_of_its_own(self):
        self.check(
            [GUILTY, OTHER_GUILTY],
            make_suspect(GUILTY, range(6)),
            make_suspect(OTHER_GUILTY, range(3, 8)),
            make_suspect(RARE, range(2, 7)),
        )

    def test_neighbour_with_further_crashes_is_guilty_too(self):
        self.check(
            [GUILTY, OTHER_GUILTY],
            make_suspect(GUILTY, range(6)),
            make_suspect(OTHER_GUILTY, range(5, 10)),
        )

    def test_guilty_request_beside_a_guilty_part(self):
        self.check(
            [GUILTY, REQUEST],
            make_suspect(GUILTY, range(6)),
            make_suspect(REQUEST, range(5, 6 + CRASH_LIMIT)),
            make_suspect(OTHER_REQUEST, range(3)),
        )

    def test_parts_of_a_request_that_crashes_are_not_held(self):
        starts = range(PART_CRASH_LIMIT)
        self.check(
            [REQUEST],
            make_suspect(REQUEST, starts),
            make_suspect(GUILTY, starts),
        )

    def test_part_at_crashes_of_other_requests_is_no_requests_fault(self):
        self.check(
            [GUILTY],
            make_suspect(REQUEST, range(CRASH_LIMIT)),
            make_suspect(GUILTY, range(PART_CRASH_LIMIT)),
        )

    def test_first_part_of_all_requests_is_not_held_for_one_between(self):
        self.check(
            [GUILTY],
            make_suspect(FIRST, range(9)),
            make_suspect(GUILTY, range(7)),
        )

    def test_first_part_that_never_succeeded_is_held(self):
        starts = range(PART_CRASH_LIMIT)
        self.check([FIRST], make_suspect(FIRST, starts))

    def test_part_that_succeeded_is_held_after_several_waves(self):
        waves = range(PART_CRASH_LIMIT)
        apart = 2 * EPISODE_SECONDS
        self.check(
            [FIRST],
            make_suspect(FIRST, waves, succeeded=True, gap_seconds=apart),
        )

    def test_herd_of_crashes_speaks_against_no_part_that_succeeded(self):
        self.check([], make_suspect(POPULAR, range(9), succeeded=True))

    def test_parts_that_always_come_together_are_both_held(self):
        starts = range(PART_CRASH_LIMIT)
        self.check(
            [GUILTY, OTHER_GUILTY],
            make_suspect(GUILTY, starts),
            make_suspect(OTHER_GUILTY, starts),
        )


class TestTracking(unittest.TestCase):
    """What routers conclude together."""

    def setUp(self):
        self.fleet = CrashFleet(routers=8, upstreams=8)

    def crash(self, router, upstream, *requests):
        """Crash an upstream under requests, each a digest and its parts."""
        tracker = self.fleet.trackers[router]
        known = self.fleet.directories[router].get(f'p{upstream}')
        for digest, parts in requests:
            origin = RequestOrigin('acme', 'text', parts)
            tracker.note_lost(digest, origin, known)
        self.fleet.crash(router, upstream, [])
        self.fleet.send_updates()

    def test_crashes_at_different_routers_are_added_up(self):
        for number in range(PART_CRASH_LIMIT):
            self.crash(number, number, (100 + number, (FIRST, GUILTY)))
        self.assertEqual(self.fleet.count_holding(GUILTY), 8)
        self.assertEqual(self.fleet.count_holding(FIRST), 0)

    def test_part_is_known_to_a_large_fleet_without_rows(self):
        self.fleet = CrashFleet(routers=60, upstreams=8)
        for number in range(PART_CRASH_LIMIT):
            parts = (FIRST, GUILTY)
            self.crash(7 * number, number, (100 + number, parts))
        self.fleet.send_updates()
        self.assertEqual(self.fleet.count_holding(GUILTY), 60)

    def test_three_crashes_of_one_router_and_one_of_another(self):
        self.fleet = CrashFleet(routers=60, upstreams=8)
        others = [
            number
            for number, tracker in enumerate(self.fleet.trackers)
            if not tracker.replicator.is_owner(GUILTY)
        ]
        for number in range(PART_CRASH_LIMIT):
            router = others[0] if number else others[1]
            self.crash(router, number, (100 + number, (FIRST, GUILTY)))
        self.fleet.send_updates()
        self.assertEqual(self.fleet.count_holding(GUILTY), 60)

    def test_evicted_record_does_not_end_a_hold(self):
        for number in range(PART_CRASH_LIMIT):
            self.crash(0, number, (100 + number, (FIRST, GUILTY)))
        tracker = self.fleet.trackers[0]
        self.fleet.clock.advance(1.0)
        asyncio.run(tracker.holds.write_due())
        with mock.patch(MAX_RECORDS, 1):
            self.crash(0, 7, *((900 + number, ()) for number in range(12)))
        self.fleet.clock.advance(1.0)
        asyncio.run(tracker.holds.write_due())
        self.assertTrue(tracker.is_held(GUILTY))

    def test_first_part_is_held_unless_all_routers_have_just_started(self):
        for seconds, holding in ((0.0, 0), (YOUNG_SECONDS, 8)):
            with self.subTest(seconds=seconds):
                self.setUp()
                self.fleet.clock.advance(seconds)
                for number in range(PART_CRASH_LIMIT):
                    self.crash(number, number, (100 + number, (FIRST,)))
                self.assertEqual(self.fleet.count_holding(FIRST), holding)

    def test_neighbours_are_released_when_the_part_is_known(self):
        for number in range(CRASH_LIMIT):
            self.crash(
                number,
                number,
                (100 + number, (FIRST, GUILTY)),
                (REQUEST, (FIRST, RARE)),
            )
        self.assertEqual(self.fleet.count_holding(REQUEST), 8)
        self.crash(7, 7, (200, (FIRST, GUILTY)))
        self.assertEqual(self.fleet.count_holding(GUILTY), 8)
        for digest in (REQUEST, FIRST, RARE):
            self.assertEqual(self.fleet.count_holding(digest), 0)

    def test_good_end_clears_a_part_at_all_routers(self):
        for number in range(PART_CRASH_LIMIT):
            self.crash(number, number, (100 + number, (FIRST, RARE)))
        self.fleet.trackers[5].note_success(300, (FIRST, RARE))
        self.fleet.send_updates()
        self.assertEqual(self.fleet.count_holding(RARE), 0)

    def test_stream_that_was_written_for_long_clears_its_parts(self):
        tracker = self.fleet.trackers[0]
        origin = RequestOrigin('acme', 'text', (FIRST, RARE))
        for number in range(PART_CRASH_LIMIT):
            known = self.fleet.directories[0].get(f'p{number}')
            tracker.note_lost(100, origin, known, SOUND_WRITING_SECONDS)
            self.fleet.crash(0, number, [])
        self.assertEqual(tracker.list_held((FIRST, RARE)), [])

    def test_part_of_many_callers_that_ends_well_elsewhere_is_not_held(self):
        self.fleet.trackers[6].note_success(300, (FIRST, POPULAR))
        for number in range(PART_CRASH_LIMIT):
            self.crash(number, number, (100 + number, (FIRST, POPULAR)))
        # A router that has seen it succeed replies to those that tell of it.
        self.fleet.send_updates()
        self.assertEqual(self.fleet.count_holding(POPULAR), 0)


class TestTrials(unittest.TestCase):
    def make_request(self, held):
        """Return a request whose digests are held and may all be tried."""
        crashes = mock.Mock()
        crashes.list_held.return_value = held
        crashes.may_run_trial.return_value = True
        return RequestContext(
            parts=types.SimpleNamespace(crashes=crashes),
            facts=None,
            admitted=None,
            event_buffer=None,
            progress=RequestProgress(),
            received_at=0.0,
            deadline=1.0,
            binding=None,
        )

    def test_one_held_part_may_be_tried(self):
        check_held(self.make_request([GUILTY]))

    def test_request_with_two_held_parts_is_refused(self):
        request = self.make_request([GUILTY, RARE])
        with self.assertRaises(RequestRefused) as caught:
            check_held(request)
        self.assertIn(f'{GUILTY:016x}', caught.exception.message)
