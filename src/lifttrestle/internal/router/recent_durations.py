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

"""How long requests of each kind took lately."""

from lifttrestle.internal.clock.clock import Clock

# A time is remembered for one to two spans. The streams that we know last up
# to 15 s, so a kind that is in use shows its long ones in one span many times.
SPAN_SECONDS = 300.0


class RecentDurations:
    """Remembers the longest time of each target over the last spans."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._span = 0
        self._before: dict[str, float] = {}
        self._now: dict[str, float] = {}

    def record(self, target: str, seconds: float) -> None:
        """Remember a request that was served to its end."""
        self._turn()
        self._now[target] = max(self._now.get(target, 0.0), seconds)

    def get_longest(self, target: str) -> float:
        """Return the longest time in seconds, 0 where none is known."""
        self._turn()
        return max(self._now.get(target, 0.0), self._before.get(target, 0.0))

    def _turn(self) -> None:
        span = int(self._clock.monotonic() // SPAN_SECONDS)
        if span == self._span:
            return
        self._before = self._now if span == self._span + 1 else {}
        self._now = {}
        self._span = span
