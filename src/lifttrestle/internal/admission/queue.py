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

"""A bounded queue by priority with deadlines; it does no I/O."""

import dataclasses
import itertools

from lifttrestle.internal.admission.ticket import Ticket


@dataclasses.dataclass(frozen=True)
class AdmissionResult:
    """What follows from an event: who may start and who is turned away."""

    started: tuple[Ticket, ...] = ()
    refused: tuple[Ticket, ...] = ()


class AdmissionQueue:
    """Grants a number of slots, the most urgent waiting request first.

    A full queue turns away its least urgent member at once, which may be the
    newcomer, so that no one waits for what will not come.

    :param slots: requests that may run at the same time.
    :param length: requests that may wait.
    """

    def __init__(self, slots: int, length: int) -> None:
        self._free = slots
        self._length = length
        self._waiting: list[Ticket] = []
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def offer(self, ticket: Ticket, now: float) -> AdmissionResult:
        """Add a request."""
        ticket.number = next(self._numbers)
        expired = self._expire(now)
        if self._free > 0 and not self._waiting:
            self._grant(ticket)
            return AdmissionResult((ticket,), expired)
        self._waiting.append(ticket)
        if len(self._waiting) <= self._length:
            return AdmissionResult((), expired)
        last = max(self._waiting, key=lambda item: item.rank)
        self._waiting.remove(last)
        return AdmissionResult((), (*expired, last))

    def release(self, now: float) -> AdmissionResult:
        """Give a slot back and start the most urgent waiting request."""
        self._free += 1
        expired = self._expire(now)
        started: list[Ticket] = []
        while self._free > 0 and self._waiting:
            first = min(self._waiting, key=lambda item: item.rank)
            self._waiting.remove(first)
            self._grant(first)
            started.append(first)
        return AdmissionResult(tuple(started), expired)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a waiting request; return False if it did not wait."""
        if ticket not in self._waiting:
            return False
        self._waiting.remove(ticket)
        return True

    def _grant(self, ticket: Ticket) -> None:
        self._free -= 1
        ticket.granted = True

    def _expire(self, now: float) -> tuple[Ticket, ...]:
        late = tuple(item for item in self._waiting if item.deadline <= now)
        for ticket in late:
            self._waiting.remove(ticket)
        return late
