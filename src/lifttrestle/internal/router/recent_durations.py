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

"""The longest recent duration of requests to each target."""

from lifttrestle.internal.clock.clock import Clock

# A duration is kept for one to two windows. Known streams last up to 15 s, so
# one window contains many of the long requests to a target in use.
WINDOW_SECONDS = 300.0


class RecentDurations:
    """Tracks the longest duration per target in this and the last window."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window = 0
        self._previous: dict[str, float] = {}
        self._current: dict[str, float] = {}

    def record(self, target: str, seconds: float) -> None:
        """Record the duration of a completed request."""
        self._rotate()
        self._current[target] = max(self._current.get(target, 0.0), seconds)

    def get_longest(self, target: str) -> float:
        """Return the longest duration in seconds, 0 if none is known."""
        self._rotate()
        return max(
            self._current.get(target, 0.0), self._previous.get(target, 0.0)
        )

    def _rotate(self) -> None:
        window = int(self._clock.monotonic() // WINDOW_SECONDS)
        if window == self._window:
            return
        self._previous = self._current if window == self._window + 1 else {}
        self._current = {}
        self._window = window
