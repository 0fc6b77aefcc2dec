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
"""

import collections
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.settings import Promises

# Usable fraction of the allowance, as the windows of the routers differ.
USABLE_SHARE = 0.85


@dataclasses.dataclass(frozen=True)
class BudgetUse:
    """What one router has of a retry budget in the current window.

    The sums over all routers can be compared with the whole budget.

    :ivar spent: retries.
    :ivar earned: retries that its requests allow.
    :ivar slack: its share of the retries that need no requests.
    :ivar routers: routers that share the slack.
    """

    spent: int
    earned: float
    slack: float
    routers: int


class SharedRetryBudget:
    """Counts requests and retries of one service over a sliding window."""

    def __init__(self, promises: Promises, clock: Clock) -> None:
        self.promises = promises
        self._clock = clock
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def note_request(self) -> None:
        """Record a request of a caller."""
        self._requests.append(self._clock.monotonic())

    def get_use(self, live_routers: int) -> BudgetUse:
        """Return what is spent and what may be, without safety margin."""
        oldest = self._clock.monotonic() - self.promises.retry_window_seconds
        _drop_before(self._requests, oldest)
        _drop_before(self._retries, oldest)
        routers = max(live_routers, 1)
        return BudgetUse(
            spent=len(self._retries),
            earned=self.promises.retry_share * len(self._requests),
            slack=self.promises.retry_slack / routers,
            routers=routers,
        )

    def has_room(self, live_routers: int) -> bool:
        """Return whether the budget allows a retry.

        :param live_routers: upper estimate of the routers that share the
            slack.
        """
        use = self.get_use(live_routers)
        return use.spent + 1 <= USABLE_SHARE * (use.earned + use.slack)

    def take(self, live_routers: int) -> bool:
        """Spend a retry; return False if the budget is exhausted."""
        if not self.has_room(live_routers):
            return False
        self._retries.append(self._clock.monotonic())
        return True


def _drop_before(times: collections.deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
