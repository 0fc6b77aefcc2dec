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

"""Queries to other routers that are in flight, and their answers."""

import asyncio
import itertools
from typing import Generic
from typing import Protocol
from typing import TypeVar

from lifttrestle.internal.clock.clock import Clock

# An answer takes one network round trip, 2 ms one way within a data centre and
# 50 ms between regions, and a busy router reads a message about 20 ms late.
ANSWER_TIMEOUT_SECONDS = 0.15


class NumberedAnswer(Protocol):
    """An answer that repeats the number of its query."""

    @property
    def number(self) -> int:
        """Return the number of the query."""


AnswerT = TypeVar('AnswerT', bound=NumberedAnswer)


class PendingQueries(Generic[AnswerT]):
    """Matches answers to the queries that wait for them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._numbers = itertools.count()
        self._waiting: dict[int, asyncio.Future[AnswerT]] = {}

    def register(self) -> int:
        """Register a new query and return its number."""
        number = next(self._numbers)
        loop = asyncio.get_running_loop()
        self._waiting[number] = loop.create_future()
        return number

    def resolve(self, answer: AnswerT) -> None:
        """Complete the query of an answer; a late answer is dropped."""
        future = self._waiting.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)

    async def wait(self, number: int) -> AnswerT | None:
        """Return the answer to a query, None if it times out."""
        future = self._waiting[number]
        timeout = asyncio.ensure_future(
            self._clock.sleep(ANSWER_TIMEOUT_SECONDS)
        )
        try:
            await asyncio.wait(
                (future, timeout), return_when=asyncio.FIRST_COMPLETED
            )
            return future.result() if future.done() else None
        finally:
            timeout.cancel()
            del self._waiting[number]
