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

"""One play of requests that crash upstreams, before killed routers."""

import asyncio
import dataclasses
import pathlib
import random
import tempfile
import time

from tests.support.crashing_upstream import CrashingUpstream
from tests.support.crashing_upstream import FATAL
from tests.support.fleet import CONFIGURATION
from tests.support.fleet_store import FleetStoreStandin
from tests.support.soak_call import call_router
from tests.support.soak_call import SoakCall
from tests.support.soak_records import Record
from tests.support.soak_records import rest
from tests.support.soak_router import SoakRouter

# What the fleet may make of what it knows: after three upstreams have crashed
# and routers had this long to hear of it, a request reaches three more at the
# most.
CONTACT_SECONDS = 3.0
LIMIT = 3
FATAL_BODIES = (FATAL + b' 1', FATAL + b' 2')
POPULAR = (b'a', b'b', b'c')
CALLERS = 6
UPSTREAMS = 6
ROUTERS = 3
PLAY_SECONDS = 12.0
HELD = b'crashes_upstreams'
# What many ask for, and has ended well nowhere yet, can't be told from what
# crashes upstreams when three of them crash under it in the first moments. It
# has its trial after ten refusals, a fifth of a second apart, and a second.
WRONGED_SECONDS = 4.0


@dataclasses.dataclass
class CrashOutcome:
    """What callers and upstreams saw.

    :ivar late: by body, how often it reached an upstream after all that are
        in touch could know.
    :ivar wronged: by body, when sound requests were refused as dangerous.
    """

    seed: int
    crashes: int = 0
    sound: int = 0
    served: int = 0
    late: dict[bytes, int] = dataclasses.field(default_factory=dict)
    sent: dict[bytes, int] = dataclasses.field(default_factory=dict)
    wronged: dict[bytes, list[float]] = dataclasses.field(default_factory=dict)

    @property
    def faults(self) -> list[str]:
        """Return the broken rules in words."""
        found = [
            f'{body!r} reached {count} upstreams too late'
            for body, count in self.late.items()
            if count > LIMIT
        ]
        for body, times in self.wronged.items():
            seconds = max(times) - min(times)
            if body not in POPULAR or seconds > WRONGED_SECONDS:
                found.append(f'{body!r} was held for {seconds:.1f} s')
        return found


class RecordingUpstream(CrashingUpstream):
    """Notes when each fatal request began to run.

    :ivar fatal_runs: body and time of each.
    """

    def __init__(self, instance, store, source: random.Random) -> None:
        super().__init__(
            instance, store, source.uniform(0.3, 0.8), source.uniform(0, 0.1)
        )
        self.fatal_runs: list[tuple[bytes, float]] = []

    async def _run(self, connection, head, behaviour) -> None:
        body = self.runs[-1].body
        if body.startswith(FATAL):
            self.fatal_runs.append((body, time.monotonic()))
        await super()._run(connection, head, behaviour)


class CrashPlay:
    """Plays one seed."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self._seed = seed
        self._folder = folder
        self._store = FleetStoreStandin()
        self._record = Record(8.0)
        self._upstreams = [
            RecordingUpstream(
                f'p{number}', self._store, self._get_source(f'p{number}')
            )
            for number in range(UPSTREAMS)
        ]
        self._routers: list[SoakRouter] = []
        self._outcome = CrashOutcome(seed)
        self._done = asyncio.Event()

    def _get_source(self, name: str) -> random.Random:
        return random.Random(f'{self._seed}/{name}')

    async def run(self) -> CrashOutcome:
        """Play, and judge what was seen."""
        try:
            await self._set_up()
            async with asyncio.TaskGroup() as tasks:
                for body in FATAL_BODIES:
                    tasks.create_task(self._send_fatal(body))
                for number in range(CALLERS):
                    tasks.create_task(self._send_sound(number))
                tasks.create_task(self._kill_routers())
                tasks.create_task(self._disturb_store())
                tasks.create_task(self._lose_herds())
                await asyncio.sleep(PLAY_SECONDS)
                self._done.set()
        finally:
            for router in self._routers:
                router.kill()
            for upstream in self._upstreams:
                await upstream.stop()
            await self._store.server.stop()
        self._judge()
        return self._outcome

    async def _set_up(self) -> None:
        address = await self._store.start()
        self._store.put('op', 'config', CONFIGURATION)
        for upstream in self._upstreams:
            await upstream.start()
        self._routers = [
            SoakRouter(
                f'r{number}',
                self._folder,
                address,
                self._record,
                self._get_source(f'r{number}'),
            )
            for number in range(ROUTERS)
        ]
        await asyncio.gather(*(router.start() for router in self._routers))

    async def _call(
        self, source: random.Random, body: bytes
    ) -> tuple[int, bytes]:
        """Send a request to some router; status 0 if there is no answer."""
        address = source.choice(self._routers).address
        name = f'{source.getrandbits(64):x}'
        answer = await call_router(SoakCall(address, name, body=body))
        return (answer.status, answer.body) if answer else (0, b'')

    async def _send_fatal(self, body: bytes) -> None:
        source = self._get_source(f'fatal {body!r}')
        sent = self._outcome.sent
        while not self._done.is_set():
            sent[body] = sent.get(body, 0) + 1
            status, _ = await self._call(source, body)
            if status in (0, 502):
                # A caller repeats what failed, at once.
                await self._call(source, body)
            await rest(self._done, source.uniform(0.2, 1.2))

    async def _send_sound(self, number: int) -> None:
        source = self._get_source(f'caller {number}')
        outcome = self._outcome
        while not self._done.is_set():
            own = b'own %d' % source.getrandbits(32)
            sent = source.choice((*POPULAR, own))
            status, body = await self._call(source, sent)
            outcome.sound += 1
            outcome.served += status == 200
            if HELD in body:
                times = outcome.wronged.setdefault(sent, [])
                times.append(time.monotonic())
            await rest(self._done, source.uniform(0.0, 0.1))

    async def _kill_routers(self) -> None:
        source = self._get_source('kills')
        while not self._done.is_set():
            await rest(self._done, source.uniform(1.0, 4.0))
            count = source.choice((1, 1, 2, ROUTERS))
            killed = source.sample(self._routers, count)
            for router in killed:
                router.kill()
            await rest(self._done, source.uniform(0.0, 0.5))
            await asyncio.gather(*(router.start() for router in killed))

    async def _disturb_store(self) -> None:
        source = self._get_source('store')
        while not self._done.is_set():
            await rest(self._done, source.uniform(1.0, 4.0))
            self._store.writable.clear()
            await rest(self._done, source.uniform(0.3, 1.0))
            self._store.writable.set()

    async def _lose_herds(self) -> None:
        source = self._get_source('herds')
        while not self._done.is_set():
            await rest(self._done, source.uniform(1.0, 4.0))
            for upstream in source.sample(self._upstreams, UPSTREAMS // 2):
                upstream.begin_crash()

    def _judge(self) -> None:
        outcome = self._outcome
        outcome.crashes = sum(item.crashes for item in self._upstreams)
        for body in FATAL_BODIES:
            runs = sorted(
                at
                for upstream in self._upstreams
                for run, at in upstream.fatal_runs
                if run == body
            )
            third = runs[LIMIT - 1] if len(runs) >= LIMIT else float('inf')
            outcome.late[body] = sum(
                at > third + CONTACT_SECONDS for at in runs
            )


async def play(seed: int) -> CrashOutcome:
    """Play one seed."""
    with tempfile.TemporaryDirectory() as folder:
        return await CrashPlay(seed, pathlib.Path(folder)).run()
