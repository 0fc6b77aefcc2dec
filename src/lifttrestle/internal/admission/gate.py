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

"""An asyncio interface to the admission queue."""

import asyncio

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.admission.queue import AdmissionQueue
from lifttrestle.internal.admission.queue import AdmissionResult
from lifttrestle.internal.admission.ticket import Ticket
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.refusal.kind import ErrorKind

RETRY_SECONDS = 1.0


class AdmissionGate:
    """Limits the number of running requests; further ones wait in a queue.

    :param slots: requests that may run concurrently.
    :param length: requests that may wait.
    """

    def __init__(self, slots: int, length: int, clock: Clock) -> None:
        self._queue = AdmissionQueue(slots, length)
        self._clock = clock
        self._futures: dict[Ticket, asyncio.Future[None]] = {}

    async def enter(self, priority: int, deadline: float) -> None:
        """Wait for a slot.

        :param priority: 0 is the most urgent.
        :param deadline: monotonic time in seconds.
        :raises RequestRefused: if the queue is full, immediately or when a
            more urgent request arrives, or if the deadline passes.
        """
        ticket = Ticket(priority, deadline)
        future = asyncio.get_running_loop().create_future()
        self._futures[ticket] = future
        try:
            self._apply(self._queue.offer(ticket, self._clock.monotonic()))
            wait = deadline - self._clock.monotonic()
            async with asyncio.timeout(max(wait, 0)):
                await future
        except TimeoutError:
            self._cancel_wait(ticket)
            raise _refuse('waited for a slot until its deadline') from None
        except asyncio.CancelledError:
            self._cancel_wait(ticket)
            raise
        finally:
            self._futures.pop(ticket, None)

    def leave(self) -> None:
        """Release the slot."""
        self._apply(self._queue.release(self._clock.monotonic()))

    def _cancel_wait(self, ticket: Ticket) -> None:
        # A slot may have been granted in the same iteration of the event
        # loop in which the wait was cancelled; it is then released.
        if not self._queue.withdraw(ticket) and ticket.granted:
            self.leave()

    def _apply(self, result: AdmissionResult) -> None:
        for ticket in result.started:
            future = self._futures.get(ticket)
            if future is not None and not future.done():
                future.set_result(None)
        for ticket in result.refused:
            future = self._futures.get(ticket)
            if future is not None and not future.done():
                future.set_exception(self._explain_refusal(ticket))

    def _explain_refusal(self, ticket: Ticket) -> RequestRefused:
        if ticket.deadline <= self._clock.monotonic():
            return _refuse('waited for a slot until its deadline')
        return _refuse('found the queue full')


def _refuse(reason: str) -> RequestRefused:
    return RequestRefused(
        ErrorKind.OVERLOADED,
        f'the request {reason}',
        retry_after=RETRY_SECONDS,
    )
