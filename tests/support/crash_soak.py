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

"""Soak of requests that crash upstreams, while routers are killed."""

from collections.abc import Coroutine
import dataclasses
import pathlib
import random
import time

from tests.support.crashing_upstream import CrashingUpstream
from tests.support.crashing_upstream import FATAL
from tests.support.router_soak import RouterSoak
from tests.support.router_soak import run_soak
from tests.support.soak_call import call_router
from tests.support.soak_call import SoakCall
from tests.support.soak_records import sleep

# After three upstreams have crashed under a request and this time has passed,
# in which the routers exchange their records, the request may reach at most
# three more upstreams.
CONTACT_SECONDS = 3.0
LIMIT = 3
FATAL_BODIES = (FATAL + b' 1', FATAL + b' 2')
POPULAR = (b'a', b'b', b'c')
CALLERS = 6
UPSTREAMS = 6
ROUTERS = 3
SOAK_SECONDS = 12.0
HELD = b'crashes_upstreams'
# Maximum duration of a false hold. A popular request that has not succeeded
# yet can't be distinguished from a dangerous one if three upstreams crash
# under it right after the start. It has its trial after one second and ten
# refusals, which are a fifth of a second apart.
MAX_FALSE_HOLD_SECONDS = 4.0


@dataclasses.dataclass
class CrashOutcome:
    """What callers and upstreams observed.

    :ivar crashes: number of crashes of upstreams.
    :ivar harmless: number of harmless requests.
    :ivar served: number of harmless requests that were served.
    :ivar late: by body, how often a fatal request reached an upstream after
        all connected routers had time to learn of its crashes.
    :ivar sent: by body, how often a fatal request was sent.
    :ivar false_holds: by body, when harmless requests were refused as
        dangerous, monotonic seconds.
    """

    seed: int
    crashes: int = 0
    harmless: int = 0
    served: int = 0
    late: dict[bytes, int] = dataclasses.field(default_factory=dict)
    sent: dict[bytes, int] = dataclasses.field(default_factory=dict)
    false_holds: dict[bytes, list[float]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def faults(self) -> list[str]:
        """Return a description of each violation of a rule."""
        found = [
            f'{body!r} reached {count} upstreams too late'
            for body, count in self.late.items()
            if count > LIMIT
        ]
        for body, times in self.false_holds.items():
            seconds = max(times) - min(times)
            if body not in POPULAR or seconds > MAX_FALSE_HOLD_SECONDS:
                found.append(f'{body!r} was held for {seconds:.1f} s')
        return found


class RecordingUpstream(CrashingUpstream):
    """Records when each fatal request began to run.

    :ivar fatal_runs: body and start time of each, monotonic seconds.
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


class CrashSoak(RouterSoak[CrashOutcome, RecordingUpstream]):
    """Runs one seed."""

    seconds = SOAK_SECONDS
    router_count = ROUTERS
    upstream_count = UPSTREAMS

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        super().__init__(seed, folder)
        self._outcome = CrashOutcome(seed)

    def make_upstream(self, name: str) -> RecordingUpstream:
        """Return an upstream that records the requests that crash it."""
        return RecordingUpstream(name, self._store, self._get_source(name))

    def list_coroutines(self) -> list[Coroutine[None, None, None]]:
        """Return the coroutines of callers and fault injection."""
        return [
            *(self._send_fatal(body) for body in FATAL_BODIES),
            *(self._send_harmless(number) for number in range(CALLERS)),
            self._kill_routers((1.0, 4.0), (0.0, 0.5)),
            self._crash_groups((1.0, 4.0)),
        ]

    async def _call(
        self, source: random.Random, body: bytes
    ) -> tuple[int, bytes]:
        """Send a request to a random router; status 0 without an answer."""
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
                # Callers retry a failed request at once.
                await self._call(source, body)
            await sleep(self._done, source.uniform(0.2, 1.2))

    async def _send_harmless(self, number: int) -> None:
        source = self._get_source(f'caller {number}')
        outcome = self._outcome
        while not self._done.is_set():
            unique = b'own %d' % source.getrandbits(32)
            request_body = source.choice((*POPULAR, unique))
            status, body = await self._call(source, request_body)
            outcome.harmless += 1
            outcome.served += status == 200
            if HELD in body:
                times = outcome.false_holds.setdefault(request_body, [])
                times.append(time.monotonic())
            await sleep(self._done, source.uniform(0.0, 0.1))

    def check(self) -> CrashOutcome:
        """Count the fatal runs that began too late."""
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
        return outcome


async def run_seed(seed: int) -> CrashOutcome:
    """Run one seed and return its outcome."""
    return await run_soak(CrashSoak, seed)
