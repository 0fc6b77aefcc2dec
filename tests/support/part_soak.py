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

"""Soak of prompt parts that crash engines, while routers are killed."""

from collections.abc import Coroutine
import dataclasses
import pathlib
import random
import time

from tests.support.crashing_engine import CrashingEngine
from tests.support.router_soak import RouterSoak
from tests.support.router_soak import run_soak
from tests.support.soak_call import call_router
from tests.support.soak_call import SoakCall
from tests.support.soak_records import sleep

# Later than this after the fifth crash under a part, at most three requests
# with it may reach engines.
CONTACT_SECONDS = 3.0
LIMIT = 5
MAX_LATE = 3
FIRST = 'aa'
FATAL_PARTS = ('dead', 'dead2')
POPULAR = ('b1', 'b2', 'b3')
CALLERS = 8
ENGINES = 8
ROUTERS = 3
SOAK_SECONDS = 14.0
HELD = b'crashes_upstreams'
# As in the soak of crashing requests: a part that has not succeeded yet can't
# be distinguished from a guilty one before its trial.
MAX_FALSE_HOLD_SECONDS = 4.0


@dataclasses.dataclass
class PartOutcome:
    """What callers and engines observed.

    :ivar crashes: number of crashes of engines.
    :ivar sound: number of sound requests.
    :ivar served: number of those that were served.
    :ivar sent: number of requests with a fatal part.
    :ivar late: by fatal part, how often it reached an engine after all
        connected routers had time to learn of its crashes.
    :ivar false_holds: by sound part, when requests with it were refused as
        dangerous, monotonic seconds.
    """

    seed: int
    crashes: int = 0
    sound: int = 0
    served: int = 0
    sent: int = 0
    late: dict[str, int] = dataclasses.field(default_factory=dict)
    false_holds: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def faults(self) -> list[str]:
        """Return a description of each violation of a rule."""
        found = [
            f'{part} reached {count} engines too late'
            for part, count in self.late.items()
            if count > MAX_LATE
        ]
        for part, times in self.false_holds.items():
            seconds = max(times) - min(times)
            if seconds > MAX_FALSE_HOLD_SECONDS:
                found.append(f'{part} was held for {seconds:.1f} s')
        return found


class PartSoak(RouterSoak[PartOutcome, CrashingEngine]):
    """Runs one seed."""

    seconds = SOAK_SECONDS
    router_count = ROUTERS
    upstream_count = ENGINES

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        super().__init__(seed, folder)
        self._outcome = PartOutcome(seed)

    def make_upstream(self, name: str) -> CrashingEngine:
        """Return an engine that the fatal parts crash."""
        return CrashingEngine(name, self._store, set(FATAL_PARTS))

    def list_coroutines(self) -> list[Coroutine[None, None, None]]:
        """Return the coroutines of callers and fault injection."""
        return [
            *(self._send_fatal(part) for part in FATAL_PARTS),
            *(self._send_sound(number) for number in range(CALLERS)),
            self._kill_routers((1.5, 5.0)),
            self._crash_groups((2.0, 5.0)),
        ]

    async def _call(
        self, source: random.Random, part: str
    ) -> tuple[int, bytes]:
        """Send a request to a random router; status 0 without an answer."""
        address = source.choice(self._routers).address
        name = f'{source.getrandbits(64):x}'
        headers = (
            ('model', 'm'),
            ('token-count', '400,5'),
            ('prompt-prefix', f'{FIRST}:100,{part}:100,{name}:200'),
        )
        call = SoakCall(
            address, name, '/text/a', name.encode(), headers=headers
        )
        answer = await call_router(call)
        return (answer.status, answer.body) if answer else (0, b'')

    async def _send_fatal(self, part: str) -> None:
        source = self._get_source(part)
        # Popular parts succeed before the first crash.
        await sleep(self._done, source.uniform(0.5, 3.0))
        while not self._done.is_set():
            self._outcome.sent += 1
            await self._call(source, part)
            await sleep(self._done, source.uniform(0.0, 0.4))

    async def _send_sound(self, number: int) -> None:
        source = self._get_source(f'caller {number}')
        outcome = self._outcome
        while not self._done.is_set():
            rare = f'c{source.randrange(50)}'
            part = source.choice((*POPULAR, rare))
            status, body = await self._call(source, part)
            outcome.sound += 1
            outcome.served += status == 200
            if HELD in body:
                times = outcome.false_holds.setdefault(part, [])
                times.append(time.monotonic())
            await sleep(self._done, source.uniform(0.0, 0.2))

    def check(self) -> PartOutcome:
        """Count the fatal runs that began too late."""
        outcome = self._outcome
        outcome.crashes = sum(item.crashes for item in self._upstreams)
        for part in FATAL_PARTS:
            runs = sorted(
                at
                for engine in self._upstreams
                for run, at in engine.fatal_runs
                if run == part
            )
            crashes = sorted(
                at
                for engine in self._upstreams
                for parts, at in engine.crashed_under
                if part in parts
            )
            fifth = crashes[LIMIT - 1] if len(crashes) >= LIMIT else None
            outcome.late[part] = (
                0
                if fifth is None
                else sum(at > fifth + CONTACT_SECONDS for at in runs)
            )
        return outcome


async def run_seed(seed: int) -> PartOutcome:
    """Run one seed and return its outcome."""
    return await run_soak(PartSoak, seed)
