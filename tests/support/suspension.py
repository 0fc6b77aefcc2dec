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

"""A machine that is suspended: one of its clocks goes on, the other stands."""

from collections.abc import Iterator
import contextlib
import time
from unittest import mock


class Machine:
    """Its time of day and its elapsed time skip what its steady time does not.

    :ivar suspended: seconds, so far.
    """

    def __init__(self) -> None:
        self.suspended = 0.0
        self._read = time.clock_gettime

    def suspend(self, seconds: float) -> None:
        """Have it been suspended, and woken again, this moment."""
        self.suspended += seconds

    def read(self, clock: int) -> float:
        """Return one of its clocks."""
        skipped = self.suspended if clock == time.CLOCK_BOOTTIME else 0.0
        return self._read(clock) + skipped


@contextlib.contextmanager
def run_machine() -> Iterator[Machine]:
    """Have this process run on a machine that can be suspended."""
    machine = Machine()
    with mock.patch.object(time, 'clock_gettime', machine.read):
        yield machine
