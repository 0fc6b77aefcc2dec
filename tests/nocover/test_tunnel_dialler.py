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

"""Tests of opening a connection through another router."""

import asyncio
import types
import unittest

from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.fleet.state.relay_messages import read_frame
from lifttrestle.internal.fleet.tunnels.dialler import TunnelDialler
from lifttrestle.internal.fleet.tunnels.messages import encode_chunk
from lifttrestle.internal.fleet.tunnels.messages import encode_mark
from lifttrestle.internal.fleet.tunnels.messages import MAX_REQUEST_BYTES
from lifttrestle.internal.fleet.tunnels.messages import STOPPING
from lifttrestle.internal.fleet.tunnels.messages import TunnelStatus

KEY = 'router/other'


class FakeRoster:
    """Knows one other router."""

    key = 'router/own'
    data_centre = 'a'

    def __init__(self, address):
        self._address = address

    def list_tunnel_peers(self):
        return {KEY: 'a'}

    def get_tunnel_address(self, key):
        return self._address


def make_upstream():
    return types.SimpleNamespace(
        start='p1 1',
        digest=1,
        instance='p1',
        entry=types.SimpleNamespace(service='plain'),
        pool=types.SimpleNamespace(address=None),
    )


class TestOpening(unittest.IsolatedAsyncioTestCase):
    async def _open(self, *parts):
        """Return the stream through a router that sends these parts."""

        async def serve(reader, writer):
            await read_frame(reader, MAX_REQUEST_BYTES)
            for part in parts:
                writer.write(part)
                await writer.drain()

        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addAsyncCleanup(listener.wait_closed)
        self.addCleanup(listener.close)
        host, port = listener.sockets[0].getsockname()
        roster = FakeRoster(f'{host}:{port}')
        dialler = TunnelDialler(roster, SystemClock())
        connection = await dialler.open(make_upstream())
        self.addCleanup(connection.close)
        return connection._stream

    async def test_regression_mark_beside_the_status_failed_the_tunnel(self):
        status = bytes([TunnelStatus.CONNECTED])
        mark, answer = encode_mark(STOPPING), encode_chunk(b'answer')
        for parts in (
            (status + mark, answer),
            (status + mark[:1], mark[1:] + answer),
            (status, mark + answer),
        ):
            with self.subTest(parts=parts):
                stream = await self._open(*parts)
                self.assertEqual(await stream.read(), b'answer')
                self.assertFalse(stream.is_idle)


if __name__ == '__main__':
    unittest.main()
