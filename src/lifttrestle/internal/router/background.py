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

"""Background tasks, which outlive the request that started them."""

import asyncio
from collections.abc import Coroutine
import logging

LOG = logging.getLogger('lifttrestle.router')


class BackgroundTasks:
    """Keeps tasks referenced while they run; a planned stop waits for them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[object]] = set()

    def start(
        self, work: Coroutine[object, object, object]
    ) -> asyncio.Task[object]:
        """Start a task that runs ``work``; its failure is logged."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)
        return task

    async def flush(self, seconds: float) -> None:
        """Wait for all tasks, for at most ``seconds``."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=seconds)

    def _handle_end(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error(
                'router: a background task failed', exc_info=task.exception()
            )
