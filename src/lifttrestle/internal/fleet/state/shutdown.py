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

"""Whether this process was told to stop, and how long it has for that."""

from lifttrestle.internal.clock.clock import Clock


class Shutdown:
    """The stop of one process, with one deadline for all that it has to do."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began: float | None = None
        self._deadline = 0.0

    @property
    def begun(self) -> bool:
        """Return whether the process was told to stop."""
        return self._began is not None

    def begin(self, seconds: float) -> None:
        """Note the order to stop, to be carried out within ``seconds``."""
        if self._began is None:
            self._began = self._clock.monotonic()
            self._deadline = self._began + seconds

    def get_left(self) -> float:
        """Return the seconds that are left; for ever before the order."""
        if self._began is None:
            return float('inf')
        return max(self._deadline - self._clock.monotonic(), 0.0)

    def get_passed(self) -> float:
        """Return the seconds since the order; zero before it."""
        if self._began is None:
            return 0.0
        return self._clock.monotonic() - self._began
