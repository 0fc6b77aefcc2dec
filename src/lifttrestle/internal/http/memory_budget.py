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

"""Bounds the memory of all that others make a process hold.

Each connection has bounds of its own; without a common one, many callers, or a
few upstreams that send bytes without end, exhaust the memory of the process.
"""

import abc
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses

DEFAULT_MEMORY_BYTES = 64_000_000
# Once too much is held, holders give way until no more than this is, so that
# not every further byte has all of them measured.
LOW_SHARE = 0.875
# Complete bodies never give way. What they leave is for those that arrive, and
# for small ones, so that large ones don't keep all other callers out.
KEPT_SHARE = 0.75
SMALL_BODY_BYTES = 16 * 1024


@dataclasses.dataclass(frozen=True)
class Claim:
    """What a holder holds, and whether it may have to give way.

    :ivar size: in bytes.
    :ivar yields: False while it may not lose anything, as a request runs.
    :ivar stalled: whether its peer makes no headway.
    """

    size: int
    yields: bool = True
    stalled: bool = False


class MemoryHolder(abc.ABC):
    """Holds bytes that others have sent or have not taken yet."""

    @abc.abstractmethod
    def make_claim(self) -> Claim:
        """Return what it holds now."""

    @abc.abstractmethod
    def give_way(self) -> None:
        """Let go of all that it holds; it may claim nothing afterwards."""


def compute_largest_body(capacity: int) -> int:
    """Return the bytes of the largest body that fits into a bound."""
    return int(KEPT_SHARE * capacity)


def order_by_duty(
    claims: Iterable[tuple[MemoryHolder, Claim]],
) -> list[tuple[MemoryHolder, Claim]]:
    """Return those that may give way, those that have to do it first first.

    What makes no headway comes before what does, and the large before the
    small: usual requests and answers are small.
    """
    yielding = [
        (holder, claim)
        for holder, claim in claims
        if claim.yields and claim.size
    ]
    yielding.sort(
        key=lambda item: (item[1].stalled, item[1].size), reverse=True
    )
    return yielding


class MemoryBudget:
    """Lets holders give way while all together hold too much.

    :param capacity: bytes of all holders together.
    :ivar given_way: how many holders had to give way.
    :ivar kept: bytes of complete bodies.
    """

    def __init__(self, capacity: int = DEFAULT_MEMORY_BYTES) -> None:
        self.capacity = capacity
        self.given_way = 0
        self.kept = 0
        self._holders: set[MemoryHolder] = set()
        # At least what is held: growth is noted at once, the rest when all
        # holders are measured.
        self._most_held = 0

    @property
    def held(self) -> int:
        """Return the bytes that all holders hold."""
        return sum(holder.make_claim().size for holder in self._holders)

    def add(self, holder: MemoryHolder) -> None:
        """Count a holder from now on."""
        self._holders.add(holder)

    def discard(self, holder: MemoryHolder) -> None:
        """Count a holder no more."""
        self._holders.discard(holder)

    def note_growth(self, size: int) -> None:
        """Note that a holder has got more bytes; some may have to give way."""
        self._most_held += size
        if self._most_held > self.capacity:
            self._enforce()

    @property
    def largest_body(self) -> int:
        """Return the bytes of the largest body that is ever kept."""
        return compute_largest_body(self.capacity)

    def has_room_to_keep(self, size: int) -> bool:
        """Return whether a complete body may be kept."""
        is_small = size <= SMALL_BODY_BYTES
        most = self.capacity if is_small else self.largest_body
        return self.kept + size <= most

    def _enforce(self) -> None:
        claims = [(item, item.make_claim()) for item in self._holders]
        held = sum(claim.size for _, claim in claims)
        if held > self.capacity:
            for holder, claim in order_by_duty(claims):
                if held <= LOW_SHARE * self.capacity:
                    break
                self.given_way += 1
                held -= claim.size
                holder.give_way()
        self._most_held = held

    @contextlib.contextmanager
    def hold(self, give_up: Callable[[], None]) -> Iterator['AnswerHold']:
        """Return the account of an answer, which lasts for its reception.

        :param give_up: ends the reception.
        """
        hold = AnswerHold(self, give_up)
        self.add(hold)
        try:
            yield hold
        finally:
            self.discard(hold)


class AnswerHold(MemoryHolder):
    """The received part of an upstream's answer.

    :param give_up: ends its reception.
    :ivar size: its bytes.
    :ivar given_up: whether it had to give way to others.
    """

    def __init__(
        self, budget: MemoryBudget, give_up: Callable[[], None]
    ) -> None:
        self._budget = budget
        self._give_up = give_up
        self.size = 0
        self.given_up = False

    def resize(self, size: int) -> None:
        """Set the size; this or another holder may have to give way."""
        if self.given_up:
            return
        growth, self.size = size - self.size, size
        if growth > 0:
            self._budget.note_growth(growth)

    def make_claim(self) -> Claim:
        """Return what was received."""
        return Claim(0 if self.given_up else self.size)

    def give_way(self) -> None:
        """End its reception."""
        self.given_up = True
        self._give_up()
