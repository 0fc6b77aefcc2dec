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

"""The system's clock, from which a test may skip time."""

import datetime

from lifttrestle.internal.clock.system import SystemClock


class ShiftedClock(SystemClock):
    """Goes as the system's clock does, ahead by what was skipped."""

    def __init__(self) -> None:
        self._skipped = 0.0
        self._held: float | None = None

    def skip(self, seconds: float) -> None:
        """Let ``seconds`` have passed."""
        self._skipped += seconds

    def freeze(self) -> None:
        """Let no time pass, however slow the machine is, until ``resume``."""
        self._held = self.monotonic()

    def resume(self) -> None:
        """Let time pass again, from where it was held."""
        if self._held is not None:
            self._skipped = self._held - super().monotonic()
            self._held = None

    def now(self) -> datetime.datetime:
        """Return the wall time, ahead by what was skipped."""
        return super().now() + datetime.timedelta(seconds=self._skipped)

    def monotonic(self) -> float:
        """Return the monotonic time, ahead by what was skipped."""
        if self._held is not None:
            return self._held
        return super().monotonic() + self._skipped
