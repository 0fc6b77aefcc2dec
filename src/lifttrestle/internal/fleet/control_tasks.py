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

"""Background tasks that run as long as a router process does."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('router')


class ControlTasks:
    """Starts background tasks and detects those that end prematurely.

    :param on_failed: called when a task fails or ends before it is
        cancelled, as a router must not continue without it.
    :ivar failed: whether a task failed or ended before it was cancelled.
    """

    def __init__(self, on_failed: Callable[[], None]) -> None:
        self._on_failed = on_failed
        self._tasks: list[asyncio.Task[None]] = []
        self.failed = False

    def start(self, *coroutines: Coroutine[None, None, None]) -> None:
        """Start tasks that must not end before the process does."""
        for coroutine in coroutines:
            task = asyncio.create_task(coroutine)
            task.add_done_callback(self._note_end)
            self._tasks.append(task)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _note_end(self, task: 'asyncio.Task[None]') -> None:
        if task.cancelled():
            return
        LOG.critical('router.control_failed', exc_info=task.exception())
        self.failed = True
        self._on_failed()
