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

"""A fleet router process with small limits, for tests of its callers."""

import asyncio
import contextlib
import pathlib
import sys
import tempfile
import unittest

import msgspec

from lifttrestle.errors import LifttrestleError
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from tests.support.entries import make_entry
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import exchange
from tests.support.fleet_store import FleetStoreStandin
from tests.support.fleet_upstream import Behaviour
from tests.support.fleet_upstream import FleetUpstreamStandin
from tests.support.fleet_upstream import STAMP
from tests.support.process import ManagedProcess
from tests.support.soak_router import find_free_address

# Starts the program with a limit on its open descriptors.
LIMITED_PROGRAM = (
    'import resource, runpy, sys;'
    'limit = int(sys.argv.pop(1));'
    'resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit));'
    "runpy.run_module('lifttrestle', run_name='__main__', alter_sys=True)"
)
READY_POLLS = 600
POLL_SECONDS = 0.05
# A caller that is refused comes back until then.
MAX_TRIES = 60
TRY_SECONDS = 20.0
RETRY_SECONDS = 0.5
STATUS_OK = 200
LARGE_PATH = '/safe/large'
BYTES_PER_MB = 1_000_000


class LargeUpstream(FleetUpstreamStandin):
    """Answers one path with a large body.

    :ivar answer_bytes: its size.
    """

    answer_bytes = 512 * 1024

    async def _run(
        self,
        connection: ServerConnection,
        head: RequestHead,
        behaviour: Behaviour,
    ) -> None:
        # Requests are not kept: the tests send many large ones.
        self.runs.clear()
        self.arrivals.clear()
        if head.path != LARGE_PATH:
            await super()._run(connection, head, behaviour)
            return
        headers = (*self._echo(head), ('server-stamp', STAMP))
        body = bytes(self.answer_bytes)
        await connection.send_answer(Answer(STATUS_OK, headers, body))


class RouterUnderTest:
    """The process and its addresses.

    :ivar callers: where it serves callers.
    :ivar ready: where it serves its readiness.
    :ivar metrics: where it serves its metrics.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        store: Address,
        memory_mb: int,
        descriptors: int,
    ) -> None:
        self.callers = find_free_address()
        self.ready = find_free_address()
        self.metrics = find_free_address()
        self._peers = find_free_address()
        self._path = folder / 'node.yaml'
        self._descriptors = descriptors
        self._path.write_bytes(
            msgspec.yaml.encode(self._make_settings(store, memory_mb))
        )
        self.process: ManagedProcess | None = None

    def _make_settings(self, store: Address, memory_mb: int) -> object:
        return {
            'node_name': 'front-1',
            'ip': '127.0.0.1',
            'zone': 'a',
            'region': 'r',
            'listen': {'front': str(self.callers), 'ready': str(self.ready)},
            'platform': {'address': str(store)},
            'internal_ports': [self._peers.port] * 2,
            'limits': {
                'memory_mb': memory_mb,
                'fd_limit': self._descriptors,
            },
            'contract_params': {'retry_slack': 100},
        }

    @property
    def pid(self) -> int:
        """Return its process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        process = self.process
        return process is not None and process.process.poll() is None

    async def start(self) -> None:
        """Start it and wait until it is ready."""
        self.process = ManagedProcess(
            [
                'fleet-router',
                str(self._path),
                '--metrics-port',
                str(self.metrics.port),
            ],
            [sys.executable, '-c', LIMITED_PROGRAM, str(self._descriptors)],
        )
        for _ in range(READY_POLLS):
            with contextlib.suppress(OSError, LifttrestleError):
                head = RequestHead('GET', '/ready', (('host', 'a'),))
                if (await call(self.ready, head)).status == STATUS_OK:
                    return
            await asyncio.sleep(POLL_SECONDS)
        raise AssertionError('the router is not ready')

    def kill(self) -> None:
        """End it at once."""
        if self.process is not None:
            self.process.kill()


async def call(
    address: Address, head: RequestHead, body: bytes = b''
) -> Answer:
    """Send one request over a new connection, within a time."""
    async with asyncio.timeout(TRY_SECONDS):
        return await exchange(address, head, body)


async def call_until_served(
    address: Address, head: RequestHead, body: bytes = b''
) -> list[int]:
    """Send a request until it is served, as a caller does that is refused.

    :return: the status of each try, 0 for one without an answer.
    """
    statuses: list[int] = []
    for _ in range(MAX_TRIES):
        try:
            statuses.append((await call(address, head, body)).status)
        except (OSError, TimeoutError, LifttrestleError):
            statuses.append(0)
        if statuses[-1] == STATUS_OK:
            break
        if statuses.count(0) >= 3:
            break
        await asyncio.sleep(RETRY_SECONDS)
    return statuses


class IsolatedRouterCase(unittest.IsolatedAsyncioTestCase):
    """A router process of its own for each test.

    :cvar memory_mb: memory of its machine, by its settings.
    :cvar descriptors: most that it may open.
    :cvar max_body_bytes: limit on a request's body.
    """

    memory_mb = 64
    descriptors = 1000
    max_body_bytes = 1024 * 1024

    async def asyncSetUp(self) -> None:
        # Its checks would take more time than the crowds themselves.
        asyncio.get_running_loop().set_debug(False)
        self.store = FleetStoreStandin()
        address = await self.store.start()
        self.addAsyncCleanup(self.store.server.stop)
        await self._start_upstreams()
        limits = {'max_body_bytes': self.max_body_bytes}
        self.store.put('op', 'config', {**CONFIGURATION, 'limits': limits})
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.router = RouterUnderTest(
            pathlib.Path(folder), address, self.memory_mb, self.descriptors
        )
        self.addCleanup(self.router.kill)
        await self.router.start()

    async def _start_upstreams(self) -> None:
        self.upstreams = [LargeUpstream(f'p{number}') for number in range(3)]
        for upstream in self.upstreams:
            await upstream.start()
            self.addAsyncCleanup(upstream.stop)
            entry = make_entry(
                service='plain', address=str(upstream.address), slots=8
            )
            self.store.put('servers', upstream.instance, entry)

    def make_request(self, number: int, size: int = 0) -> RequestHead:
        """Return the head of an ordinary request."""
        headers = (
            ('host', 'shop.example'),
            ('request-id', f'ordinary-{number}'),
            ('authorization', 'Token k1'),
        )
        return RequestHead('POST' if size else 'GET', '/safe/a', headers)
