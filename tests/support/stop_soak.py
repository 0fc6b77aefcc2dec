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

"""Soak of planned stops with stand-in upstreams and a faulty store."""

import asyncio
import dataclasses
import pathlib
import random
import signal
import tempfile

from lifttrestle.internal.standin.faults import Faults
from tests.support.entries import make_entry
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import make_route
from tests.support.fleet_store import FleetStoreStandin
from tests.support.soak_caller import SoakCaller
from tests.support.soak_caller import SoakRequest
from tests.support.soak_records import Record
from tests.support.soak_records import sleep
from tests.support.soak_router import SoakRouter
from tests.support.soak_rules import find_faults
from tests.support.soak_upstream import PacedUpstream

CALLERS = 14
SHORT_SECONDS = 0.9


@dataclasses.dataclass(frozen=True)
class Case:
    """Settings of a soak run; times are in seconds.

    :ivar grace: grace period of the routers.
    :ivar limit: timeout of the routes whose requests may outlast the grace
        period; a router that has served for longer estimates their duration.
    :ivar calm: minimum time for which each router serves.
    :ivar late: whether to send further signals up to the end of the grace
        period.
    :ivar slack: time for a router to exit after its grace period; generous,
        so that a busy machine does not count as a fault.
    """

    seed: int
    grace: float = 2.0
    limit: float = 8.0
    calm: float = 0.2
    late: bool = False
    slack: float = 1.5


@dataclasses.dataclass
class Outcome:
    """Outcome of a soak run."""

    case: Case
    record: Record
    faults: list[str]
    logs: dict[str, list[str]]


def make_routes(limit: float) -> list[dict]:
    """Return the routes; two of them always have a short timeout."""
    long = {'timeout_ms': limit * 1000, 'max_attempts': 1}
    short = {'timeout_ms': SHORT_SECONDS * 1000}
    stream = {**long, 'service': 'engines'}
    return [
        make_route('safe', 'idempotent', **short),
        make_route('once', 'non_idempotent', **{**long, **short}),
        make_route('late', 'non_idempotent', **long),
        make_route(
            'text', 'stream', **{**stream, 'max_attempts': 2}, can_resume=True
        ),
        make_route('essay', 'stream', **stream),
    ]


def choose_request(source: random.Random, limit: float) -> SoakRequest:
    """Return the next request of a caller."""
    route = source.choice(('safe', 'once', 'late', 'text', 'text', 'essay'))
    if route in ('safe', 'once'):
        pause = source.choice((0.0, 0.02, 0.1, 0.3, 0.5))
        return SoakRequest(route, SHORT_SECONDS, 0, pause)
    if route == 'late':
        pause = source.choice((0.0, 0.1, 0.4, 1.0, 2.5))
        return SoakRequest(route, limit, 0, pause)
    events = source.randint(1, 40)
    pause = source.choice((0.002, 0.01, 0.05, 0.12))
    has_deadline = source.random() < 0.3
    deadline = events * pause * 1.5 + 0.3 if has_deadline else 0.0
    return SoakRequest(route, limit, events, pause, deadline)


class StopSoak:
    """Stops routers under traffic; both are determined by the seed."""

    def __init__(self, case: Case, folder: pathlib.Path) -> None:
        self._case = case
        self._folder = folder
        self._record = Record(case.grace)
        self._store = FleetStoreStandin()
        self._upstreams = [
            PacedUpstream(name, self._get_source(name))
            for name in ('p1', 'p2', 'e1', 'e2', 'e3')
        ]
        self._routers: list[SoakRouter] = []
        self._done = asyncio.Event()

    def _get_source(self, name: str) -> random.Random:
        return random.Random(f'{self._case.seed}/{name}')

    async def run(self) -> Outcome:
        """Run the case and check what was observed."""
        record = self._record
        try:
            await self._set_up()
            await self._run_traffic()
        finally:
            for router in self._routers:
                router.kill()
            for upstream in self._upstreams:
                await upstream.stop()
            await self._store.server.stop()
        logs: dict[str, list[str]] = {}
        for router in self._routers:
            logs.update(router.logs)
        for upstream in self._upstreams:
            heads = [item.head for item in upstream.runs]
            record.runs.update(x.get_header('request-id') for x in heads)
            heads = upstream.arrivals
            record.arrivals.update(x.get_header('request-id') for x in heads)
        return Outcome(self._case, record, find_faults(record), logs)

    async def _set_up(self) -> None:
        store = await self._store.start()
        routes = make_routes(self._case.limit)
        self._store.put('op', 'config', {**CONFIGURATION, 'routes': routes})
        for upstream in self._upstreams:
            await upstream.start()
            engine = upstream.instance.startswith('e')
            entry = make_entry(
                service='engines' if engine else 'plain',
                address=str(upstream.address),
                slots=8,
                models=[{'name': 'm', 'version': 1}] if engine else [],
            )
            self._store.put('servers', upstream.instance, entry)
        count = self._get_source('shape').randint(2, 3)
        for name in ('r1', 'r2', 'r3')[:count]:
            source = self._get_source(name)
            router = SoakRouter(
                name, self._folder, store, self._record, source
            )
            router.signals_share = 0.9 if self._case.late else 0.45
            router.slack = self._case.slack
            self._routers.append(router)
        await asyncio.gather(*(router.start() for router in self._routers))

    async def _run_traffic(self) -> None:
        sequential = self._get_source('series').random() < 0.4
        semaphore = asyncio.Semaphore(1 if sequential else len(self._routers))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._disturb_store())
            for number in range(CALLERS):
                tasks.create_task(self._send(f'c{number}'))
            stops = [
                self._restart_repeatedly(
                    router, 1 if sequential else 2, semaphore
                )
                for router in self._routers
            ]
            await asyncio.gather(*stops)
            # The last stops take place while callers still send requests.
            await asyncio.gather(*(router.stop() for router in self._routers))
            self._done.set()

    async def _restart_repeatedly(
        self, router: SoakRouter, count: int, semaphore: asyncio.Semaphore
    ) -> None:
        source = self._get_source(f'stops of {router.name}')
        for _ in range(count):
            calm = self._case.calm + source.uniform(0.0, 1.3)
            await asyncio.sleep(calm)
            if source.random() < 0.3:
                router.signal(signal.SIGHUP)
            async with semaphore:
                await router.stop()
                await asyncio.sleep(source.uniform(0.0, 0.3))
                await router.start()

    async def _send(self, name: str) -> None:
        source = self._get_source(name)
        caller = SoakCaller(name, self._routers, self._record, source)
        limit = self._case.limit
        number = 0
        while not self._done.is_set():
            number += 1
            await caller.call(number, choose_request(source, limit))
            await asyncio.sleep(source.uniform(0.0, 0.05))
        caller.close()

    async def _disturb_store(self) -> None:
        source = self._get_source('store')
        while not self._done.is_set():
            await sleep(self._done, source.uniform(0.3, 2.0))
            if source.random() < 0.5:
                self._record.log_event('the store does not answer writes')
                self._store.writable.clear()
            else:
                self._record.log_event('the store is slow')
                delay = source.uniform(0.05, 0.3)
                self._store.server.faults = Faults(delay_seconds=delay)
            await sleep(self._done, source.uniform(0.5, 2.5))
            self._store.writable.set()
            self._store.server.faults = Faults()
            self._record.log_event('the store has recovered')


async def run_case(case: Case) -> Outcome:
    """Run one case."""
    with tempfile.TemporaryDirectory() as folder:
        return await StopSoak(case, pathlib.Path(folder)).run()
