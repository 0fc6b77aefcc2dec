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

"""Decides how often a router tells the others of its loads.

A long prompt keeps its engine busy for some tenths of a second. Told of at
the next regular report it was known too late: other routers had chosen the
same engine meanwhile. It is told of at once, within a rate that is bounded by
what each router hears from all the others.
"""

from lifttrestle.internal.clock.clock import Clock

# Requests last for some hundred ms; older counts say little.
REPORT_SECONDS = 0.15
# Each router hears so many reports a second at the most, some 60 us of
# processor time each: 1.5% of a core (docs/design/platform.md).
MAX_REPORT_RATE = 250
# Questions for the sum of all loads that one router may get from all others,
# 0.24 ms of processor time each (benchmarks/decisions.py). 33 routers that get
# 68 streams a second ask as often.
MAX_QUERY_RATE = 400
# Reports that may be sent one after the other, of what a second allows.
BURST = 3.0
# In a large fleet the regular reports take two fifths of what may be heard,
# and the rest is for changes, as long as there is one a second: of 100 routers
# and more the regular ones take a growing part, of 250 all.
REGULAR_PERIODS = 2.5
MAX_REGULAR_SECONDS = 1.0


class ReportPacer:
    """A token bucket for one router's reports.

    :param heard_per_second: from all routers together, by any of them.
    """

    def __init__(
        self, clock: Clock, heard_per_second: float = MAX_REPORT_RATE
    ) -> None:
        self._clock = clock
        self._heard_per_second = heard_per_second
        self._tokens = BURST
        self._filled_at = clock.monotonic()

    def get_regular_seconds(self, routers: int) -> float:
        """Return the time between two reports without a change."""
        period = routers / self._heard_per_second
        spread = min(period * REGULAR_PERIODS, MAX_REGULAR_SECONDS)
        return max(REPORT_SECONDS, period, spread)

    def take(self, routers: int) -> float:
        """Spend a report; return after how many seconds it may be sent."""
        rate = self._fill(routers)
        # Below zero for one that is sent later.
        self._tokens -= 1.0
        return max(-self._tokens, 0.0) / rate

    def try_take(self, routers: int) -> bool:
        """Spend a report if it may be sent now; return whether it may."""
        self._fill(routers)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _fill(self, routers: int) -> float:
        """Add what the time since has allowed; return that for a second."""
        now = self._clock.monotonic()
        rate = self._heard_per_second / max(routers, 1)
        filled = self._tokens + (now - self._filled_at) * rate
        self._tokens = min(filled, BURST)
        self._filled_at = now
        return rate
