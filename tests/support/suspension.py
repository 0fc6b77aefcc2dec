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

"""Simulates suspensions: CLOCK_BOOTTIME advances, CLOCK_MONOTONIC does not."""

from collections.abc import Iterator
import contextlib
import time
from unittest import mock


class Machine:
    """A machine whose CLOCK_BOOTTIME includes simulated suspensions.

    :ivar suspended: total of the suspensions so far, in seconds.
    """

    def __init__(self) -> None:
        self.suspended = 0.0
        self._clock_gettime = time.clock_gettime

    def suspend(self, seconds: float) -> None:
        """Simulate a suspension of ``seconds`` that ends now."""
        self.suspended += seconds

    def read_clock(self, clock: int) -> float:
        """Return the time of a clock, in place of ``clock_gettime``."""
        skipped = self.suspended if clock == time.CLOCK_BOOTTIME else 0.0
        return self._clock_gettime(clock) + skipped


@contextlib.contextmanager
def simulate_machine() -> Iterator[Machine]:
    """Replace this process's clocks by those of a machine to suspend."""
    machine = Machine()
    with mock.patch.object(time, 'clock_gettime', machine.read_clock):
        yield machine
