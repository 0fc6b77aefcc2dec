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

"""The time that has truly passed, for the clock and for the event loop.

The system's steady clock does not count the time for which the machine is
suspended. What acts on age would then take for fresh what is old: whether keys
are current, a lease, a caller's time limit, what others told of their loads.
This time goes on, and never goes back either.
"""

import asyncio
from collections.abc import Coroutine
import time
from typing import Any
from typing import TypeVar

T = TypeVar('T')
# Only Linux has it; elsewhere a suspension is not counted.
BOOT_CLOCK: int | None = getattr(time, 'CLOCK_BOOTTIME', None)


def read_elapsed() -> float:
    """Return seconds since an arbitrary start, suspensions among them."""
    if BOOT_CLOCK is None:
        return time.monotonic()
    return time.clock_gettime(BOOT_CLOCK)


class ElapsedTimeLoop(asyncio.SelectorEventLoop):
    """Counts the time of a suspension against every timeout and pause.

    The system waits by its steady clock, so that a timer which ran out in a
    suspension is looked at when the next one of the loop is due after the
    wake, 0.1 s later at the most in a router.
    """

    def time(self) -> float:
        """Return the loop's time, by which it has its timers run."""
        return read_elapsed()


def run_main(main: Coroutine[Any, Any, T]) -> T:
    """Run a program's main task to its end, and return what it returns."""
    with asyncio.Runner(loop_factory=ElapsedTimeLoop) as runner:
        return runner.run(main)
