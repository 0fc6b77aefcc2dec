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

"""Unit tests of small parts of a fleet router."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.path.event_relay import EventRelay
from lifttrestle.internal.fleet.path.event_relay import MAX_EVENT_BYTES
from lifttrestle.internal.fleet.policy.retry_budget import SharedRetryBudget
from lifttrestle.internal.fleet.policy.router_share import RouterShare
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.fleet.state.directory import OUTAGE_GRACE_SECONDS
from lifttrestle.internal.fleet.state.upstream import SILENT_SECONDS
from tests.support.directories import DirectoryCase
from tests.support.directories import START


def make_clock():
    return ManualClock(START)


class TestRetryBudget(unittest.TestCase):
    @given(
        st.integers(1, 12),
        st.lists(
            st.tuples(st.integers(0, 11), st.floats(0, 2), st.booleans()),
            max_size=200,
        ),
    )
    def test_retries_of_all_routers_stay_within_the_budget(self, live, events):
        promises = Promises(retry_slack=56.0)
        clock = make_clock()
        budgets = [SharedRetryBudget(promises, clock) for _ in range(live)]
        requests = []
        retries = []
        for router, pause, is_retry in events:
            clock.advance(pause)
            now = clock.monotonic()
            budget = budgets[router % live]
            if not is_retry:
                budget.note_request()
                requests.append(now)
            elif budget.take([RouterShare(live, router % live)]):
                retries.append(now)
            oldest = now - promises.retry_window_seconds
            spent = sum(at >= oldest for at in retries)
            earned = sum(at >= oldest for at in requests)
            # A retry that was earned may outlive the request that earned it
            # by one window, which the rule allows for.
            earlier = sum(
                at >= oldest - promises.retry_window_seconds for at in requests
            )
            whole = 0.2 * max(earned, earlier) + 56.0
            self.assertLessEqual(spent, whole)

    def test_slack_is_divided_among_all_routers(self):
        budget = SharedRetryBudget(Promises(retry_slack=24.0), make_clock())
        taken = 0
        while budget.take([RouterShare(12, 0)]):
            taken += 1
        self.assertEqual(taken, 1)


class FakeConnection:
    def __init__(self):
        self.sent = b''
        self.ended = False

    async def start_answer(self, status, headers):
        self.status = status

    async def send_part(self, data):
        self.sent += data

    async def end_answer(self):
        self.ended = True


class TestEventRelay(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.connection = FakeConnection()
        self.relay = EventRelay(self.connection, None)
        self.relay.begin_stream(200, ())

    async def test_incomplete_event_is_not_sent(self):
        await self.relay.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        self.assertEqual(self.connection.sent, b'id: 1\ndata: a\n\n')
        await self.relay.feed(b'ta: b\n\n')
        self.assertEqual(self.relay.last_event_id, 2)

    async def test_nothing_is_sent_before_the_first_event(self):
        await self.relay.feed(b'id: 1\n')
        self.assertFalse(self.relay.started)

    async def test_resumed_stream_neither_repeats_nor_joins_events(self):
        await self.relay.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        self.relay.begin_stream(200, ())
        await self.relay.feed(b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
        await self.relay.finish()
        expected = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
        self.assertEqual(self.connection.sent, expected)
        self.assertTrue(self.connection.ended)

    async def test_stream_that_ends_within_an_event_is_not_completed(self):
        await self.relay.feed(b'id: 1\ndata: a\n\nid: 2')
        with self.assertRaises(UpstreamLost):
            await self.relay.finish()
        self.assertFalse(self.connection.ended)

    async def test_regression_many_events_counted_as_one_that_is_too_long(
        self,
    ):
        event = b'data: ' + b'x' * 1000 + b'\r\n\r\n'
        data = event * (2 * MAX_EVENT_BYTES // len(event))
        await self.relay.feed(data)
        self.assertEqual(self.connection.sent, data)

    async def test_event_that_is_too_long_ends_the_stream(self):
        short = b'data: a\n\n'
        for end in (b'', b'\n\n'):
            with self.subTest(end=end):
                self.setUp()
                long = b'data: ' + b'x' * MAX_EVENT_BYTES + end
                with self.assertRaises(UpstreamLost):
                    await self.relay.feed(short + long)
                self.assertEqual(self.connection.sent, short)

    async def test_lines_before_the_id_are_kept(self):
        event = b'weight-versions: 4\nid: 1\ndata: a\n\n'
        await self.relay.feed(event)
        self.assertEqual(self.connection.sent, event)
        self.assertEqual(self.relay.last_event_id, 1)

    @given(st.lists(st.integers(1, 9), min_size=1, max_size=9))
    def test_ids_sent_to_the_caller_increase(self, numbers):
        import asyncio

        connection = FakeConnection()
        relay = EventRelay(connection, None)
        relay.begin_stream(200, ())
        for number in numbers:
            asyncio.run(relay.feed(f'id: {number}\n\n'.encode()))
        sent = [
            int(line[4:])
            for line in connection.sent.decode().split('\n')
            if line
        ]
        self.assertEqual(sent, sorted(set(sent)))


class TestDirectory(DirectoryCase):
    def test_draining_and_removed_entries_are_not_available(self):
        self.put('a')
        self.put('b')
        self.put('c')
        self.put('a', state='draining')
        self.take('b', None)
        self.assertEqual(self.list_available(), ['c'])

    def test_entry_that_expired_in_an_outage_is_used_for_the_grace_period(
        self,
    ):
        self.put('a')
        self.directory.outage_until = self.clock.monotonic()
        self.take('a', None)
        self.assertEqual(self.list_available(), ['a'])
        self.clock.advance(OUTAGE_GRACE_SECONDS + 0.1)
        self.assertEqual(self.list_available(), [])

    def test_entry_that_returns_after_an_outage_remains_available(self):
        self.put('a')
        self.directory.outage_until = self.clock.monotonic()
        self.take('a', None)
        self.clock.advance(1.0)
        self.put('a')
        self.clock.advance(60.0)
        self.assertEqual(self.list_available(), ['a'])

    def test_older_weights_do_not_replace_newer_ones(self):
        self.put('a', models=[3])
        self.put('a', models=[2])
        self.assertEqual(self.directory.get('a').weights, {'m': 3})

    def test_silence_is_measured_from_the_oldest_unanswered_request(self):
        self.put('a')
        upstream = self.directory.get('a')
        upstream.note_sent(1, 10.0)
        self.assertFalse(upstream.is_silent(10.0 + 0.9 * SILENT_SECONDS))
        self.assertTrue(upstream.is_silent(10.0 + 1.1 * SILENT_SECONDS))
        upstream.last_received_at = 12.0
        self.assertFalse(upstream.is_silent(12.0 + 0.9 * SILENT_SECONDS))
        self.assertTrue(upstream.is_silent(12.0 + 1.1 * SILENT_SECONDS))
        upstream.note_ended(1)
        self.assertFalse(upstream.is_silent(99.0))
