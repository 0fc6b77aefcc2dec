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

"""Tests of crowds of clients that do not behave, at a fleet router.

The limits are lowered, so that small crowds do. Each bound follows from them:
the memory of the machine and the descriptors that the process may open.
"""

import asyncio
import itertools

from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.head import RequestHead
from tests.support.crowd import count_descriptors
from tests.support.crowd import Crowd
from tests.support.crowd import gather_crowd
from tests.support.crowd import make_chunks
from tests.support.crowd import make_head
from tests.support.crowd import read_most_memory
from tests.support.isolated_router import BYTES_PER_MB
from tests.support.isolated_router import call_until_served
from tests.support.isolated_router import IsolatedRouterCase
from tests.support.isolated_router import LARGE_PATH
from tests.support.isolated_router import STATUS_OK

KIB = 1024
MIB = 1024 * KIB
HOST = 'Host: shop.example'
KEY = 'Authorization: Token k1'
CHUNKED = 'Transfer-Encoding: chunked'
PATH = '/safe/a'
NUMBERS = itertools.count()


def make_chunked(size: int, chunk_bytes: int) -> bytes:
    """Return a request whose body of chunks does not end."""
    head = make_head(PATH, HOST, KEY, 'Request-Id: c', CHUNKED)
    return head + make_chunks(size, chunk_bytes)


def make_complete(size: int) -> bytes:
    """Return a request with a complete body."""
    head = make_head(
        PATH, HOST, KEY, 'Request-Id: c', f'Content-Length: {size}'
    )
    return head + bytes(size)


def make_bodiless(path: str, count: int) -> bytes:
    """Return requests without a body."""
    return count * make_head(path, HOST, KEY, 'Request-Id: c', method='GET')


class CrowdCase(IsolatedRouterCase):
    async def _check(self, crowd: Crowd, *, body_bytes: int = MIB) -> None:
        """Check the process while a crowd is there and after it has left."""
        await crowd.settle()
        self._check_process()
        await self._check_served(0)
        await crowd.leave()
        await self._check_served(0)
        await self._check_served(body_bytes)
        await self._check_ready()
        self._check_process()

    def _check_process(self) -> None:
        self.assertTrue(self.router.is_running)
        most = read_most_memory(self.router.pid)
        self.assertLess(most, self.memory_mb * BYTES_PER_MB)
        self.assertLess(count_descriptors(self.router.pid), self.descriptors)

    async def _check_served(self, size: int) -> None:
        head = self.make_request(next(NUMBERS), size)
        statuses = await call_until_served(
            self.router.callers, head, bytes(size)
        )
        self.assertEqual(statuses[-1], STATUS_OK, statuses)

    async def _check_ready(self) -> None:
        head = RequestHead('GET', '/ready', (('host', 'a'),))
        statuses = await call_until_served(self.router.ready, head)
        self.assertEqual(statuses[-1], STATUS_OK, statuses)


class TestBodies(CrowdCase):
    async def test_regression_chunked_bodies_took_all_memory(self):
        async with gather_crowd(self.router.callers) as crowd:
            crowd.join(80, lambda _: make_chunked(MIB - 40 * KIB, 32 * KIB))
            await self._check(crowd)

    async def test_regression_bodies_without_their_end_took_all_memory(self):
        async with gather_crowd(self.router.callers) as crowd:
            crowd.join(80, lambda _: make_complete(MIB)[:-1])
            await self._check(crowd)

    async def test_regression_bodies_of_tiny_chunks_stopped_the_router(self):
        payload = make_chunked(200_000, 1)
        async with gather_crowd(self.router.callers) as crowd:
            crowd.join(30, lambda _: payload)
            await self._check(crowd)

    async def test_regression_bodies_sent_ahead_took_all_memory(self):
        payload = 4 * make_complete(MIB)
        async with gather_crowd(self.router.callers) as crowd:
            crowd.join(60, lambda _: payload)
            await self._check(crowd)

    async def test_one_body_of_tiny_chunks_is_served(self):
        payload = make_chunked(200_000, 1) + b'0\r\n\r\n'
        reader, writer = await asyncio.open_connection(
            self.router.callers.host, self.router.callers.port
        )
        writer.write(payload)
        line = await reader.readline()
        writer.close()
        self.assertIn(b' 200 ', line)

    async def test_bodies_over_the_limit_are_not_kept(self):
        announced = make_complete(64 * MIB)[: 2 * MIB]
        sent = make_chunked(8 * MIB, 32 * KIB)
        async with gather_crowd(self.router.callers) as crowd:
            crowd.join(40, lambda number: (announced, sent)[number % 2])
            await self._check(crowd)

    async def test_heads_that_do_not_end(self):
        head = make_head(PATH, HOST, f'Filler: {"x" * 30_000}')
        async with gather_crowd(self.router.callers) as crowd:
            crowd.join(400, lambda _: head[:-2])
            await self._check(crowd)


class TestUnreadAnswers(CrowdCase):
    async def test_regression_requests_sent_ahead_took_all_memory(self):
        payload = make_bodiless(PATH, 6000)
        async with gather_crowd(self.router.callers) as crowd:
            crowd.join(200, lambda _: payload)
            await self._check(crowd)

    async def test_regression_large_answers_took_all_memory(self):
        payload = make_bodiless(LARGE_PATH, 1)
        async with gather_crowd(self.router.callers) as crowd:
            crowd.join(200, lambda _: payload)
            await self._check(crowd)

    async def test_requests_that_are_refused_sent_ahead(self):
        payload = make_bodiless('/none/a', 6000)
        async with gather_crowd(self.router.callers) as crowd:
            crowd.join(200, lambda _: payload)
            await self._check(crowd)


class TestPlaces(CrowdCase):
    """More connections than the process may open."""

    descriptors = 300
    silent = (b'', b'G')

    async def _fill(self, address: Address) -> None:
        async with gather_crowd(address) as crowd:
            crowd.join(600, lambda number: self.silent[number % 2])
            await crowd.settle()
            # The platform asks each second, at this door too.
            await self._check_ready()
            await self._check(crowd)

    async def test_regression_silent_connections_held_all_places(self):
        await self._fill(self.router.callers)

    async def test_regression_crowd_at_readiness_kept_callers_out(self):
        await self._fill(self.router.ready)

    async def test_regression_crowd_at_metrics_kept_callers_out(self):
        await self._fill(self.router.metrics)

    async def test_unfinished_bodies_at_all_places(self):
        async with gather_crowd(self.router.callers) as crowd:
            crowd.join(600, lambda _: make_chunked(64, 16))
            await self._check(crowd)
