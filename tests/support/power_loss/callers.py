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

"""Callers of one zone and the balancer before its routers, as a process.

Each call is written as a line of JSON when it has ended.
"""

import asyncio
import dataclasses
import json
import random
import sys
import time
from typing import TextIO

from lifttrestle.errors import LifttrestleError
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from tests.support.power_loss.layout import CALLERS_PORT
from tests.support.power_loss.layout import Layout
from tests.support.power_loss.layout import MODEL
from tests.support.power_loss.layout import READY_PORT
from tests.support.power_loss.layout import RequestKind
from tests.support.power_loss.layout import ZONES

CLIENTS = 60
CONNECT_SECONDS = 1.0
CHECK_SECONDS = 1.0
MISSES = 2
RETRIES = 1
REUSE_SHARE = 0.8
NOT_RUN = (408, 421, 429, 503)
STATUS_OK = 200
# Spreads the clients over the routers.
CLIENT_STEP = 7919
MAX_PART = 1_000_000


@dataclasses.dataclass
class Try:
    """One attempt of a call; ``status`` is 0 without an answer."""

    router: str
    at: float
    fresh: bool
    status: int = 0
    retry_after: float = 0.0
    error: str = ''
    seconds: float = 0.0


@dataclasses.dataclass
class Call:
    """A request of a caller, over all its tries.

    :ivar at: when it was first sent, monotonic seconds.
    :ivar served: whether all of its answer came within its time limit.
    """

    at: float
    zone: str
    route: str
    workspace: int
    tries: list[Try] = dataclasses.field(default_factory=list)
    served: bool = False
    seconds: float = 0.0


class Balancer:
    """Checks the readiness of routers, and hands new connections to them."""

    def __init__(self, layout: Layout, zone: str) -> None:
        self._layout = layout
        self._routers = [
            name for name in layout.list_routers() if name[0] == zone
        ]
        self._misses = dict.fromkeys(self._routers, 0)
        self._zone = zone

    def choose(
        self, client: int, source: random.Random, *, retry: bool
    ) -> str:
        """Return the router for a new connection of a client."""
        ready = [name for name in self._routers if self._misses[name] < MISSES]
        if len(ready) * 2 < len(self._routers):
            ready = self._routers
        if retry:
            return source.choice(ready)
        return ready[client * CLIENT_STEP % len(ready)]

    async def run(self, checks: TextIO) -> None:
        """Check each router once a second and write what it answered."""
        while True:
            began = time.monotonic()
            await asyncio.gather(
                *(self._check(name, checks) for name in self._routers)
            )
            passed = time.monotonic() - began
            await asyncio.sleep(max(CHECK_SECONDS - passed, 0.0))

    async def _check(self, name: str, checks: TextIO) -> None:
        at = time.monotonic()
        status = await self._ask(name)
        before = self._misses[name]
        self._misses[name] = 0 if status == STATUS_OK else before + 1
        line = {'router': name, 'at': at, 'ready': status == STATUS_OK}
        checks.write(json.dumps(line) + '\n')

    async def _ask(self, name: str) -> int:
        host = self._layout.get_host(name)
        try:
            async with asyncio.timeout(CHECK_SECONDS):
                reader, writer = await asyncio.open_connection(
                    host, READY_PORT
                )
                writer.write(b'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n')
                line = await reader.readline()
                writer.transport.abort()
                return int(line.split()[1]) if line else 0
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0


