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

"""Restores the store from older copies while routers are killed.

The operator adds routes and revokes keys, and upstreams drain and leave. After
each restore they rewrite the rows that the store has lost.
"""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
import dataclasses
import pathlib
import random
import signal
import time

from lifttrestle.internal.http.answer import Answer
from tests.support.crashing_upstream import CrashingUpstream
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import make_route
from tests.support.fleet import ROUTES
from tests.support.memory_rows import RowsSnapshot
from tests.support.router_soak import RouterSoak
from tests.support.router_soak import run_soak
from tests.support.soak_call import call_router
from tests.support.soak_call import SoakCall
from tests.support.soak_records import sleep
from tests.support.soak_router import SoakRouter

ROUTERS = 4
UPSTREAMS = 5
CALLERS = 8
CALL_PAUSE_SECONDS = 0.1
SOAK_SECONDS = 28.0
# Time limits that the routers must meet, in seconds.
APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
REVOKE_SECONDS = 5.0
READY_SECONDS = 1.0
# A time limit starts again this long after a disturbance of the store or a
# router.
RECOVERY_SECONDS = 3.0
# After this a restored entry of a stopped upstream is removed.
ENTRY_EXPIRY_SECONDS = 3.6
REFUSE_ALL = 1_000_000


@dataclasses.dataclass
class Version:
    """One version of the configuration, with the route and key it adds.

    :ivar acknowledged_at: when the store acknowledged it, monotonic seconds.
    :ivar revoked_at: when its key was revoked, None if it is valid.
    """

    number: int
    acknowledged_at: float
    revoked_at: float | None = None

    @property
    def path(self) -> str:
        """Return a path of the added route."""
        return f'/added{self.number}/x'

    @property
    def key(self) -> str:
        """Return the added key."""
        return f'x{self.number}'


@dataclasses.dataclass(frozen=True)
class Outage:
    """A restore of the store, with the outage that may precede it."""

    begin: float
    end: float


@dataclasses.dataclass(frozen=True)
class Departure:
    """The time from when an upstream begins to leave to its next start."""

    begin: float
    end: float


@dataclasses.dataclass
class RestoreOutcome:
    """What callers and upstreams observed."""

    seed: int
    calls: int = 0
    served: int = 0
    refused: int = 0
    unanswered: int = 0
    restores: int = 0
    changes: int = 0
    departures: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)


class RestartingUpstream(CrashingUpstream):
    """Drains, removes its entry, and starts again at the same address.

    :ivar departures: the completed departures, in order.
    """

    def __init__(self, instance, store, source: random.Random) -> None:
        super().__init__(instance, store)
        self.departures: list[Departure] = []
        self._source = source
        self._state = 'ready'

    async def restart_repeatedly(self, soak: 'RestoreSoak') -> None:
        """Drain, leave and start again until the soak is over."""
        while not soak.done:
            await soak.sleep(self._source.uniform(3.0, 9.0))
            begin = time.monotonic()
            if self._source.random() < 0.7:
                self._state = 'draining'
                self.write_entry()
                await soak.sleep(self._source.choice((1.0, 3.0, 8.0)))
            self._state = 'gone'
            self._store.remove('servers', self.instance)
            await soak.sleep(self._source.uniform(2.5, 5.0))
            self.departures.append(Departure(begin, time.monotonic()))
            self._state = 'ready'
            self._starts += 1
            self.put_entry()

    def write_entry(self) -> None:
        """Write the entry of the current start, if there is one."""
        if self._state != 'gone':
            self.put_entry(state=self._state)

    def remove_stale_entry(self) -> None:
        """Remove a restored entry while no start is running."""
        if self._state == 'gone':
            self._store.remove('servers', self.instance)


