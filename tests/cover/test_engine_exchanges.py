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

"""Tests of exchanges with engines that fail at an unusual moment."""

import asyncio
import types
from typing import Any
import unittest

from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.http.memory_budget import MemoryBudget
from lifttrestle.internal.router.call import UpstreamCall
from lifttrestle.internal.router.generation_control import cancel_generation
from lifttrestle.internal.router.generation_control import resume_stream
from lifttrestle.internal.router.model_exchange import ModelExchange
from lifttrestle.internal.upstream.identity import EngineIdentity

HEAD = RequestHead('GET', '/', ())
STALL_SECONDS = 0.05
TEST_SECONDS = 10.0


class SilentConnection:
    """Sends nothing.

    :ivar reading: set while something waits for an answer.
    """

    def __init__(self) -> None:
        self.closed = False
        self.reading = asyncio.Event()

    async def send_request(self, head: RequestHead, body: bytes) -> None:
        pass

    async def read_head(self) -> ResponseHead:
        self.reading.set()
        await asyncio.sleep(TEST_SECONDS)
        raise AssertionError('the test has ended by now')

    async def read_body(self, limit: int) -> bytes:
        await self.read_head()
        return b''

    async def iterate_body(self) -> Any:
        yield b'a part'
        yield await self.read_body(0)

    def close(self) -> None:
        self.closed = True


class SilentPool:
    """Hands out one silent connection."""

    def __init__(self) -> None:
        self.connection = SilentConnection()

    async def take(self, *, fresh: bool = False) -> SilentConnection:
        return self.connection


def make_attempt(pool: SilentPool) -> Any:
    can = types.SimpleNamespace(resumes_streams=True)
    return types.SimpleNamespace(
        upstream=types.SimpleNamespace(
            pool=pool, settings=types.SimpleNamespace(can=can)
        ),
        decision=types.SimpleNamespace(outcome=''),
    )


def make_parts() -> Any:
    deadlines = types.SimpleNamespace(stall=TEST_SECONDS)
    return types.SimpleNamespace(
        settings=types.SimpleNamespace(deadlines=deadlines)
    )


class TestSilentEngine(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.pool = SilentPool()
        self.attempt = make_attempt(self.pool)

    async def test_regression_stall_in_the_body_of_an_error_had_no_bound(
        self,
    ) -> None:
        connection: Any = self.pool.connection
        call = UpstreamCall(
            connection, ResponseHead(400, ()), STALL_SECONDS, MemoryBudget()
        )
        exchange = ModelExchange.__new__(ModelExchange)
        with self.assertRaises(UpstreamLost):
            async with asyncio.timeout(TEST_SECONDS / 2):
                await exchange._forward_error(self.attempt, call)

    async def test_regression_cancellation_of_a_generation_had_no_bound(
        self,
    ) -> None:
        async with asyncio.timeout(TEST_SECONDS / 2):
            await cancel_generation(self.attempt, HEAD, STALL_SECONDS)
        self.assertTrue(self.pool.connection.closed)

    async def test_regression_connection_was_left_open_by_a_cancellation(
        self,
    ) -> None:
        identity = EngineIdentity('b', '4', stream_id='a')
        for work in (
            cancel_generation(self.attempt, HEAD, TEST_SECONDS),
            resume_stream(make_parts(), self.attempt, identity, HEAD),
        ):
            with self.subTest(work=work.__name__):
                self.pool.connection = SilentConnection()
                task = asyncio.ensure_future(work)
                await self.pool.connection.reading.wait()
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                self.assertTrue(self.pool.connection.closed)


if __name__ == '__main__':
    unittest.main()