class ZoneCallers:
    """Sends a part of the requests of one zone, at random times."""

    def __init__(
        self,
        layout: Layout,
        zone: str,
        part: int,
        calls: TextIO,
        checks: TextIO,
    ) -> None:
        self._layout = layout
        self._zone = zone
        self._part = part
        self._source = random.Random(f'{layout.seed}/{zone}/{part}')
        self._balancer = Balancer(layout, zone)
        self._calls = calls
        self._checks = checks
        self._idle: dict[int, list[tuple[str, ClientConnection]]] = {}
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        kinds = self._layout.list_kinds()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._balancer.run(self._checks))
            for kind in kinds:
                tasks.create_task(self._run_kind(kind))

    async def _run_kind(self, kind: RequestKind) -> None:
        processes = len(ZONES) * self._layout.caller_processes
        rate = kind.rate * self._layout.load / processes
        due = time.monotonic()
        while True:
            due += self._source.expovariate(rate)
            pause = due - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            task = asyncio.create_task(self._call(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _call(self, kind: RequestKind) -> None:
        shares = self._layout.list_workspace_shares()
        workspace = self._source.choices(range(len(shares)), shares)[0]
        client = self._source.randrange(CLIENTS)
        call = Call(time.monotonic(), self._zone, kind.route, workspace)
        headers = self._build_headers(kind, workspace)
        until = call.at + kind.seconds
        for number in range(RETRIES + 1):
            left = until - time.monotonic()
            if left <= 0:
                break
            served = await self._try(call, kind, client, headers, left)
            if served:
                call.served = True
                break
            if not self._may_repeat(kind, call.tries[-1]):
                break
            left = until - time.monotonic()
            pause = min(call.tries[-1].retry_after, left / 3)
            await asyncio.sleep(max(pause, self._source.uniform(0.02, 0.1)))
        call.seconds = time.monotonic() - call.at
        self._calls.write(json.dumps(dataclasses.asdict(call)) + '\n')

    def _may_repeat(self, kind: RequestKind, tried: Try) -> bool:
        if tried.status in NOT_RUN or tried.error == 'connect':
            return True
        return kind.route == 'read'

    def _build_headers(
        self, kind: RequestKind, workspace: int
    ) -> tuple[tuple[str, str], ...]:
        self._number += 1
        request = f'{self._zone}{self._part}{self._number:x}'
        headers = [
            ('host', 'shop.example'),
            ('authorization', f'Token k{workspace}'),
        ]
        if kind.streams:
            spread = self._source.uniform(0.4, 1.6)
            subject = int(kind.subjects * self._source.random() ** 1.5)
            own = max(int(kind.own_tokens * spread), 1)
            output = max(int(kind.output_tokens * spread), 1)
            shared = f'{kind.route}{subject}'.encode().hex()
            last = request.encode().hex()
            parts = f'{shared}:{kind.shared_tokens},{last}:{own}'
            tokens = f'{kind.shared_tokens + own},{output}'
            headers += [
                ('model', MODEL),
                ('token-count', tokens),
                ('prompt-prefix', parts),
            ]
        return tuple(headers)

    async def _try(
        self,
        call: Call,
        kind: RequestKind,
        client: int,
        headers: tuple[tuple[str, str], ...],
        left: float,
    ) -> bool:
        router, connection = self._take_idle(client, retry=bool(call.tries))
        tried = Try(router, time.monotonic(), connection is None)
        call.tries.append(tried)
        request = f'{self._zone}{self._part}-{id(call):x}-{tried.at:.6f}'
        sent = (
            *headers,
            ('request-id', request.encode().hex()[-24:]),
            ('deadline-ms', str(int(left * 1000))),
        )
        path = f'/{kind.route}/x'
        method = 'GET' if kind.route == 'read' else 'POST'
        reusable = False
        try:
            async with asyncio.timeout(left):
                if connection is None:
                    tried.error = 'connect'
                    host = self._layout.get_host(router)
                    connection = await ClientConnection.open(
                        Address(host, CALLERS_PORT), CONNECT_SECONDS
                    )
                tried.error = 'lost'
                await connection.send_request(
                    RequestHead(method, path, sent), b''
                )
                head = await connection.read_head()
                tried.status = head.status
                tried.retry_after = float(
                    head.get_header('retry-after', '0') or 0
                )
                await connection.read_body(MAX_PART)
                tried.error = ''
                reusable = connection.reusable
        except TimeoutError:
            tried.error = f'{tried.error} timeout'
        except (LifttrestleError, OSError, ValueError):
            pass
        finally:
            tried.seconds = time.monotonic() - tried.at
            if connection is not None and reusable:
                self._idle.setdefault(client, []).append((router, connection))
            elif connection is not None:
                connection.close()
        return tried.status == STATUS_OK and not tried.error

    def _take_idle(
        self, client: int, *, retry: bool
    ) -> tuple[str, ClientConnection | None]:
        """Return an idle connection of a client, or a router to connect to."""
        idle = self._idle.get(client, [])
        while idle and not retry and self._source.random() < REUSE_SHARE:
            router, connection = idle.pop()
            if connection.reusable:
                return router, connection
            connection.close()
        return self._balancer.choose(client, self._source, retry=retry), None


async def _run(task: dict) -> None:
    layout = Layout(**task['layout'])
    with (
        open(task['calls'], 'w', buffering=1) as calls,
        open(task['checks'], 'w', buffering=1) as checks,
    ):
        await ZoneCallers(
            layout, task['zone'], task['part'], calls, checks
        ).run()


if __name__ == '__main__':
    asyncio.run(_run(json.loads(sys.argv[1])))
