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

"""Tasks that serve the connections of a listener."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
import logging
from typing import Any
from typing import Protocol

LOG = logging.getLogger('lifttrestle.http')


class Closable(Protocol):
    """A connection that is closed when its task has ended."""

    def close(self) -> None:
        """Close it once all is sent."""


class ConnectionTasks:
    """Runs one task per connection, starting when it is accepted.

    asyncio would create such a task itself for a coroutine callback, but a
    server that stops could not cancel that task before its first step, and
    asyncio would report its cancellation as an error.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def __iter__(self) -> Iterator[asyncio.Task[None]]:
        """Iterate over a snapshot of the running tasks."""
        return iter(tuple(self._tasks))

    def __len__(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    def start(
        self,
        work: Coroutine[Any, Any, None],
        connection: Closable,
    ) -> asyncio.Task[None]:
        """Run ``work`` in a task, and close ``connection`` when it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(
            lambda task: self._handle_done(task, connection)
        )
        return task

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _handle_done(
        self, task: asyncio.Task[None], connection: Closable
    ) -> None:
        self._tasks.discard(task)
        connection.close()
        if not task.cancelled() and task.exception() is not None:
            LOG.error(
                'unhandled error while serving a connection',
                exc_info=task.exception(),
            )
