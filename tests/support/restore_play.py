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

"""Plays a store that is restored from older copies, before routers that die.

The operator adds routes and revokes keys, upstreams drain and leave, and all
of them write again what a restored store lacks.
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
from tests.support.router_play import play_seed
from tests.support.router_play import RouterPlay
from tests.support.soak_call import call_router
from tests.support.soak_call import SoakCall
from tests.support.soak_records import rest
from tests.support.soak_router import SoakRouter

ROUTERS = 4
UPSTREAMS = 5
CALLERS = 8
CALL_PAUSE_SECONDS = 0.1
PLAY_SECONDS = 28.0
# Bounds of the service, in seconds.
APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
REVOKE_SECONDS = 5.0
READY_SECONDS = 1.0
# A disturbance of the store or a router counts this much longer.
CONTACT_SECONDS = 3.0
# The entry of an upstream that is gone lapses after this.
LAPSE_SECONDS = 3.6
REFUSE_ALL = 1_000_000


@dataclasses.dataclass
class Version:
    """One version of the configuration, with its route and its key.

    :ivar acked_at: when the store acknowledged it, monotonic seconds.
    :ivar revoked_at: when its key was revoked, None if it is valid.
    """

    number: int
    acked_at: float
    revoked_at: float | None = None

    @property
    def path(self) -> str:
        """Return a path of the route that it added."""
        return f'/added{self.number}/x'

    @property
    def key(self) -> str:
        """Return the key that it added."""
        return f'x{self.number}'


@dataclasses.dataclass(frozen=True)
class Outage:
    """From when the store was away until it was restored."""

    begin: float
    end: float


@dataclasses.dataclass(frozen=True)
class Leave:
    """A start that drains at ``begin`` and is followed by another."""

    begin: float
    end: float


@dataclasses.dataclass
class RestoreOutcome:
    """What callers and upstreams saw."""

    seed: int
    calls: int = 0
    served: int = 0
    refused: int = 0
    unanswered: int = 0
    restores: int = 0
    changes: int = 0
    leaves: int = 0
    faults: list[str] = dataclasses.field(default_factory=list)


class LeavingUpstream(CrashingUpstream):
    """Drains, leaves, and is followed by another start at its address.

    :ivar leaves: when its starts said that they leave.
    """

    def __init__(self, instance, store, source: random.Random) -> None:
        super().__init__(instance, store)
        self.leaves: list[Leave] = []
        self._source = source
        self._state = 'ready'

    async def live(self, play: 'RestorePlay') -> None:
        """Drain and start again until the play is done."""
        while not play.done:
            await play.rest(self._source.uniform(3.0, 9.0))
            begin = time.monotonic()
            if self._source.random() < 0.7:
                self._state = 'draining'
                self.write_again()
                await play.rest(self._source.choice((1.0, 3.0, 8.0)))
            self._state = 'gone'
            self._store.remove('servers', self.instance)
            await play.rest(self._source.uniform(2.5, 5.0))
            self.leaves.append(Leave(begin, time.monotonic()))
            self._state = 'ready'
            self._starts += 1
            self.list_start()

    def write_again(self) -> None:
        """Write the entry as the start that runs has it."""
        if self._state != 'gone':
            self.list_start(state=self._state)

    def lapse(self) -> None:
        """Remove the entry if the start is gone."""
        if self._state == 'gone':
            self._store.remove('servers', self.instance)


class RestorePlay(RouterPlay[RestoreOutcome, LeavingUpstream]):
    """Plays one seed."""

    seconds = PLAY_SECONDS
    router_count = ROUTERS
    upstream_count = UPSTREAMS

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        super().__init__(seed, folder)
        self._lives: dict[str, str] = {}
        self._disturbed: dict[str, float] = {}
        self._versions: list[Version] = []
        self._outages: list[Outage] = []
        self._snapshots: list[tuple[float, RowsSnapshot]] = []
        # The highest version whose route each life has served.
        self._served: dict[str, int] = {}
        self._began_at = time.monotonic()
        self._outcome = RestoreOutcome(seed)

    @property
    def done(self) -> bool:
        """Return whether the play is over."""
        return self._done.is_set()

    async def rest(self, seconds: float) -> None:
        """Return after some seconds, or when the play is over."""
        await rest(self._done, seconds)

    def make_upstream(self, name: str) -> LeavingUpstream:
        """Return an upstream that leaves."""
        return LeavingUpstream(name, self._store, self._get_source(name))

    def list_work(self) -> list[Coroutine[None, None, None]]:
        """Return what callers do, and what is disturbed."""
        return [
            *(self._call(number) for number in range(CALLERS)),
            # One stays, so that there is always one to serve.
            *(upstream.live(self) for upstream in self._upstreams[1:]),
            self._change_configuration(),
            self._take_snapshots(),
            self._restore_store(),
            self._disturb_routers(),
        ]

    async def _change_configuration(self) -> None:
        source = self._get_source('operator')
        while not self.done:
            self._add_version(source)
            await self.rest(source.choice((0.3, 1.0, 2.0, 8.0)))

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
        """Write the newest version, with the routes of all and its key."""
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
            await self.rest(0.1)

    async def _restore_store(self) -> None:
        source = self._get_source('restores')
        while not self.done:
            # Longer than a disturbance excuses what is late, mostly.
            await self.rest(source.uniform(4.0, 9.0))
            for _ in range(source.choice((1, 1, 2))):
                await self._restore_once(source)
                await self.rest(source.uniform(0.1, 1.0))

    async def _restore_once(self, source: random.Random) -> None:
        begin = time.monotonic()
        if source.random() < 0.7:
            self._store.server.faults.refuse = REFUSE_ALL
            await self.rest(source.uniform(0.1, 2.0))
        age = source.uniform(0.2, 5.0)
        while (
            len(self._snapshots) > 1 and self._snapshots[-1][0] > begin - age
        ):
            self._snapshots.pop()
        self._store.restore(self._snapshots[-1][1])
        self._store.server.faults.refuse = 0
        self._outages.append(Outage(begin, time.monotonic()))
        self._outcome.restores += 1
        # Rows of others may take the numbers that were lost first.
        for number in range(source.choice((0, 0, 40, 200))):
            self._store.put('other', f'row-{number}', number)
        await self.rest(source.uniform(0.05, 0.5))
        self._put_configuration()
        if source.random() < 0.7:
            self._add_version(source)
        for upstream in self._upstreams:
            await self.rest(source.uniform(0.0, 0.2))
            upstream.write_again()
            # Nobody writes the entry of one that is gone again.
            loop = asyncio.get_running_loop()
            loop.call_later(LAPSE_SECONDS, upstream.lapse)

    async def _call(self, number: int) -> None:
        source = self._get_source(f'caller {number}')
        while not self.done:
            await self.rest(source.uniform(0, 2 * CALL_PAUSE_SECONDS))
            router = source.choice(self._routers)
            if router.life.ready is None:
                continue
            version = source.choice(self._versions[-4:])
            await self._ask(router, version, source)

    async def _ask(
        self, router: SoakRouter, version: Version, source: random.Random
    ) -> None:
        name = f'{source.getrandbits(64):x}'
        life = router.life.name
        self._lives[name] = life
        key = source.choice(('k1', version.key))
        call = SoakCall(router.address, name, version.path, key=key)
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
            if self._is_late(life, self._began_at, sent_at, READY_SECONDS):
                outcome.faults.append(
                    f'{life} refused {version.path}, long after any'
                    f' disturbance: {answer.body!r}'
                )
        self._judge_answer(life, version, sent_at, answer, key)
        if answer.status == 200:
            served = max(self._served.get(life, 0), version.number)
            self._served[life] = served
        if revoked and answer.status == 200:
            assert version.revoked_at is not None
            late = sent_at - version.revoked_at
            if late > REVOKE_SECONDS:
                outcome.faults.append(
                    f'{life} served {key} {late:.2f} s after it was revoked'
                )

    def _judge_answer(
        self,
        life: str,
        version: Version,
        sent_at: float,
        answer: Answer,
        key: str,
    ) -> None:
        if answer.status not in (401, 404):
            return
        if answer.status == 401 and key != 'k1':
            # Valid from its version to the next one; either is right near.
            return
        if self._served.get(life, 0) >= version.number:
            self._outcome.faults.append(
                f'{life} answered {answer.status} for version'
                f' {version.number}, and had served'
                f' {self._served[life]} before'
            )
        elif self._is_late(life, version.acked_at, sent_at, APPLY_SECONDS):
            late = sent_at - version.acked_at
            self._outcome.faults.append(
                f'{life} answered {answer.status} {late:.2f} s after'
                f' version {version.number} was acknowledged'
            )

    def _is_late(
        self, life: str, acked_at: float, at: float, bound: float
    ) -> bool:
        """Return whether a router was in touch long enough after a write."""
        disturbed = self._disturbed.get(life, float('-inf'))
        end = max(acked_at, disturbed + CONTACT_SECONDS) + bound
        for outage in self._outages:
            if outage.begin < end:
                end = max(end, outage.end + CONTACT_SECONDS + bound)
        return at > end

    async def _disturb_routers(self) -> None:
        source = self._get_source('disturbances')
        while not self.done:
            await self.rest(source.uniform(1.5, 5.0))
            router = source.choice(self._routers)
            if source.random() < 0.5:
                self._note_disturbed(router)
                router.signal(signal.SIGSTOP)
                await self.rest(source.uniform(0.2, 1.5))
                router.signal(signal.SIGCONT)
                self._note_disturbed(router)
                continue
            router.kill()
            await self.rest(source.uniform(0.0, 0.5))
            await router.start()
            self._note_disturbed(router)

    def _note_disturbed(self, router: SoakRouter) -> None:
        self._disturbed[router.life.name] = time.monotonic()

    def judge(self) -> RestoreOutcome:
        """Look for requests that reached upstreams that were leaving."""
        for upstream in self._upstreams:
            self._outcome.leaves += len(upstream.leaves)
            for life, at, leave in self._list_arrivals(upstream):
                if self._is_late(life, leave.begin, at, DRAIN_SECONDS):
                    self._outcome.faults.append(
                        f'{upstream.instance} got a request of {life}'
                        f' {at - leave.begin:.2f} s after it began to leave'
                    )
        return self._outcome

    def _list_arrivals(
        self, upstream: LeavingUpstream
    ) -> Iterator[tuple[str, float, Leave]]:
        times = zip(upstream.arrivals, upstream.arrived_at, strict=True)
        for head, at in times:
            life = self._lives.get(head.get_header('request-id') or '', '')
            for leave in upstream.leaves:
                if leave.begin <= at < leave.end:
                    yield life, at, leave


async def play(seed: int) -> RestoreOutcome:
    """Play one seed."""
    return await play_seed(RestorePlay, seed)
