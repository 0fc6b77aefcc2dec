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

"""Soak of streams before engines of two software versions."""

import asyncio
from collections.abc import Coroutine
import contextlib
import dataclasses
import pathlib
import random
import signal
import time

from lifttrestle.errors import LifttrestleError
from tests.support.crashing_upstream import CrashingUpstream
from tests.support.engine_slot import EngineSlot
from tests.support.router_soak import RouterSoak
from tests.support.router_soak import run_soak
from tests.support.soak_records import sleep
from tests.support.soak_router import SoakRouter
from tests.support.version_fleet import CallerStream
from tests.support.version_fleet import count_mixed
from tests.support.version_fleet import LEAST_RATIO
from tests.support.version_fleet import LEAST_RESUMED
from tests.support.version_fleet import MAX_MIXED

SOAK_SECONDS = 16.0
SLOTS = 6
CALLERS = 40
ROUTERS = 4
# Each tenth seed runs as many processes as the machine bears.
MANY_ROUTERS = 10
MAX_TRIES = 4
TRY_SECONDS = 4.0
# A router that was disturbed within this time is not in touch.
CONTACT_SECONDS = 3.0


@dataclasses.dataclass
class TryCounts:
    """How many tries there were, and how many got at least one event."""

    tries: int = 0
    served: int = 0

    @property
    def share(self) -> float:
        """Return the share that got an event."""
        return self.served / self.tries if self.tries else 0.0


@dataclasses.dataclass
class VersionOutcome:
    """What callers observed.

    :ivar mixed: streams with events of several versions.
    :ivar broken: streams in which an event is missing or repeated.
    :ivar begun: first tries at routers in touch.
    :ivar resumed: tries that resume a stream there, while two engines of its
        version run.
    """

    seed: int
    streams: int = 0
    mixed: int = 0
    broken: int = 0
    crashes: int = 0
    complete: int = 0
    begun: TryCounts = dataclasses.field(default_factory=TryCounts)
    resumed: TryCounts = dataclasses.field(default_factory=TryCounts)

    @property
    def faults(self) -> list[str]:
        """Return a description of each violation of a rule."""
        found = []
        if self.mixed > MAX_MIXED:
            found.append(f'{self.mixed} streams of several versions')
        if self.broken:
            found.append(f'{self.broken} streams with a gap')
        least = LEAST_RATIO * self.begun.share
        if self.resumed.tries >= LEAST_RESUMED and self.resumed.share < least:
            found.append(
                f'{self.resumed.share:.2f} of the resumed streams continue,'
                f' {self.begun.share:.2f} of the new ones begin'
            )
        return found


