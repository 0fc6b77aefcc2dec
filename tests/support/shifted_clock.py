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

"""A system clock that a test can shift forward or freeze."""

import datetime

from lifttrestle.internal.clock.system import SystemClock


class ShiftedClock(SystemClock):
    """Runs ahead of the system's clock by the time that was skipped."""

    def __init__(self) -> None:
        self._skipped = 0.0
        self._frozen_at: float | None = None

    def skip(self, seconds: float) -> None:
        """Shift the clock forward by ``seconds``."""
        self._skipped += seconds

    def freeze(self) -> None:
        """Stop monotonic time until ``resume``, on however slow a machine."""
        self._frozen_at = self.monotonic()

    def resume(self) -> None:
        """Let time advance again from the frozen value."""
        if self._frozen_at is not None:
            self._skipped = self._frozen_at - super().monotonic()
            self._frozen_at = None

    def now(self) -> datetime.datetime:
        """Return the wall time plus the skipped time."""
        return super().now() + datetime.timedelta(seconds=self._skipped)

    def monotonic(self) -> float:
        """Return the monotonic time plus the skipped time, or the frozen."""
        if self._frozen_at is not None:
            return self._frozen_at
        return super().monotonic() + self._skipped
