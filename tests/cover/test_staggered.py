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

"""Tests of asking several routers for a connection."""

import asyncio
import unittest

from lifttrestle.internal.fleet.tunnels.staggered import connect_first
from lifttrestle.internal.http.stream import Stream

STAGGER_SECONDS = 0.01
FOREVER_SECONDS = 60.0


class FakeStream(Stream):
    """A connection that records whether it was closed."""

    is_idle = True

    def __init__(self):
        self.closed = False

    async def read(self):
        return b''

    async def write(self, data):
        pass

    def abort(self):
        self.closed = True


class TestConnectFirst(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.asked = []
        self.streams = {}
        # Seconds until a router answers, or the error that it answers with.
        self.answers = {}

    async def _connect(self, peer):
        self.asked.append(peer)
        answer = self.answers[peer]
        if isinstance(answer, Exception):
            raise answer
        stream = self.streams[peer] = FakeStream()
        await asyncio.sleep(answer)
        return stream

    async def _ask(self, stagger_seconds=STAGGER_SECONDS, **answers):
        self.answers = answers
        return await connect_first(
            self._connect, list(answers), stagger_seconds
        )

    async def test_others_are_not_asked_if_the_first_one_answers(self):
        first = await self._ask(a=0.0, b=0.0)
        self.assertEqual(
            (first.peer, first.failures, self.asked), ('a', {}, ['a'])
        )

    async def test_next_one_is_asked_at_once_after_a_failure(self):
        answers = {'a': OSError('cut off'), 'b': TimeoutError(), 'c': 0.0}
        async with asyncio.timeout(FOREVER_SECONDS):
            first = await self._ask(2 * FOREVER_SECONDS, **answers)
        self.assertEqual(first.peer, 'c')
        self.assertEqual(first.failures, {'a': 'cut off', 'b': 'timed out'})

    async def test_regression_slow_answer_counted_as_a_failure(self):
        first = await self._ask(a=5 * STAGGER_SECONDS, b=OSError('cut off'))
        self.assertEqual(first.peer, 'a')

    async def test_slower_one_is_named_and_left(self):
        first = await self._ask(a=FOREVER_SECONDS, b=0.0)
        self.assertEqual(first.peer, 'b')
        self.assertEqual(first.failures, {'a': 'slower than b'})

    async def test_second_of_two_connections_made_at_once_is_closed(self):
        made = asyncio.Event()
        streams = {'a': FakeStream(), 'b': FakeStream()}

        async def connect(peer):
            if peer == 'b':
                asyncio.get_running_loop().call_soon(made.set)
            await made.wait()
            return streams[peer]

        first = await connect_first(connect, ['a', 'b'], STAGGER_SECONDS)
        self.assertIs(first.stream, streams['a'])
        self.assertFalse(streams['a'].closed)
        self.assertTrue(streams['b'].closed)

    async def test_nothing_is_left_when_all_failed(self):
        first = await self._ask(a=OSError('x'), b=OSError('y'))
        self.assertEqual((first.peer, first.stream), ('', None))
        self.assertEqual(first.failures, {'a': 'x', 'b': 'y'})

    async def test_no_router_is_known(self):
        first = await self._ask()
        self.assertEqual((first.peer, first.failures), ('', {}))
