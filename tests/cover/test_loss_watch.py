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

"""Tests of the detection of crashes after aborted answers."""

import math

import msgspec

from lifttrestle.internal.fleet.crashes.loss_watch import LossWatch
from lifttrestle.internal.fleet.crashes.loss_watch import MAX_STARTS
from lifttrestle.internal.fleet.crashes.loss_watch import REFUSED_SECONDS
from tests.support.directories import DirectoryCase
from tests.support.entries import make_entry

HEARTBEAT = 1.2
BORN = 1_767_225_600_000
DIGEST = 0xCAE7


class TestLossWatch(DirectoryCase):
    def setUp(self):
        super().setUp()
        self.watch = LossWatch(self.clock, HEARTBEAT)
        self.crashed = []
        self.retracted = []
        self.watch.on_crashed = lambda digest, _: self.crashed.append(digest)
        self.watch.on_crash_retracted = lambda digest, _: (
            self.retracted.append(digest)
        )
        self.directory.on_ended = self.watch.note_ended
        self.list('p1')
        self.upstream = self.directory.get('p1')

    def list(self, instance, born=BORN, **fields):
        entry = make_entry(born=born, **fields)
        self.take(instance, msgspec.json.encode(entry))

    def lose(self, digest=DIGEST):
        self.watch.note_lost(digest, self.upstream)

    def sweep(self, seconds):
        self.clock.advance(seconds)
        self.watch.sweep(lambda start: self.directory.get_start(start))

    def test_aborted_answer_alone_is_no_crash(self):
        self.lose()
        self.assertTrue(self.upstream.reach.is_due(self.clock.monotonic()))
        self.sweep(60.0)
        self.assertEqual(self.crashed, [])

    def test_refused_connection_is_a_crash(self):
        self.lose()
        self.watch.note_probed(self.upstream.start, False, True)
        self.assertEqual(self.crashed, [DIGEST])

    def test_connect_timeout_is_no_crash(self):
        self.lose()
        self.watch.note_probed(self.upstream.start, False, False)
        self.assertEqual(self.crashed, [])

    def test_connection_refused_later_is_no_crash(self):
        self.lose()
        self.clock.advance(REFUSED_SECONDS + 0.1)
        self.watch.note_probed(self.upstream.start, False, True)
        self.assertEqual(self.crashed, [])

    def test_newer_start_under_its_name_is_a_crash(self):
        self.lose()
        # The next start already listens at the same address.
        self.watch.note_probed(self.upstream.start, True, False)
        self.list('p1', BORN + 500)
        self.assertEqual(self.crashed, [DIGEST])

    def test_regression_crash_of_an_unread_start_was_the_one_before(self):
        for evidence in ((False, True), (True, False)):
            with self.subTest(evidence=evidence):
                self.setUp()
                self.lose()
                self.watch.note_probed(self.upstream.start, *evidence)
                self.clock.advance(0.3)
                # Sent to the next start, whose entry has not been read.
                sent_at = self.clock.monotonic()
                self.clock.advance(0.1)
                self.watch.note_lost(DIGEST, self.upstream, sent_at)
                self.list('p1', BORN + 500)
                newer = self.directory.get('p1')
                self.watch.note_listed(newer)
                self.watch.note_probed(newer.start, False, True)
                self.assertEqual(self.crashed, [DIGEST, DIGEST])

    def test_loss_may_be_noted_after_the_next_start_was_read(self):
        self.lose()
        self.watch.note_probed(self.upstream.start, False, True)
        self.clock.advance(0.3)
        sent_at = self.clock.monotonic()
        self.list('p1', BORN + 500)
        newer = self.directory.get('p1')
        self.watch.note_listed(newer)
        self.clock.advance(0.1)
        self.watch.note_lost(DIGEST, self.upstream, sent_at)
        self.watch.note_probed(newer.start, False, True)
        self.assertEqual(self.crashed, [DIGEST, DIGEST])

    def test_regression_loss_by_a_start_that_was_replaced_was_forgotten(self):
        before = self.upstream
        sent_at = self.clock.monotonic()
        self.clock.advance(0.3)
        began = int(self.clock.now().timestamp() * 1000)
        self.list('p1', began)
        newer = self.directory.get('p1')
        self.watch.note_listed(newer)
        # This router has not noted the crash of the start before.
        self.watch.note_lost(DIGEST, before, sent_at)
        self.assertEqual(self.crashed, [DIGEST])
        self.clock.advance(0.1)
        self.watch.note_lost(DIGEST, before, self.clock.monotonic())
        self.watch.note_probed(newer.start, False, True)
        self.assertEqual(self.crashed, [DIGEST, DIGEST])

    def test_loss_by_a_start_before_is_not_carried_to_the_next_but_one(self):
        before = self.upstream
        self.lose()
        self.watch.note_probed(before.start, False, True)
        self.clock.advance(0.1)
        sent_at = self.clock.monotonic()
        self.clock.advance(0.3)
        began = int(self.clock.now().timestamp() * 1000)
        self.list('p1', began)
        self.watch.note_listed(self.directory.get('p1'))
        self.watch.note_lost(DIGEST, before, sent_at)
        self.list('p1', began + 500)
        newest = self.directory.get('p1')
        self.watch.note_listed(newest)
        self.watch.note_probed(newest.start, False, True)
        self.assertEqual(self.crashed, [DIGEST])

    def test_request_sent_before_the_crash_is_no_loss_of_the_next_start(self):
        self.clock.advance(1.0)
        self.lose()
        self.watch.note_probed(self.upstream.start, False, True)
        self.watch.note_lost(DIGEST, self.upstream, 0.9)
        self.list('p1', BORN + 500)
        newer = self.directory.get('p1')
        self.watch.note_listed(newer)
        self.watch.note_probed(newer.start, False, True)
        self.assertEqual(self.crashed, [DIGEST])

    def test_entry_that_ends_is_a_crash(self):
        self.lose()
        self.take('p1', None)
        self.assertEqual(self.crashed, [DIGEST])

    def test_entry_that_ends_after_it_took_a_connection_is_none(self):
        # The upstream may stop without notice, and the answer may have been
        # aborted for another reason.
        self.lose()
        self.watch.note_probed(self.upstream.start, True, False)
        self.take('p1', None)
        self.assertEqual(self.crashed, [])

    def test_end_after_draining_is_no_crash(self):
        self.list('p1', state='draining')
        self.lose()
        self.take('p1', None)
        self.list('p1')
        self.upstream = self.directory.get('p1')
        self.lose()
        self.list('p1', state='draining')
        self.take('p1', None)
        self.assertEqual(self.crashed, [])

    def test_answer_to_a_later_request_retracts_the_crash(self):
        now = self.clock.monotonic()
        self.lose()
        self.clock.advance(0.1)
        # The request was sent before the loss and its answer read after it.
        self.watch.note_answered(self.upstream, now - 0.1)
        self.watch.note_probed(self.upstream.start, False, True)
        self.assertEqual((self.crashed, self.retracted), ([DIGEST], []))
        self.watch.note_answered(self.upstream, now + 0.1)
        self.assertEqual(self.retracted, [DIGEST])

    def test_crash_of_a_start_that_stays_listed_is_retracted(self):
        self.lose()
        self.watch.note_probed(self.upstream.start, False, True)
        self.sweep(60.0)
        self.assertEqual(self.retracted, [DIGEST])

    def test_nothing_is_retracted_while_the_list_is_not_current(self):
        self.watch.get_list_settled_seconds = lambda: 0.0
        self.lose()
        self.watch.note_probed(self.upstream.start, False, True)
        self.sweep(60.0)
        self.assertEqual(self.retracted, [])
        self.watch.get_list_settled_seconds = lambda: math.inf
        self.take('p1', None)
        self.sweep(1.0)
        self.assertEqual(self.retracted, [])

    def test_all_lost_requests_are_reported_once(self):
        for digest in (1, 2):
            self.lose(digest)
        self.watch.note_probed(self.upstream.start, False, True)
        self.lose(3)
        self.lose(3)
        self.assertEqual(self.crashed, [1, 2, 3])

    def test_watched_starts_are_bounded(self):
        for number in range(2 * MAX_STARTS):
            self.list(f'q{number}')
            self.watch.note_lost(DIGEST, self.directory.get(f'q{number}'))
        self.assertEqual(len(self.watch._losses), MAX_STARTS)
