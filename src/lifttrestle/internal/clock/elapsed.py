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

"""Monotonic time that includes suspensions, for the clock and the event loop.

CLOCK_MONOTONIC does not advance while the machine is suspended. Checks of an
age would then accept stale data after a resume: API keys, leases, request
deadlines and load reports of other routers. CLOCK_BOOTTIME is monotonic, too,
and advances during a suspension.
"""

import asyncio
from collections.abc import Coroutine
import time
from typing import Any
from typing import TypeVar

T = TypeVar('T')
# Available on Linux only; other systems do not count suspensions.
BOOT_CLOCK: int | None = getattr(time, 'CLOCK_BOOTTIME', None)


def read_elapsed() -> float:
    """Return seconds since an arbitrary origin, including suspensions."""
    if BOOT_CLOCK is None:
        return time.monotonic()
    return time.clock_gettime(BOOT_CLOCK)


class ElapsedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers include the time of suspensions.

    The selector still waits by CLOCK_MONOTONIC. A timer that expires during a
    suspension therefore runs when the next timer of the loop is due after the
    resume, which in a router is at most 0.1 s later.
    """

    def time(self) -> float:
        """Return the time by which the loop schedules its timers."""
        return read_elapsed()


def run_main(main: Coroutine[Any, Any, T]) -> T:
    """Run the main coroutine in an ``ElapsedTimeLoop``; return its result."""
    with asyncio.Runner(loop_factory=ElapsedTimeLoop) as runner:
        return runner.run(main)
