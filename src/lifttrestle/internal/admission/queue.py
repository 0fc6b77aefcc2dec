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

"""A bounded priority queue with deadlines; it performs no I/O."""

import dataclasses
import itertools

from lifttrestle.internal.admission.ticket import Ticket


@dataclasses.dataclass(frozen=True)
class AdmissionResult:
    """The tickets that an operation of the queue has started or refused."""

    started: tuple[Ticket, ...] = ()
    refused: tuple[Ticket, ...] = ()


class AdmissionQueue:
    """Grants slots to requests, the most urgent waiting request first.

    A full queue refuses its least urgent request immediately, which may be
    the new one, rather than let it wait until its deadline.

    :param slots: requests that may run concurrently.
    :param length: requests that may wait.
    """

    def __init__(self, slots: int, length: int) -> None:
        self._free = slots
        self._length = length
        self._waiting: list[Ticket] = []
        self._sequence = itertools.count()

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def offer(self, ticket: Ticket, now: float) -> AdmissionResult:
        """Start a request, or add it to the queue.

        :param now: monotonic time in seconds.
        """
        ticket.sequence = next(self._sequence)
        expired = self._expire(now)
        if self._free > 0 and not self._waiting:
            self._grant(ticket)
            return AdmissionResult((ticket,), expired)
        self._waiting.append(ticket)
        if len(self._waiting) <= self._length:
            return AdmissionResult((), expired)
        last = max(self._waiting, key=lambda item: item.sort_key)
        self._waiting.remove(last)
        return AdmissionResult((), (*expired, last))

    def release(self, now: float) -> AdmissionResult:
        """Release a slot and start the most urgent waiting request.

        :param now: monotonic time in seconds.
        """
        self._free += 1
        expired = self._expire(now)
        started: list[Ticket] = []
        while self._free > 0 and self._waiting:
            first = min(self._waiting, key=lambda item: item.sort_key)
            self._waiting.remove(first)
            self._grant(first)
            started.append(first)
        return AdmissionResult(tuple(started), expired)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a waiting request.

        :returns: whether it was waiting.
        """
        if ticket not in self._waiting:
            return False
        self._waiting.remove(ticket)
        return True

    def _grant(self, ticket: Ticket) -> None:
        self._free -= 1
        ticket.granted = True

    def _expire(self, now: float) -> tuple[Ticket, ...]:
        expired = tuple(item for item in self._waiting if item.deadline <= now)
        for ticket in expired:
            self._waiting.remove(ticket)
        return expired
