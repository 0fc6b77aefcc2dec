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

"""Moving average of the recent usage of a cap or limit."""

import math

# A group without a report for this time is unreachable or gone: two reports of
# an idle router were lost.
SILENT_SECONDS = 0.6
# Time constant of the average: callers come and go within some seconds.
AVERAGING_SECONDS = 4.0


class RecentUse:
    """Exponential moving average of usage in units per second.

    The most recent usage is excluded for the time that it takes to detect a
    silent group. Routers that lose contact then compute their shares from the
    same averages, from before the loss, and the shares add up to the whole.
    """

    __slots__ = ('_at', '_began_at', '_before', '_units', '_value')

    def __init__(self) -> None:
        self._value = 0.0
        self._at = 0.0
        self._began_at = -math.inf
        self._units = 0.0
        self._before = 0.0

    def note(self, units: float, now: float) -> None:
        """Record used units."""
        self._rotate(now)
        self._units += units

    def set(self, value: float, now: float) -> None:
        """Adopt an average that another router computed."""
        self._value = value
        self._at = now
        self._units = self._before = 0.0

    def get(self, now: float) -> float:
        """Return the average in units per second."""
        self._rotate(now)
        if not self._value:
            return 0.0
        return self._value * math.exp((self._at - now) / AVERAGING_SECONDS)

    def get_unaveraged(self, now: float) -> float:
        """Return the recent units that the average does not include yet."""
        self._rotate(now)
        passed = (now - self._began_at) / SILENT_SECONDS
        return max(self._units + self._before * (1.0 - passed), 0.0)

    def _rotate(self, now: float) -> None:
        passed = now - self._began_at
        if passed < SILENT_SECONDS:
            return
        self._add_to_average(self._before, now)
        self._before = self._units
        if passed >= 2 * SILENT_SECONDS:
            self._add_to_average(self._before, now)
            self._before = 0.0
        self._units = 0.0
        self._began_at = now

    def _add_to_average(self, units: float, now: float) -> None:
        if self._value:
            self._value *= math.exp((self._at - now) / AVERAGING_SECONDS)
        self._value = max(self._value + units / AVERAGING_SECONDS, 0.0)
        self._at = now
