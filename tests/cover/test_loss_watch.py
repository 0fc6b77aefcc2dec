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
        self.sound = []
        self.watch.on_crashed = lambda digest, _: self.crashed.append(digest)
        self.watch.on_crash_retracted = lambda digest, _: self.sound.append(
            digest
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

    def test_lost_connection_alone_is_no_crash(self):
        self.lose()
        self.assertTrue(self.upstream.reach.is_due(self.clock.monotonic()))
        self.sweep(60.0)
        self.assertEqual(self.crashed, [])

    def test_closed_port_is_a_crash(self):
        self.lose()
        self.watch.note_probed(self.upstream.start, False, True)
        self.assertEqual(self.crashed, [DIGEST])

    def test_silence_at_the_address_is_none(self):
        self.lose()
        self.watch.note_probed(self.upstream.start, False, False)
        self.assertEqual(self.crashed, [])

    def test_port_that_closes_later_says_nothing(self):
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

    def test_planned_leave_is_none(self):
        self.list('p1', state='draining')
        self.lose()
        self.take('p1', None)
        self.list('p1')
        self.upstream = self.directory.get('p1')
        self.lose()
        self.list('p1', state='draining')
        self.take('p1', None)
        self.assertEqual(self.crashed, [])

    def test_answer_to_what_was_sent_since_is_a_sign_of_life(self):
        now = self.clock.monotonic()
        self.lose()
        self.clock.advance(0.1)
        # The request was sent before the loss and its answer read after it.
        self.watch.note_answered(self.upstream, now - 0.1)
        self.watch.note_probed(self.upstream.start, False, True)
        self.assertEqual((self.crashed, self.sound), ([DIGEST], []))
        self.watch.note_answered(self.upstream, now + 0.1)
        self.assertEqual(self.sound, [DIGEST])

    def test_cut_that_refuses_connections_is_taken_back(self):
        self.lose()
        self.watch.note_probed(self.upstream.start, False, True)
        self.sweep(60.0)
        self.assertEqual(self.sound, [DIGEST])

    def test_nothing_is_taken_back_while_the_list_is_not_current(self):
        self.watch.is_list_current = lambda: False
        self.lose()
        self.watch.note_probed(self.upstream.start, False, True)
        self.sweep(60.0)
        self.assertEqual(self.sound, [])
        self.watch.is_list_current = lambda: True
        self.take('p1', None)
        self.sweep(1.0)
        self.assertEqual(self.sound, [])

    def test_all_that_it_had_under_way_is_told_of(self):
        for digest in (1, 2):
            self.lose(digest)
        self.watch.note_probed(self.upstream.start, False, True)
        self.lose(3)
        self.lose(3)
        self.assertEqual(self.crashed, [1, 2, 3])

    def test_starts_that_are_looked_at_are_bounded(self):
        for number in range(2 * MAX_STARTS):
            self.list(f'q{number}')
            self.watch.note_lost(DIGEST, self.directory.get(f'q{number}'))
        self.assertEqual(len(self.watch._losses), MAX_STARTS)
