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

"""Rate limiting of load reports between routers.

A long prompt occupies its engine for some tenths of a second. If it were
reported with the next regular report, other routers would choose the same
engine in the meantime. It is reported at once instead, at a rate bounded by
the number of reports that each router receives from all others.
"""

from lifttrestle.internal.clock.clock import Clock

# Period of regular reports. Requests last some hundred ms, so older counts are
# of little use.
REPORT_SECONDS = 0.15
# Maximum number of reports that each router receives per second, each about
# 60 us of CPU time: 1.5% of a core (docs/design/platform.md).
MAX_REPORT_RATE = 250
# Maximum number of queries per second for the sum of all loads that a router
# receives from all others, each 0.24 ms of CPU time (benchmarks/decisions.py).
# 33 routers that receive 68 streams a second send about as many.
MAX_QUERY_RATE = 400
# Capacity of the token bucket: reports that may be sent at once.
BURST = 3.0
# In a large fleet, regular reports use two fifths of the maximum rate and the
# rest is for changes. As there is at least one regular report a second, they
# use a growing part from 100 routers on, and all of it with 250.
REGULAR_PERIOD_FACTOR = 2.5
MAX_REGULAR_SECONDS = 1.0


def compute_period(routers: int, max_rate: float = MAX_REPORT_RATE) -> float:
    """Return the period of regular reports in seconds.

    :param routers: number of routers that send reports to one receiver.
    :param max_rate: reports per second that it receives from all together.
    """
    period = routers / max_rate
    spread = min(period * REGULAR_PERIOD_FACTOR, MAX_REGULAR_SECONDS)
    return max(REPORT_SECONDS, period, spread)


class ReportPacer:
    """Token bucket for the reports of one router.

    :param max_rate: reports per second that a router receives from all others
        together.
    """

    def __init__(
        self, clock: Clock, max_rate: float = MAX_REPORT_RATE
    ) -> None:
        self._clock = clock
        self._max_rate = max_rate
        self._tokens = BURST
        self._filled_at = clock.monotonic()

    def get_regular_seconds(self, routers: int) -> float:
        """Return the period of regular reports in seconds.

        :param routers: number of routers that send reports.
        """
        return compute_period(routers, self._max_rate)

    def take(self, routers: int) -> float:
        """Take a token; return the seconds until the report may be sent."""
        rate = self._refill(routers)
        # Negative for a report that is sent later.
        self._tokens -= 1.0
        return max(-self._tokens, 0.0) / rate

    def try_take(self, routers: int) -> bool:
        """Take a token if one is available; return whether it was."""
        self._refill(routers)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, routers: int) -> float:
        """Refill the bucket; return the refill rate per second."""
        now = self._clock.monotonic()
        rate = self._max_rate / max(routers, 1)
        filled = self._tokens + (now - self._filled_at) * rate
        self._tokens = min(filled, BURST)
        self._filled_at = now
        return rate
