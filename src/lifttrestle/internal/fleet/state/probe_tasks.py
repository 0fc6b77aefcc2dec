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

"""Tasks that probe targets, at most one for each."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import functools

from lifttrestle.internal.clock.ticker import Ticker

POLL_SECONDS = 0.1


class ProbeTasks:
    """Runs probes by the names of their targets.

    :param limit: how many may run at the same time.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(
        self, ticker: Ticker, start_probes: Callable[[], None]
    ) -> None:
        """Start due probes periodically until cancelled.

        :param start_probes: starts a probe of each target that is due.
        """
        try:
            while True:
                await ticker.wait(POLL_SECONDS)
                start_probes()
        finally:
            await self._cancel()

    def may_start(self, name: str) -> bool:
        """Return whether a target may be probed now."""
        return name not in self._tasks and len(self._tasks) < self._limit

    def start(self, name: str, probe: Coroutine[None, None, None]) -> None:
        """Run a probe in a task."""
        task = asyncio.create_task(probe)
        self._tasks[name] = task
        task.add_done_callback(functools.partial(self._remove, name))

    def _remove(self, name: str, task: 'asyncio.Task[None]') -> None:
        self._tasks.pop(name, None)

    async def _cancel(self) -> None:
        """Cancel all probes and wait until they have ended."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
