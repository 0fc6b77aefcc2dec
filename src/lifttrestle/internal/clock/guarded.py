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

"""A clock that limits forward steps of the system's wall time.

Release times depend on wall time, and a system clock that jumps ahead would
end an embargo early. Wall time therefore may not run ahead of monotonic time
by more than a bound. Backward steps are passed on: they only delay releases.
"""

import datetime
import logging

from lifttrestle.internal.clock.clock import Clock

LOG = logging.getLogger('lifttrestle.clock')


class GuardedClock(Clock):
    """Wraps a clock and caps its wall time.

    :param clock: the clock to wrap; its wall time is assumed to be correct
        when this object is created.
    :param bound_seconds: how far wall time may run ahead of monotonic time;
        allows for a system clock that is being slewed.
    """

    def __init__(self, clock: Clock, bound_seconds: float) -> None:
        self._clock = clock
        self._bound = datetime.timedelta(seconds=bound_seconds)
        self._start_wall = clock.now()
        self._start_monotonic = clock.monotonic()
        self._warned = False

    def now(self) -> datetime.datetime:
        """Return the wall time, at most its upper bound."""
        wall = self._clock.now()
        elapsed = self._clock.monotonic() - self._start_monotonic
        latest = (
            self._start_wall
            + datetime.timedelta(seconds=elapsed)
            + self._bound
        )
        if wall <= latest:
            return wall
        if not self._warned:
            self._warned = True
            LOG.warning(
                'clock: the system time %s is later than its upper bound %s;'
                ' restart the router if the system time is correct',
                wall.isoformat(),
                latest.isoformat(),
            )
        return latest

    def monotonic(self) -> float:
        """Return the monotonic time of the wrapped clock."""
        return self._clock.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Return after ``seconds`` of monotonic time."""
        await self._clock.sleep(seconds)