class RestoreSoak(RouterSoak[RestoreOutcome, RestartingUpstream]):
    """Runs one seed."""

    seconds = SOAK_SECONDS
    router_count = ROUTERS
    upstream_count = UPSTREAMS

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        super().__init__(seed, folder)
        # Which start of a router each request was sent to.
        self._starts_by_request: dict[str, str] = {}
        # When each start of a router became ready after a kill, or was last
        # paused or resumed.
        self._disturbed_at: dict[str, float] = {}
        self._versions: list[Version] = []
        self._outages: list[Outage] = []
        self._snapshots: list[tuple[float, RowsSnapshot]] = []
        # The highest version whose route was served, by start of a router.
        self._highest_served: dict[str, int] = {}
        self._began_at = time.monotonic()
        self._outcome = RestoreOutcome(seed)

    @property
    def done(self) -> bool:
        """Return whether the soak is over."""
        return self._done.is_set()

    async def sleep(self, seconds: float) -> None:
        """Sleep for some seconds, but at most until the soak is over."""
        await sleep(self._done, seconds)

    def make_upstream(self, name: str) -> RestartingUpstream:
        """Return an upstream that leaves and starts again."""
        return RestartingUpstream(name, self._store, self._get_source(name))

    def list_coroutines(self) -> list[Coroutine[None, None, None]]:
        """Return the coroutines of all participants and fault injection."""
        return [
            *(self._call(number) for number in range(CALLERS)),
            # One upstream never leaves, so that calls can always be served.
            *(
                upstream.restart_repeatedly(self)
                for upstream in self._upstreams[1:]
            ),
            self._change_configuration(),
            self._take_snapshots(),
            self._restore_store(),
            self._disturb_routers(),
        ]

    async def _change_configuration(self) -> None:
        source = self._get_source('operator')
        while not self.done:
            self._add_version(source)
            await self.sleep(source.choice((0.3, 1.0, 2.0, 8.0)))

    def _add_version(self, source: random.Random) -> None:
        number = 3
        if self._versions:
            number = self._versions[-1].number
            self._versions[-1].revoked_at = time.monotonic()
        number += source.randint(1, 4)
        self._versions.append(Version(number, time.monotonic()))
        self._put_configuration()
        self._outcome.changes += 1

    def _put_configuration(self) -> None:
        """Write the newest version, with all routes and only its own key."""
        routes = [
            make_route(f'added{version.number}', 'idempotent')
            for version in self._versions
        ]
        keys = ['k1', self._versions[-1].key]
        content = {
            **CONFIGURATION,
            'version': self._versions[-1].number,
            'routes': [*ROUTES, *routes],
            'tenants': [{'name': 'acme', 'api_keys': keys}],
        }
        self._store.put('op', 'config', content)

    async def _take_snapshots(self) -> None:
        while not self.done:
            now = time.monotonic()
            self._snapshots.append((now, self._store.rows.take_snapshot()))
            await self.sleep(0.1)

    async def _restore_store(self) -> None:
        source = self._get_source('restores')
        while not self.done:
            # Mostly longer than the recovery time, so that rules apply.
            await self.sleep(source.uniform(4.0, 9.0))
            for _ in range(source.choice((1, 1, 2))):
                await self._restore_once(source)
                await self.sleep(source.uniform(0.1, 1.0))

    async def _restore_once(self, source: random.Random) -> None:
        begin = time.monotonic()
        if source.random() < 0.7:
            self._store.server.faults.refuse = REFUSE_ALL
            await self.sleep(source.uniform(0.1, 2.0))
        age = source.uniform(0.2, 5.0)
        while (
            len(self._snapshots) > 1 and self._snapshots[-1][0] > begin - age
        ):
            self._snapshots.pop()
        self._store.restore(self._snapshots[-1][1])
        self._store.server.faults.refuse = 0
        self._outages.append(Outage(begin, time.monotonic()))
        self._outcome.restores += 1
        # Other rows may reuse the lost commit numbers first.
        for number in range(source.choice((0, 0, 40, 200))):
            self._store.put('other', f'row-{number}', number)
        await self.sleep(source.uniform(0.05, 0.5))
        self._put_configuration()
        if source.random() < 0.7:
            self._add_version(source)
        for upstream in self._upstreams:
            await self.sleep(source.uniform(0.0, 0.2))
            upstream.write_entry()
            # A stopped upstream does not rewrite its entry, so it expires.
            loop = asyncio.get_running_loop()
            loop.call_later(ENTRY_EXPIRY_SECONDS, upstream.remove_stale_entry)

    async def _call(self, number: int) -> None:
        source = self._get_source(f'caller {number}')
        while not self.done:
            await self.sleep(source.uniform(0, 2 * CALL_PAUSE_SECONDS))
            router = source.choice(self._routers)
            if router.current_start.ready is None:
                continue
            version = source.choice(self._versions[-4:])
            await self._send_call(router, version, source)

    async def _send_call(
        self, router: SoakRouter, version: Version, source: random.Random
    ) -> None:
        request_id = f'{source.getrandbits(64):x}'
        start = router.current_start.name
        self._starts_by_request[request_id] = start
        key = source.choice(('k1', version.key))
        call = SoakCall(router.address, request_id, version.path, api_key=key)
        sent_at = time.monotonic()
        revoked = key != 'k1' and version.revoked_at is not None
        answer = await call_router(call)
        outcome = self._outcome
        outcome.calls += 1
        if answer is None:
            outcome.unanswered += 1
            return
        outcome.served += answer.status == 200
        if answer.status == 503:
            outcome.refused += 1
            if self._is_late(start, self._began_at, sent_at, READY_SECONDS):
                outcome.faults.append(
                    f'{start} refused {version.path} after its recovery'
                    f' time: {answer.body!r}'
                )
        self._check_refusal(start, version, sent_at, answer, key)
        if answer.status == 200:
            served = max(self._highest_served.get(start, 0), version.number)
            self._highest_served[start] = served
        if revoked and answer.status == 200:
            assert version.revoked_at is not None
            late = sent_at - version.revoked_at
            if late > REVOKE_SECONDS:
                outcome.faults.append(
                    f'{start} served {key} {late:.2f} s after it was revoked'
                )

    def _check_refusal(
        self,
        start: str,
        version: Version,
        sent_at: float,
        answer: Answer,
        key: str,
    ) -> None:
        if answer.status not in (401, 404):
            return
        revoked = key != 'k1' and version.revoked_at is not None
        if answer.status == 401 and revoked:
            return
        if self._highest_served.get(start, 0) >= version.number:
            self._outcome.faults.append(
                f'{start} answered {answer.status} for version'
                f' {version.number} after serving version'
                f' {self._highest_served[start]}'
            )
        elif self._is_late(
            start, version.acknowledged_at, sent_at, APPLY_SECONDS
        ):
            late = sent_at - version.acknowledged_at
            self._outcome.faults.append(
                f'{start} answered {answer.status} {late:.2f} s after'
                f' version {version.number} was acknowledged'
            )

    def _is_late(
        self, start: str, acknowledged_at: float, at: float, bound: float
    ) -> bool:
        """Return whether a time limit after a write has passed.

        Outages of the store and disturbances of the router extend it.
        """
        disturbed = self._disturbed_at.get(start, float('-inf'))
        end = max(acknowledged_at, disturbed + RECOVERY_SECONDS) + bound
        for outage in self._outages:
            if outage.begin < end:
                end = max(end, outage.end + RECOVERY_SECONDS + bound)
        return at > end

    async def _disturb_routers(self) -> None:
        source = self._get_source('disturbances')
        while not self.done:
            await self.sleep(source.uniform(1.5, 5.0))
            router = source.choice(self._routers)
            if source.random() < 0.5:
                self._record_disturbance(router)
                router.signal(signal.SIGSTOP)
                await self.sleep(source.uniform(0.2, 1.5))
                router.signal(signal.SIGCONT)
                self._record_disturbance(router)
                continue
            router.kill()
            await self.sleep(source.uniform(0.0, 0.5))
            await router.start()
            self._record_disturbance(router)

    def _record_disturbance(self, router: SoakRouter) -> None:
        self._disturbed_at[router.current_start.name] = time.monotonic()

    def check(self) -> RestoreOutcome:
        """Add a fault for each late request to a leaving upstream."""
        for upstream in self._upstreams:
            self._outcome.departures += len(upstream.departures)
            for start, at, departure in self._list_arrivals(upstream):
                if self._is_late(start, departure.begin, at, DRAIN_SECONDS):
                    self._outcome.faults.append(
                        f'{upstream.instance} received a request from {start}'
                        f' {at - departure.begin:.2f} s after it began to'
                        ' leave'
                    )
        return self._outcome

    def _list_arrivals(
        self, upstream: RestartingUpstream
    ) -> Iterator[tuple[str, float, Departure]]:
        times = zip(upstream.arrivals, upstream.arrived_at, strict=True)
        for head, at in times:
            start = self._starts_by_request.get(
                head.get_header('request-id') or '', ''
            )
            for departure in upstream.departures:
                if departure.begin <= at < departure.end:
                    yield start, at, departure


async def run_seed(seed: int) -> RestoreOutcome:
    """Run one seed and return its outcome."""
    return await run_soak(RestoreSoak, seed)
