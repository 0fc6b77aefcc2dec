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

"""A manually advanced clock for replay and tests."""

import asyncio
import datetime

from lifttrestle.internal.clock.clock import Clock


class ManualClock(Clock):
    """Changes its time only through ``advance`` and ``step``."""

    def __init__(self, start: datetime.datetime) -> None:
        self._now = start
        self._monotonic = 0.0
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def now(self) -> datetime.datetime:
        """Return the simulated wall time."""
        return self._now

    def monotonic(self) -> float:
        """Return the total of seconds by which the clock was advanced."""
        return self._monotonic

    def advance(self, seconds: float) -> None:
        """Advance wall time and monotonic time by ``seconds``."""
        self._monotonic += seconds
        self._now += datetime.timedelta(seconds=seconds)
        self._wake()

    async def sleep(self, seconds: float) -> None:
        """Return once the clock has been advanced by ``seconds``."""
        future = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._monotonic + seconds, future))
        await future

    def step(self, seconds: float) -> None:
        """Step the wall time only, as when a system clock is corrected."""
        self._now += datetime.timedelta(seconds=seconds)

    def _wake(self) -> None:
        due = [item for item in self._sleepers if item[0] <= self._monotonic]
        self._sleepers = [item for item in self._sleepers if item not in due]
        for _, future in due:
            if not future.done():
                future.set_result(None)
