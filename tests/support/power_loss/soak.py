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

"""A deployment loses the power of all its routers, and returns."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import tempfile
import time

from tests.support.power_loss.deployment import Deployment
from tests.support.power_loss.layout import Layout
from tests.support.power_loss.report import judge
from tests.support.power_loss.report import Outcome
from tests.support.power_loss.report import read_records
from tests.support.power_loss.report import Records

SETTLING_SECONDS = 8.0
CALM_SECONDS = 8.0
# The users' bound, and how long is judged after it.
RECOVERY_SECONDS = 15.0
JUDGED_SECONDS = 10.0
SAMPLE_SECONDS = 1.0
# A machine is up to this much late to return.
LATE_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class PowerLoss:
    """One loss of power.

    :ivar at: seconds from the begin of the first loss.
    :ivar down: seconds until the routers start.
    :ivar replicas: whether the replicas lose power too.
    :ivar late: whether one router starts later than the others.
    """

    at: float
    down: float
    replicas: bool = False
    late: bool = False


@dataclasses.dataclass(frozen=True)
class Plan:
    """What happens in one run.

    :ivar store_delay: seconds before the store carries out a call, from the
        first loss on.
    :ivar store_seconds: for how long, from the start of the routers.
    :ivar store_busy: seconds that each call keeps the store busy, so that
        others wait; for as long as the delay.
    """

    losses: tuple[PowerLoss, ...]
    store_delay: float = 0.0
    store_seconds: float = 0.0
    store_busy: float = 0.0


def draw_plan(source: random.Random) -> Plan:
    """Return a random plan; some losses come before all are ready again."""
    at = 0.0
    losses = []
    for _ in range(source.randint(1, 3)):
        losses.append(
            PowerLoss(
                at,
                source.uniform(0.5, 2.5),
                replicas=source.random() < 0.3,
                late=source.random() < 0.3,
            )
        )
        at += source.uniform(3.0, 9.0)
    slow = source.random() < 0.6
    return Plan(
        tuple(losses),
        source.uniform(0.3, 1.5) if slow else 0.0,
        source.uniform(4.0, 40.0),
    )


class PowerLossSoak:
    """Runs one plan and judges what callers and the balancer saw."""

    def __init__(
        self, layout: Layout, plan: Plan, folder: pathlib.Path
    ) -> None:
        self._layout = layout
        self._plan = plan
        self._deployment = Deployment(layout, folder)
        self._records = Records()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> Outcome:
        """Run it to its end."""
        try:
            await self._start()
            sampler = asyncio.create_task(self._sample())
            await asyncio.sleep(CALM_SECONDS)
            await self._lose_power()
            await asyncio.sleep(RECOVERY_SECONDS + JUDGED_SECONDS)
            sampler.cancel()
            self._records.ended = time.monotonic()
        finally:
            for task in self._tasks:
                task.cancel()
            self._deployment.stop()
        read_records(self._records, self._deployment.folder)
        return judge(self._records)

    async def _start(self) -> None:
        self._deployment.start_store()
        self._deployment.start_replicas()
        self._deployment.start_routers()
        # A start of all routers takes as long as a return of all of them.
        await asyncio.sleep(SETTLING_SECONDS + 0.1 * self._layout.routers)
        self._deployment.start_callers()
        self._records.began = time.monotonic()

    async def _lose_power(self) -> None:
        began = time.monotonic()
        self._records.lost = began
        self._deployment.command_store(
            delay=self._plan.store_delay, busy=self._plan.store_busy
        )
        for loss in self._plan.losses:
            await asyncio.sleep(max(began + loss.at - time.monotonic(), 0.0))
            await self._lose_once(loss)
        self._records.returned = time.monotonic()
        self._start_task(self._restore_store())

    async def _lose_once(self, loss: PowerLoss) -> None:
        deployment = self._deployment
        deployment.kill_routers()
        if loss.replicas:
            deployment.kill_replicas()
        await asyncio.sleep(loss.down)
        if loss.replicas:
            deployment.start_replicas(wait=False)
        names = self._layout.list_routers()
        late = names[-1:] if loss.late else []
        deployment.start_routers(names[: len(names) - len(late)])
        for name in late:
            self._start_task(self._start_late(name))

    async def _start_late(self, name: str) -> None:
        await asyncio.sleep(LATE_SECONDS)
        self._deployment.start_routers([name])

    async def _restore_store(self) -> None:
        await asyncio.sleep(self._plan.store_seconds)
        self._deployment.command_store(delay=0.0, busy=0.0)

    def _start_task(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _sample(self) -> None:
        while True:
            sample = {
                **self._deployment.command_store(),
                **self._deployment.read_processor_seconds(),
                'second': time.monotonic(),
            }
            self._records.samples.append(sample)
            await asyncio.sleep(SAMPLE_SECONDS)


async def run_plan(
    layout: Layout, plan: Plan, folder: pathlib.Path | None = None
) -> Outcome:
    """Run a plan; keep the records if a folder for them is given."""
    with contextlib.ExitStack() as stack:
        if folder is None:
            name = stack.enter_context(tempfile.TemporaryDirectory())
            folder = pathlib.Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        outcome = await PowerLossSoak(layout, plan, folder).run()
        summary = json.dumps(dataclasses.asdict(outcome), indent=1)
        (folder / 'outcome.json').write_text(summary)
    return outcome
