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

"""Base of the soaks of router processes in front of plain upstreams."""

import abc
import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import pathlib
import random
import tempfile
from typing import Generic
from typing import Protocol
from typing import TypeVar

from tests.support.crashing_upstream import CrashingUpstream
from tests.support.fleet import CONFIGURATION
from tests.support.fleet_store import FleetStoreStandin
from tests.support.soak_records import Record
from tests.support.soak_records import sleep
from tests.support.soak_router import SoakRouter

GRACE_SECONDS = 8.0


class SoakOutcome(Protocol):
    """Outcome of one seed."""

    @property
    def faults(self) -> list[str]:
        """Return a description of each violation of a rule."""


T = TypeVar('T', bound=SoakOutcome)
U = TypeVar('U', bound=CrashingUpstream)


class RouterSoak(abc.ABC, Generic[T, U]):
    """Runs one seed with router processes and checks what was observed.

    :ivar seconds: duration of the soak.
    :ivar router_count: number of router processes.
    :ivar upstream_count: number of upstreams.
    """

    seconds: float
    router_count: int
    upstream_count: int

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self._seed = seed
        self._folder = folder
        self._store = FleetStoreStandin()
        self._record = Record(GRACE_SECONDS)
        self._upstreams = [
            self.make_upstream(f'p{number}')
            for number in range(self.upstream_count)
        ]
        self._routers: list[SoakRouter] = []
        self._done = asyncio.Event()

    def _get_source(self, name: str) -> random.Random:
        return random.Random(f'{self._seed}/{name}')

    @abc.abstractmethod
    def make_upstream(self, name: str) -> U:
        """Return an upstream that is not started yet."""

    def make_router(self, name: str) -> SoakRouter:
        """Return a router that is not started yet."""
        return SoakRouter(
            name,
            self._folder,
            self._store.address,
            self._record,
            self._get_source(name),
        )

    @abc.abstractmethod
    def list_coroutines(self) -> Sequence[Coroutine[None, None, None]]:
        """Return coroutines that run until the soak is over."""

    @abc.abstractmethod
    def check(self) -> T:
        """Check the rules and return the outcome."""

    async def run(self) -> T:
        """Run the soak and check what was observed."""
        try:
            await self._set_up()
            async with asyncio.TaskGroup() as tasks:
                for coroutine in (
                    *self.list_coroutines(),
                    self._disturb_store(),
                ):
                    tasks.create_task(coroutine)
                await asyncio.sleep(self.seconds)
                self._done.set()
        finally:
            for router in self._routers:
                router.kill()
            for upstream in self._upstreams:
                await upstream.stop()
            await self._store.server.stop()
        return self.check()

    async def _set_up(self) -> None:
        await self._store.start()
        self._store.put('op', 'config', CONFIGURATION)
        for upstream in self._upstreams:
            await upstream.start()
        self._routers = [
            self.make_router(f'r{number}')
            for number in range(self.router_count)
        ]
        await asyncio.gather(*(router.start() for router in self._routers))

    async def _kill_routers(
        self,
        pauses: tuple[float, float],
        downtimes: tuple[float, float] | None = None,
    ) -> None:
        """Kill one, two or all routers at random times, and start them again.

        :param pauses: range of the seconds between two such times.
        :param downtimes: range of the seconds until they start; None for at
            once.
        """
        source = self._get_source('kills')
        while not self._done.is_set():
            await sleep(self._done, source.uniform(*pauses))
            count = source.choice((1, 1, 2, self.router_count))
            killed = source.sample(self._routers, count)
            for router in killed:
                router.kill()
            if downtimes is not None:
                await sleep(self._done, source.uniform(*downtimes))
            await asyncio.gather(*(router.start() for router in killed))

    async def _crash_groups(self, pauses: tuple[float, float]) -> None:
        """Crash half of the upstreams at once, at random times.

        :param pauses: range of the seconds between two such times.
        """
        source = self._get_source('herds')
        while not self._done.is_set():
            await sleep(self._done, source.uniform(*pauses))
            count = self.upstream_count // 2
            for upstream in source.sample(self._upstreams, count):
                upstream.begin_crash()

    async def _disturb_store(self) -> None:
        source = self._get_source('store')
        while not self._done.is_set():
            await sleep(self._done, source.uniform(1.0, 4.0))
            self._store.writable.clear()
            await sleep(self._done, source.uniform(0.3, 1.0))
            self._store.writable.set()


async def run_soak(soak: type[RouterSoak[T, U]], seed: int) -> T:
    """Run one seed in a temporary folder and return the outcome."""
    with tempfile.TemporaryDirectory() as folder:
        return await soak(seed, pathlib.Path(folder)).run()


def run_command_line(
    run_seed: Callable[[int], Awaitable[T]], format_outcome: Callable[[T], str]
) -> int:
    """Run the seeds that the command line selects and print each outcome.

    :return: the exit code, 1 if a rule was broken.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=20)
    parser.add_argument('--first', type=int, default=1)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)

    async def run_all() -> int:
        broken = 0
        for seed in seeds:
            outcome = await run_seed(seed)
            print(format_outcome(outcome), flush=True)
            broken += bool(outcome.faults)
        return broken

    broken = asyncio.run(run_all())
    print(f'{broken} of {len(seeds)} seeds broke a rule')
    return int(broken > 0)
