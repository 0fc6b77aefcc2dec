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

"""Work that goes on for as long as a router's process does."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('router')


class ControlTasks:
    """Begins work, and notices if some of it ends before it is told to.

    :param tell_failed: is called then: a router without it must not go on.
    :ivar failed: that has happened.
    """

    def __init__(self, tell_failed: Callable[[], None]) -> None:
        self._tell_failed = tell_failed
        self._tasks: list[asyncio.Task[None]] = []
        self.failed = False

    def begin(self, *works: Coroutine[None, None, None]) -> None:
        """Do work that ends with the process, and never before."""
        for work in works:
            task = asyncio.create_task(work)
            task.add_done_callback(self._note_end)
            self._tasks.append(task)

    async def end(self) -> None:
        """End all of it."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _note_end(self, task: 'asyncio.Task[None]') -> None:
        if task.cancelled():
            return
        LOG.critical('router.control_failed', exc_info=task.exception())
        self.failed = True
        self._tell_failed()
