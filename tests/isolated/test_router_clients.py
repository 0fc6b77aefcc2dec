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

"""Tests of crowds of clients that do not behave, at ``lifttrestle router``."""

import asyncio
import unittest

from lifttrestle.internal.http.address import parse_address
from tests.support.crowd import gather_crowd
from tests.support.crowd import make_chunks
from tests.support.crowd import make_head
from tests.support.crowd import read_most_memory
from tests.support.deployment import Deployment
from tests.support.deployment import OPERATOR_TOKEN
from tests.support.deployment import Reply
from tests.support.deployment import request

KIB = 1024
MIB = 1024 * KIB
BYTES_PER_MB = 1_000_000
# What the process may use for callers by default, and as much for itself.
MEMORY_MB = 2 * 64
PLACES = 50
LIMITS = f'http = {{ body_bytes = {MIB}, max_connections = {PLACES} }}'
BODIES = f'http = {{ body_bytes = {MIB} }}'
HOST = 'Host: a'
CHUNKED = 'Transfer-Encoding: chunked'
KEYS = {
    'callers': 'Authorization: Bearer daily-token',
    'operators': f'Authorization: Bearer {OPERATOR_TOKEN}',
}
PATHS = {
    'callers': '/grid-app/a',
    'operators': '/intent/plans',
}
STATUS_OK = 200


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    extra = BODIES

    def setUp(self) -> None:
        self.deployment = Deployment(engines=1, extra=self.extra)
        self.enterContext(self.deployment)
        self.deployment.configure_usual()
        self.router = self.deployment.router

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)

    def _check_process(self) -> None:
        process = self.router.process
        self.assertIsNotNone(process)
        self.assertIsNone(process.process.poll())
        self.assertLess(
            read_most_memory(process.pid), MEMORY_MB * BYTES_PER_MB
        )

    def _call(self, size: int) -> Reply:
        return request(
            self.router.callers,
            'POST',
            PATHS['callers'],
            'daily-token',
            bytes(size),
        )

    async def _check(self, crowd) -> None:
        await crowd.settle()
        self._check_process()
        reply = await asyncio.to_thread(self._call, 10)
        self.assertEqual(reply.status, STATUS_OK, reply.body)
        await crowd.leave()
        for size in (10, MIB):
            reply = await asyncio.to_thread(self._call, size)
            self.assertEqual(reply.status, STATUS_OK, reply.body)
        await asyncio.to_thread(self.router.status)
        self._check_process()

    def _make_chunked(self, door: str, size: int, chunk_bytes: int) -> bytes:
        head = make_head(PATHS[door], HOST, KEYS[door], CHUNKED)
        return head + make_chunks(size, chunk_bytes)


class TestBodies(CrowdCase):
    async def _check_chunked(self, door: str) -> None:
        payload = self._make_chunked(door, MIB - 40 * KIB, 32 * KIB)
        address = parse_address(getattr(self.router, door))
        async with gather_crowd(address) as crowd:
            crowd.join(180, lambda _: payload)
            await self._check(crowd)

    async def test_regression_callers_bodies_took_all_memory(self):
        await self._check_chunked('callers')

    async def test_regression_operators_bodies_took_all_memory(self):
        await self._check_chunked('operators')

    async def test_regression_bodies_of_tiny_chunks_stopped_the_router(self):
        payload = self._make_chunked('callers', 200_000, 1)
        address = parse_address(self.router.callers)
        async with gather_crowd(address) as crowd:
            crowd.join(30, lambda _: payload)
            await self._check(crowd)


class TestPlaces(CrowdCase):
    extra = LIMITS

    async def test_regression_silent_connections_held_all_places(self):
        address = parse_address(self.router.callers)
        async with gather_crowd(address) as crowd:
            crowd.join(PLACES, lambda number: b'G' * (number % 2))
            await self._check(crowd)
