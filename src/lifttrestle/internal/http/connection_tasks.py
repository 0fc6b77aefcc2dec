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

"""The tasks that serve a listener's connections."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
import logging
from typing import Any

LOG = logging.getLogger('lifttrestle.http')


class ConnectionTasks:
    """Holds one task a connection, from the moment at which it is accepted.

    The standard library's own task for an accepted connection is out of reach
    of a stop until it has run once, and tells of its cancellation as of a
    fault.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def __iter__(self) -> Iterator[asyncio.Task[None]]:
        """Iterate over the tasks that have not ended, as of now."""
        return iter(tuple(self._tasks))

    def __len__(self) -> int:
        """Return how many connections are served."""
        return len(self._tasks)

    def start(
        self,
        work: Coroutine[Any, Any, None],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a connection, and close it when its task ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._note_end(task, writer))

    async def cancel(self) -> None:
        """Cancel every task and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _note_end(
        self, task: asyncio.Task[None], writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.discard(task)
        writer.close()
        if not task.cancelled() and task.exception() is not None:
            LOG.error('a connection failed', exc_info=task.exception())
