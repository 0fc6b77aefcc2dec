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

"""Questions for permits that are under way, and their answers."""

import asyncio
import itertools

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.limits.messages import PermitAnswer

# An answer takes two ways of the network, 2 ms within a data centre and 50
# between regions, and a router that is busy reads it some 20 ms later.
ANSWER_SECONDS = 0.15


class PermitQuestions:
    """Matches answers with the questions that wait for them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._numbers = itertools.count()
        self._waiting: dict[int, asyncio.Future[PermitAnswer]] = {}

    def begin(self) -> int:
        """Return the number of a new question."""
        number = next(self._numbers)
        loop = asyncio.get_running_loop()
        self._waiting[number] = loop.create_future()
        return number

    def take(self, answer: PermitAnswer) -> None:
        """Take in an answer; one that is waited for no more is dropped."""
        future = self._waiting.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)

    async def wait(self, number: int) -> PermitAnswer | None:
        """Return the answer to a question, None if there is none in time."""
        future = self._waiting[number]
        limit = asyncio.ensure_future(self._clock.sleep(ANSWER_SECONDS))
        try:
            await asyncio.wait(
                (future, limit), return_when=asyncio.FIRST_COMPLETED
            )
            return future.result() if future.done() else None
        finally:
            limit.cancel()
            del self._waiting[number]
