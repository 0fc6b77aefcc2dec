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

"""Timeouts that do not win over a result that is already available.

The event loop reads its sockets, runs the timers that are due, and only then
the tasks that wait for what was read. After a pause of the event loop, or if
bytes arrive just in time, ``asyncio.timeout`` therefore cancels a task whose
result has arrived.
"""

import asyncio
import types

# More iterations of the event loop than lie between the arrival of bytes, or
# of a new connection, and the task that waits for them.
EXTRA_ITERATIONS = 8


class ReadTimeout:
    """Limits the duration of a read, like ``asyncio.timeout``.

    When time has run out, the event loop runs ``EXTRA_ITERATIONS`` times
    before the read is cancelled. Used once, by one task.

    :param seconds: at most, None for no limit until ``expire`` is called.
    :raises TimeoutError: on exit, if the read was cancelled.
    """

    def __init__(self, seconds: float | None) -> None:
        self._seconds = seconds
        self._timeout = asyncio.timeout(None)
        self._handle: asyncio.Handle | None = None
        self._exited = False

    async def __aenter__(self) -> 'ReadTimeout':
        await self._timeout.__aenter__()
        if self._seconds is not None:
            self._handle = asyncio.get_running_loop().call_later(
                max(self._seconds, 0.0), self._count_down, EXTRA_ITERATIONS
            )
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._exited = True
        if self._handle is not None:
            self._handle.cancel()
        await self._timeout.__aexit__(error_type, error, traceback)

    def expire(self) -> None:
        """End the read as if time had run out; no effect after its end."""
        if self._handle is not None:
            self._handle.cancel()
        self._count_down(EXTRA_ITERATIONS)

    def _count_down(self, iterations: int) -> None:
        if self._exited:
            return
        loop = asyncio.get_running_loop()
        if iterations:
            self._handle = loop.call_soon(self._count_down, iterations - 1)
        else:
            self._timeout.reschedule(loop.time())
