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

"""An engine of a soak that crashes, restarts and changes its software."""

import asyncio
import random
import time

from tests.support.entries import make_entry
from tests.support.fleet_store import FleetStoreStandin
from tests.support.fleet_upstream import FleetUpstreamStandin
from tests.support.soak_records import sleep

# From the end of a crashed engine to the removal of its entry.
ENTRY_SECONDS = (0.5, 2.5)
DOWN_SECONDS = (0.2, 1.5)
DRAIN_SECONDS = 2.5
EVENT_SECONDS = (0.05, 0.12)
SLOTS = 16
# An engine that started this long ago is known to all routers in touch.
KNOWN_SECONDS = 3.0


class EngineSlot:
    """Runs one engine after the other; each has a name of its own.

    :ivar version: software version of the next start.
    :ivar started_at: when the running engine started, None while none runs.
    :ivar crashes: number of crashes.
    :ivar event_seconds: range of the pause before each event.
    """

    def __init__(
        self,
        name: str,
        store: FleetStoreStandin,
        source: random.Random,
        version: str,
    ) -> None:
        self.version = version
        self.started_at: float | None = None
        self.crashes = 0
        self.event_seconds = EVENT_SECONDS
        self._name = name
        self._store = store
        self._source = source
        self._starts = 0
        self._engine: FleetUpstreamStandin | None = None
        self._ending: set[asyncio.Task[None]] = set()

    @property
    def running_version(self) -> str:
        """Return the version of the running engine, empty without one."""
        return self._engine.software_version if self._engine else ''

    def is_known(self) -> bool:
        """Return whether its engine has run long enough for all to know."""
        started_at = self.started_at
        return (
            started_at is not None
            and time.monotonic() - started_at > KNOWN_SECONDS
        )

    async def start(self) -> None:
        """Start an engine and list it."""
        self._starts += 1
        engine = FleetUpstreamStandin(f'{self._name}-{self._starts}')
        engine.software_version = self.version
        engine.event_seconds = self._source.uniform(*self.event_seconds)
        engine.room = 2 * SLOTS
        await engine.start()
        self._engine = engine
        self._put(engine)
        self.started_at = time.monotonic()

    async def crash(self, done: asyncio.Event) -> None:
        """End the engine in mid-stream, and start another one later."""
        engine = self._take()
        if engine is None:
            return
        self.crashes += 1
        await engine.stop()
        self._end_later(self._expire(engine))
        await sleep(done, self._source.uniform(*DOWN_SECONDS))
        await self.start()

    async def release(self, version: str) -> None:
        """Start an engine of another version, and drain this one."""
        engine = self._take()
        self.version = version
        await self.start()
        if engine is not None:
            self._put(engine, state='draining')
            self._end_later(self._drain(engine))

    async def stop(self) -> None:
        """Stop at once."""
        for task in self._ending:
            task.cancel()
        await asyncio.gather(*self._ending, return_exceptions=True)
        engine = self._take()
        if engine is not None:
            await engine.stop()

    def _take(self) -> FleetUpstreamStandin | None:
        engine = self._engine
        self._engine = None
        self.started_at = None
        return engine

    def _put(self, engine: FleetUpstreamStandin, **fields: object) -> None:
        entry = make_entry(
            service='engines',
            address=str(engine.address),
            slots=SLOTS,
            models=[{'name': 'm', 'version': 1}],
            version=engine.software_version,
            **fields,
        )
        self._store.put('servers', engine.instance, entry)

    def _end_later(self, ending) -> None:
        task = asyncio.create_task(ending)
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)

    async def _expire(self, engine: FleetUpstreamStandin) -> None:
        await asyncio.sleep(self._source.uniform(*ENTRY_SECONDS))
        self._store.remove('servers', engine.instance)

    async def _drain(self, engine: FleetUpstreamStandin) -> None:
        try:
            await asyncio.sleep(DRAIN_SECONDS)
        finally:
            await engine.stop()
            self._store.remove('servers', engine.instance)
