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

"""Lets the periodic work of a process wake it together.

Each time that a process wakes costs more than the little that it then does.
Four loops of a router, with periods of 0.1, 0.1, 0.2 and 0.5 s, woke it 27
times a second with timers of their own, and wake it 10 times with this.
"""

import math

from lifttrestle.internal.clock.clock import Clock

# A beat that is nearer than this part of the period has been waited for.
NEAR_SHARE = 0.01


class Ticker:
    """Ends waits at multiples of their periods, from a common start.

    :param phase: seconds; processes that start together should differ in it,
        so that they don't work all at the same moment.
    """

    def __init__(self, clock: Clock, phase: float = 0.0) -> None:
        self._clock = clock
        self._phase = phase

    async def wait(self, period: float) -> float:
        """Wait for the next multiple of a period.

        :param period: seconds; of two periods, one should be a multiple of
            the other.
        :returns: by how many seconds the wait ended late.
        """
        now = self._clock.monotonic()
        beats = math.floor((now - self._phase) / period + NEAR_SHARE)
        due = self._phase + (beats + 1) * period
        await self._clock.sleep(due - now)
        return self._clock.monotonic() - due
