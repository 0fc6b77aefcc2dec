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

"""Retry budget that all routers share.

The routers do not coordinate: each spends the share earned by its own requests
and its part of the slack, so that the total stays within the budget.

A router that starts does not know what the process before it has spent, so
the two must fit into one window, whatever ends the first and however often
that happens. Therefore a running router spends only a part of its allowance at
once and the rest spread over a window, and a router that starts spends at most
that rest in its first window.
"""

import collections
from collections.abc import Sequence
import dataclasses
import zlib

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.router_share import RouterShare
from lifttrestle.internal.fleet.settings import Promises

# Usable fraction of the allowance, as the windows of the routers differ.
USABLE_SHARE = 0.85
# Fraction that may be spent at once, if it is not less than one retry.
BURST_SHARE = 0.4
# Requests earn retries up to this multiple of the requests of the window
# before: callers that come from other routers have earned some there.
MAX_GROWTH = 1.5
# Ages of a process, in windows, from which it knows all that it has spent in
# the window, and all requests of the window before.
KNOWN_WINDOWS = 1.0
SETTLED_WINDOWS = 2.0


@dataclasses.dataclass(frozen=True)
class BudgetUse:
    """What one router has of a retry budget in the current window.

    The sums over all routers can be compared with the whole budget.

    :ivar spent: retries.
    :ivar earned: retries that its requests allow.
    :ivar slack: its share of the retries that need no requests.
    :ivar routers: routers that share the slack, 0 if that is not known.
    """

    spent: int
    earned: float
    slack: float
    routers: int


class SharedRetryBudget:
    """Counts requests and retries of one service over a sliding window.

    :param service: name of the service.
    :param started_at: when this process started, in monotonic seconds.
    """

    def __init__(
        self,
        promises: Promises,
        clock: Clock,
        service: str = '',
        started_at: float = float('-inf'),
    ) -> None:
        self.promises = promises
        self._clock = clock
        self._service_number = zlib.crc32(service.encode())
        self._started_at = started_at
        # Times of the requests of this window and of the one before, and of
        # the retries of this window.
        self._requests: collections.deque[float] = collections.deque()
        self._earlier_requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def note_request(self) -> None:
        """Record a request of a caller."""
        self._requests.append(self._clock.monotonic())

    def get_use(self, shares: Sequence[RouterShare]) -> BudgetUse:
        """Return what is spent and what may be, without safety margin.

        :param shares: those that this router had in the last window; empty
            if its share is not known.
        """
        self._drop_expired()
        routers = max((share.routers for share in shares), default=0)
        slack = self.promises.retry_slack / routers if routers else 0.0
        return BudgetUse(
            spent=len(self._retries),
            earned=self.promises.retry_share * self._count_earning(),
            slack=slack * min(self._get_age(), 1.0),
            routers=routers,
        )

    def has_room(self, shares: Sequence[RouterShare]) -> bool:
        """Return whether the budget allows a retry.

        :param shares: see ``get_use``.
        """
        use = self.get_use(shares)
        burst, flow = self._split_allowance(use.earned + use.slack)
        rounding = self._get_rounding(shares)
        if self._get_age() < KNOWN_WINDOWS:
            return use.spent + 1 <= flow + rounding
        now = self._clock.monotonic()
        window = self.promises.retry_window_seconds
        spans = ((now - at) / window for at in reversed(self._retries))
        return all(
            count <= burst + flow * windows + rounding
            for count, windows in enumerate((0.0, *spans), start=1)
        )

    def take(self, shares: Sequence[RouterShare]) -> bool:
        """Spend a retry; return False if the budget is exhausted."""
        if not self.has_room(shares):
            return False
        self._retries.append(self._clock.monotonic())
        return True

    def _get_age(self) -> float:
        """Return the age of this process in windows."""
        age = self._clock.monotonic() - self._started_at
        return age / self.promises.retry_window_seconds

    def _split_allowance(self, allowance: float) -> tuple[float, float]:
        """Return what may be spent at once, and spread over a window.

        Routers that started together come to know their window at the same
        moment; until they have known two, a whole retry each would be too much
        where their allowances are far below one.
        """
        is_settled = self._get_age() >= SETTLED_WINDOWS
        is_starting = self._get_age() < KNOWN_WINDOWS
        least_burst = 1.0 if is_settled or is_starting else 0.0
        usable = USABLE_SHARE * allowance
        burst = min(max(BURST_SHARE * allowance, least_burst), usable)
        return burst, usable - burst

    def _count_earning(self) -> float:
        """Return the number of requests that earn retries."""
        if self._get_age() < SETTLED_WINDOWS:
            return len(self._requests)
        most = MAX_GROWTH * len(self._earlier_requests)
        return min(len(self._requests), most)

    def _drop_expired(self) -> None:
        window = self.promises.retry_window_seconds
        oldest = self._clock.monotonic() - window
        while self._requests and self._requests[0] < oldest:
            self._earlier_requests.append(self._requests.popleft())
        _drop_before(self._earlier_requests, oldest - window)
        _drop_before(self._retries, oldest)

    def _get_rounding(self, shares: Sequence[RouterShare]) -> float:
        """Return what is added to the allowance before it is rounded down.

        Over all routers it is spread evenly from 0 to 1, so that they round as
        many shares up as down. Where a share is a tenth of a retry, one in ten
        routers may send one.
        """
        return min(
            (
                ((share.position + self._service_number) % share.routers + 0.5)
                / share.routers
                for share in shares
            ),
            default=0.0,
        )


def _drop_before(times: collections.deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
