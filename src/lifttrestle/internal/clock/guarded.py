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

"""A clock that a forward step of the machine's clock does not carry away.

Release times depend on wall time. A machine whose clock jumps ahead would
open an embargo early, so wall time may not outrun the monotonic time by more
than a bound. A step back is followed: it can only open something later.
"""

import datetime
import logging

from lifttrestle.internal.clock.clock import Clock

LOG = logging.getLogger('lifttrestle.clock')


class GuardedClock(Clock):
    """Wraps a clock and caps its wall time.

    :param clock: the clock to guard; its wall time is taken as right when
        this object is made.
    :param bound_seconds: how far wall time may run ahead, for a machine
        whose clock is slewed.
    """

    def __init__(self, clock: Clock, bound_seconds: float) -> None:
        self._clock = clock
        self._bound = datetime.timedelta(seconds=bound_seconds)
        self._wall = clock.now()
        self._monotonic = clock.monotonic()
        self._told = False

    def now(self) -> datetime.datetime:
        """Return the wall time, or the latest that it can truly be."""
        wall = self._clock.now()
        passed = self._clock.monotonic() - self._monotonic
        latest = self._wall + datetime.timedelta(seconds=passed) + self._bound
        if wall <= latest:
            return wall
        if not self._told:
            self._told = True
            LOG.warning(
                'clock: the machine says %s, but it can be %s at the latest;'
                ' restart the router if the machine is right',
                wall.isoformat(),
                latest.isoformat(),
            )
        return latest

    def monotonic(self) -> float:
        """Return the guarded clock's monotonic time."""
        return self._clock.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Return after ``seconds`` of the monotonic time."""
        await self._clock.sleep(seconds)