class VersionSoak(RouterSoak[VersionOutcome, CrashingUpstream]):
    """Runs one seed.

    :ivar max_tries: how often a caller tries to get one stream.
    :ivar return_seconds: range of the seconds between two tries.
    """

    seconds = SOAK_SECONDS
    upstream_count = 0
    max_tries = MAX_TRIES
    return_seconds = (0.0, 0.2)

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.router_count = ROUTERS if seed % 10 else MANY_ROUTERS
        super().__init__(seed, folder)
        self._outcome = VersionOutcome(seed)
        self._streams: list[CallerStream] = []
        self._disturbed_at: dict[str, float] = {}
        # One to one, or one to four.
        old = 3 if seed % 2 else 2
        self._slots = [
            EngineSlot(
                f'e{number}',
                self._store,
                self._get_source(f'e{number}'),
                'v1' if number < old else 'v1.1',
            )
            for number in range(SLOTS)
        ]
        self._releases = 1

    def make_upstream(self, name: str) -> CrashingUpstream:
        """Return a plain upstream; none is used."""
        return CrashingUpstream(name, self._store)

    def list_coroutines(self) -> list[Coroutine[None, None, None]]:
        """Return the coroutines of callers and fault injection."""
        return [
            self._run_engines(),
            *(self._call(number) for number in range(CALLERS)),
            self._disturb_routers(),
            self._disturb_routers('again'),
            self._crash_engines(),
            self._release(),
        ]

    async def _run_engines(self) -> None:
        for slot in self._slots:
            await slot.start()
        try:
            await self._done.wait()
        finally:
            for slot in self._slots:
                await slot.stop()

    async def _call(self, number: int) -> None:
        source = self._get_source(f'caller {number}')
        sent = 0
        await sleep(self._done, 1.0)
        while not self._done.is_set():
            sent += 1
            stream = CallerStream(f'c{number}-{sent}')
            self._streams.append(stream)
            for _ in range(self.max_tries):
                await self._try_stream(stream, source.choice(self._routers))
                if stream.is_complete or self._done.is_set():
                    break
                if self.gives_up(number, stream):
                    break
                await sleep(self._done, source.uniform(*self.return_seconds))
            await sleep(self._done, source.uniform(0.0, 0.05))

    def gives_up(self, number: int, stream: CallerStream) -> bool:
        """Return whether a caller begins another stream."""
        return False

    async def _try_stream(
        self,
        stream: CallerStream,
        router: SoakRouter,
        seconds: float = TRY_SECONDS,
    ) -> None:
        before = len(stream.events)
        known = sum(
            slot.running_version in stream.versions and slot.is_known()
            for slot in self._slots
        )
        in_touch = self._is_in_touch(router)
        with contextlib.suppress(LifttrestleError, TimeoutError, OSError):
            async with asyncio.timeout(seconds):
                await stream.call(router.address)
        if not in_touch or not self._is_in_touch(router):
            return
        if before and known < 2:
            return
        counts = self._outcome.resumed if before else self._outcome.begun
        counts.tries += 1
        counts.served += len(stream.events) > before

    def _is_in_touch(self, router: SoakRouter) -> bool:
        at = self._disturbed_at.get(router.name, 0.0)
        return time.monotonic() - at > CONTACT_SECONDS

    def note_disturbed(self, router: SoakRouter) -> None:
        """Record that a router is not in touch until it is calm again."""
        self._disturbed_at[router.name] = float('inf')

    def note_calm(self, router: SoakRouter) -> None:
        """Record that the disturbance of a router has ended."""
        self._disturbed_at[router.name] = time.monotonic()

    async def _disturb_routers(self, name: str = 'once') -> None:
        """Kill, stop or freeze a router, again and again."""
        source = self._get_source(f'routers {name}')
        while not self._done.is_set():
            await sleep(self._done, source.uniform(1.0, 4.0))
            router = source.choice(self._routers)
            if self._done.is_set() or router.name in self._disturbed_at:
                continue
            self.note_disturbed(router)
            await self._disturb(router, source)
            self.note_calm(router)
            await sleep(self._done, source.uniform(0.0, CONTACT_SECONDS))
            del self._disturbed_at[router.name]

    async def _disturb(
        self, router: SoakRouter, source: random.Random
    ) -> None:
        how = source.choice(('kill', 'kill', 'stop', 'freeze'))
        if how == 'freeze':
            router.signal(signal.SIGSTOP)
            await sleep(self._done, source.uniform(0.5, 2.0))
            router.signal(signal.SIGCONT)
            return
        if how == 'kill':
            router.kill()
            await sleep(self._done, source.uniform(0.0, 0.5))
        else:
            await router.stop()
        await router.start()

    async def _crash_engines(self) -> None:
        source = self._get_source('crashes')
        while not self._done.is_set():
            await sleep(self._done, source.uniform(0.5, 2.0))
            if not self._done.is_set():
                await source.choice(self._slots).crash(self._done)

    async def _release(self) -> None:
        """Replace half of the engines, again and again."""
        source = self._get_source('releases')
        while not self._done.is_set():
            await sleep(self._done, source.uniform(3.0, 7.0))
            self._releases += 1
            for slot in source.sample(self._slots, SLOTS // 2):
                if not self._done.is_set():
                    await slot.release(f'v1.{self._releases}')
                await sleep(self._done, source.uniform(0.1, 0.6))

    def check(self) -> VersionOutcome:
        """Check the events of all streams."""
        outcome = self._outcome
        outcome.streams = len(self._streams)
        outcome.mixed = count_mixed(self._streams)
        outcome.complete = sum(item.is_complete for item in self._streams)
        outcome.crashes = sum(slot.crashes for slot in self._slots)
        for stream in self._streams:
            numbers = [number for number, _ in stream.events]
            outcome.broken += numbers != list(range(1, len(numbers) + 1))
        return outcome


async def run_seed(seed: int) -> VersionOutcome:
    """Run one seed and return its outcome."""
    return await run_soak(VersionSoak, seed)
