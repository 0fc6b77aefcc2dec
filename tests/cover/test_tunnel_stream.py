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

"""Tests of the byte stream of a connection that another router forwards."""

import collections
import unittest

from lifttrestle.errors import PathLost
from lifttrestle.internal.fleet.tunnels.messages import encode_chunk
from lifttrestle.internal.fleet.tunnels.messages import encode_mark
from lifttrestle.internal.fleet.tunnels.messages import STOPPING
from lifttrestle.internal.fleet.tunnels.messages import UPSTREAM_CLOSED
from lifttrestle.internal.fleet.tunnels.messages import UPSTREAM_RESET
from lifttrestle.internal.fleet.tunnels.stream import TunnelStream
from lifttrestle.internal.http.stream import Stream


class FakeStream(Stream):
    """Returns the given parts in turn, then the end of the stream."""

    def __init__(self, *parts):
        self.parts = collections.deque(parts)
        self.written = b''

    @property
    def is_idle(self):
        return not self.parts

    async def read(self):
        return self.parts.popleft() if self.parts else b''

    async def write(self, data):
        self.written += data

    def abort(self):
        self.parts.clear()


async def read_all(stream):
    parts = []
    while data := await stream.read():
        parts.append(data)
    return b''.join(parts)


class TestTunnelStream(unittest.IsolatedAsyncioTestCase):
    async def test_chunks_are_joined_wherever_they_were_split(self):
        data = encode_chunk(b'first ') + encode_chunk(b'second')
        data += encode_mark(UPSTREAM_CLOSED)
        for size in range(1, len(data) + 1):
            with self.subTest(size=size):
                parts = [
                    data[start : start + size]
                    for start in range(0, len(data), size)
                ]
                stream = TunnelStream(FakeStream(*parts))
                self.assertEqual(await read_all(stream), b'first second')

    async def test_end_of_the_other_router_is_not_the_end_of_the_answer(self):
        for lost in (b'', encode_chunk(b'answer'), encode_chunk(b'an')[:-1]):
            with self.subTest(received=lost):
                stream = TunnelStream(FakeStream(lost))
                with self.assertRaises(PathLost):
                    await read_all(stream)

    async def test_reset_by_the_upstream_is_no_end_and_no_fault_of_the_path(
        self,
    ):
        stream = TunnelStream(FakeStream(encode_mark(UPSTREAM_RESET)))
        with self.assertRaises(OSError) as caught:
            await read_all(stream)
        self.assertNotIsInstance(caught.exception, PathLost)

    async def test_stopping_router_gets_no_further_request(self):
        data = encode_mark(STOPPING) + encode_chunk(b'answer')
        stream = TunnelStream(FakeStream(data))
        self.assertEqual(await stream.read(), b'answer')
        self.assertFalse(stream.is_idle)

    async def test_stream_with_part_of_a_chunk_is_not_idle(self):
        stream = TunnelStream(FakeStream(encode_chunk(b'abc')[:-1]))
        self.assertEqual(await stream.read(), b'ab')
        self.assertFalse(stream.is_idle)

    async def test_requests_are_passed_on_unchanged(self):
        inner = FakeStream()
        await TunnelStream(inner).write(b'GET / HTTP/1.1')
        self.assertEqual(inner.written, b'GET / HTTP/1.1')
