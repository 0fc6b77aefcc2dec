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

"""Runs an action once for all callers that wait for it together."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import typing

from lifttrestle.internal.clock.clock import Clock

Result = typing.TypeVar('Result')


class SharedCall(typing.Generic[Result]):
    """Limits how often an action begins.

    :param get_period_seconds: returns the shortest time between two begins.
    """

    def __init__(
        self,
        clock: Clock,
        get_period_seconds: Callable[[], float],
        action: Callable[[], Awaitable[Result]],
    ) -> None:
        self._clock = clock
        self._get_period_seconds = get_period_seconds
        self._action = action
        self._begun_at = float('-inf')
        self._next: asyncio.Task[Result] | None = None

    async def call(self) -> Result:
        """Return the result of an action that begins after this call.

        A caller that is cancelled doesn't end the action of the others.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._run())
        return await asyncio.shield(self._next)

    async def _run(self) -> Result:
        due_at = self._begun_at + self._get_period_seconds()
        pause = due_at - self._clock.monotonic()
        if pause > 0:
            await self._clock.sleep(pause)
        self._begun_at = self._clock.monotonic()
        self._next = None
        return await self._action()
