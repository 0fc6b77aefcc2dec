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

"""Soak of streams that are taken up again as all routers start."""

import asyncio
from collections.abc import Coroutine
import pathlib
import random

from lifttrestle.internal.fleet.state.rows import RowChanges
from tests.support.router_soak import run_soak
from tests.support.soak_records import sleep
from tests.support.version_fleet import CallerStream
from tests.support.version_soak import CALLERS
from tests.support.version_soak import VersionOutcome
from tests.support.version_soak import VersionSoak

# A caller that doesn't insist begins another stream after more than these.
MAX_REFUSALS = 3
STATUS_UNAVAILABLE = 503
CALM_SECONDS = (1.5, 3.0)
# From the begin of a release to the end of all routers.
LEAD_SECONDS = (0.0, 1.5)
# Entries of engines that crashed before may be gone then.
DOWN_SECONDS = (0.0, 3.0)
OUTAGE_SECONDS = (0.3, 1.5)
READ_SECONDS = (0.0, 1.8)


class RejoinSoak(VersionSoak):
    """Runs one seed.

    One software version serves. All engines are replaced by ones of the next,
    meanwhile all routers are killed at once, and at times the store is away.
    """

    max_tries = 40
    return_seconds = (0.0, 0.5)

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        super().__init__(seed, folder)
        for slot in self._slots:
            slot.version = 'v1'
        self._slow_down_reads()

    def _slow_down_reads(self) -> None:
        """Let each read of a whole table take a time of its own."""
        source = self._get_source('reads')
        read_table = self._store.rows.read_table

        async def read_slowly(table: str) -> RowChanges:
            await asyncio.sleep(source.uniform(*READ_SECONDS))
            return await read_table(table)

        self._store.rows.read_table = read_slowly

    def list_coroutines(self) -> list[Coroutine[None, None, None]]:
        """Return the coroutines of callers and fault injection."""
        return [
            self._run_engines(),
            *(self._call(number) for number in range(CALLERS)),
            self._strike(),
        ]

    def gives_up(self, number: int, stream: CallerStream) -> bool:
        """Return whether a caller begins another stream; half insist."""
        refusals = stream.statuses.count(STATUS_UNAVAILABLE)
        return bool(number % 2) and refusals > MAX_REFUSALS

    async def _strike(self) -> None:
        """Replace all engines and kill all routers, again and again."""
        source = self._get_source('strikes')
        while not self._done.is_set():
            await sleep(self._done, source.uniform(*CALM_SECONDS))
            if self._done.is_set():
                return
            self._releases += 1
            release = asyncio.create_task(self._replace_all(source))
            await sleep(self._done, source.uniform(*LEAD_SECONDS))
            outage = asyncio.create_task(self._interrupt_store(source))
            await self._kill_all(source)
            await asyncio.gather(release, outage)

    async def _replace_all(self, source: random.Random) -> None:
        version = f'v1.{self._releases}'
        crashes = source.random() < 0.5
        pause = source.uniform(0.0, 0.2)
        replaced = []
        for slot in self._slots:
            slot.version = version
            change = (
                slot.crash(self._done) if crashes else slot.release(version)
            )
            replaced.append(asyncio.create_task(change))
            await sleep(self._done, pause)
        await asyncio.gather(*replaced)

    async def _interrupt_store(self, source: random.Random) -> None:
        """Let the store refuse all calls for a while, in half of the cases."""
        if source.random() < 0.5:
            return
        self._store.rows.down = True
        await sleep(self._done, source.uniform(*OUTAGE_SECONDS))
        self._store.rows.down = False

    async def _kill_all(self, source: random.Random) -> None:
        for router in self._routers:
            self.note_disturbed(router)
            router.kill()
        await sleep(self._done, source.uniform(*DOWN_SECONDS))
        await asyncio.gather(*(router.start() for router in self._routers))
        for router in self._routers:
            self.note_calm(router)


async def run_seed(seed: int) -> VersionOutcome:
    """Run one seed and return its outcome."""
    return await run_soak(RejoinSoak, seed)
