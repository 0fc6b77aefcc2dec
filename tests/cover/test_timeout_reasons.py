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

"""Tests of the reasons of errors that a timeout caused."""

import asyncio
import math
import types
from typing import Any
import unittest
from unittest import mock

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.errors import RequestRefused
from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.byte_stream import ByteStream
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.router.once_exchange import OnceExchange
from lifttrestle.internal.runrecord.ledger import RunKey

HEAD = RequestHead('GET', '/', ())
TEST_SECONDS = 10.0


class TestReasons(unittest.IsolatedAsyncioTestCase):
    # A timeout has no text, and its error was never replaced by one that has:
    # an exception is always true.

    async def test_regression_timeout_of_a_new_connection_had_no_reason(
        self,
    ) -> None:
        async def open_slowly(*_: object) -> None:
            await asyncio.sleep(TEST_SECONDS)

        with (
            mock.patch.object(ByteStream, 'open', open_slowly),
            self.assertRaisesRegex(UpstreamConnectFailed, 'timed out'),
        ):
            await ClientConnection.open(Address('127.0.0.1', 9), 0.01)

    async def test_regression_timeout_of_the_platform_had_no_reason(
        self,
    ) -> None:
        async def ignore(
            reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
        ) -> None:
            await reader.read()

        server = await asyncio.start_server(ignore, '127.0.0.1', 0)
        self.addCleanup(server.close)
        address = Address(*server.sockets[0].getsockname()[:2])
        client = JsonClient(address, SystemClock(), 0.05)
        self.addCleanup(client.close)
        with self.assertRaisesRegex(PlatformUnavailable, 'timed out'):
            await client.call('GET', '/')

    async def test_regression_claim_that_timed_out_had_no_reason(self) -> None:
        async def claim(*_: object) -> None:
            raise TimeoutError

        exchange = OnceExchange.__new__(OnceExchange)
        parts: Any = types.SimpleNamespace(
            clock=SystemClock(),
            ledger=types.SimpleNamespace(
                claim=claim, schedule_void=lambda *_: None
            ),
        )
        scope: Any = types.SimpleNamespace(deadline=math.inf, head=HEAD)
        request: Any = types.SimpleNamespace(rest='/', body=b'')
        exchange._parts = parts
        exchange._scope = scope
        exchange._request = request
        exchange._run_key = RunKey('a', 'b')
        exchange._attempt_id = 'c'
        exchange._needs_claim = True
        with self.assertRaisesRegex(RequestRefused, 'deadline has passed'):
            await exchange._claim()


if __name__ == '__main__':
    unittest.main()
