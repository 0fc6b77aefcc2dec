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

"""Bounds the memory of all answers that are being received.

Each answer has a bound of its own; without a common one, a few upstreams that
send bytes without end exhaust the memory of the router.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib


class BodyHold:
    """The received part of one answer.

    :param give_up: ends its reception.
    :ivar size: its bytes.
    :ivar given_up: whether it had to give way to others.
    """

    def __init__(
        self, budget: 'BodyBudget', give_up: Callable[[], None]
    ) -> None:
        self._budget = budget
        self._give_up = give_up
        self.size = 0
        self.given_up = False

    def resize(self, size: int) -> None:
        """Set the size; this or another answer may have to give way."""
        if self.given_up:
            return
        self._budget.held += size - self.size
        self.size = size
        self._budget.enforce()

    def give_up(self) -> None:
        """End its reception."""
        self.given_up = True
        self._give_up()


class BodyBudget:
    """Ends the reception of the largest answers while all are too large.

    What grows without end becomes the largest before long; usual answers are
    small.

    :param capacity: bytes of all answers together.
    :ivar held: bytes of the answers that are being received.
    :ivar given_up: how many answers had to give way.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.held = 0
        self.given_up = 0
        self._holds: set[BodyHold] = set()

    @contextlib.contextmanager
    def hold(self, give_up: Callable[[], None]) -> Iterator[BodyHold]:
        """Return the account of an answer, which lasts for its reception.

        :param give_up: ends the reception.
        """
        hold = BodyHold(self, give_up)
        self._holds.add(hold)
        try:
            yield hold
        finally:
            self._release(hold)

    def enforce(self) -> None:
        """Let the largest answers give way until the others fit."""
        while self.held > self.capacity and self._holds:
            largest = max(self._holds, key=lambda hold: hold.size)
            self._release(largest)
            self.given_up += 1
            largest.give_up()

    def _release(self, hold: BodyHold) -> None:
        if hold in self._holds:
            self._holds.discard(hold)
            self.held -= hold.size
