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

"""How late this process runs what is due.

A process that gets too little processor time runs its timers late, and reads
its connections as late. Nothing else shows that: each step by itself is fast.
"""

import math

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('router')
POLL_SECONDS = 0.1
# Time constant of the mean.
AVERAGING_SECONDS = 0.5
# One long pause counts as this much.
MAX_SAMPLE_SECONDS = 1.0
# A mean above this is logged, at this interval.
LOGGED_SECONDS = 0.05
LOG_SECONDS = 1.0
# A call to another process and its answer wait for both processes several
# times: to send, to accept, to read.
WAITS_PER_CALL = 5
MAX_ALLOWANCE_SECONDS = 1.5


class LatenessWatch:
    """Measures the delay of timers, and logs long ones.

    :ivar mean: average delay of recent timers, in seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._logged_at = -math.inf
        self.mean = 0.0

    def get_allowance(self) -> float:
        """Return the seconds by which other processes may answer later."""
        return min(WAITS_PER_CALL * self.mean, MAX_ALLOWANCE_SECONDS)

    async def run(self, ticker: Ticker) -> None:
        """Measure until cancelled."""
        while True:
            self.note(await ticker.wait(POLL_SECONDS))

    def note(self, late: float) -> None:
        """Add the delay of one timer, in seconds."""
        sample = min(max(late, 0.0), MAX_SAMPLE_SECONDS)
        elapsed = POLL_SECONDS + sample
        weight = 1 - math.exp(-elapsed / AVERAGING_SECONDS)
        self.mean += weight * (sample - self.mean)
        now = self._clock.monotonic()
        if self.mean < LOGGED_SECONDS or now - self._logged_at < LOG_SECONDS:
            return
        self._logged_at = now
        LOG.info('router.late', mean_s=round(self.mean, 3))
