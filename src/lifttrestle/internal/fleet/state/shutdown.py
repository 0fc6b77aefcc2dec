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

"""The state and the deadlines of the shutdown of a process."""

import asyncio

from lifttrestle.internal.clock.clock import Clock

# Fractions of the time between the signal and the kill, reserved at its end.
# With 8 s: 0.48 s before the end, requests without an answer are refused;
# 0.28 s before it, answers in progress are aborted; 0.1 s is for flushing the
# last bytes of answers, and the last 0.1 s for the exit. The reserves are for
# a VM that is slow at that time: on a healthy one, the steps from the last
# abort to the last log line took at most 0.9 ms of processor time (20 planned
# stops).
END_SHARE = 0.06
ABORT_SHARE = 0.035
FLUSH_SHARE = 0.0125
EXIT_SHARE = 0.0125


class Shutdown:
    """The shutdown of one process, with a common deadline for all steps.

    :ivar ending: done when requests without an answer have to be refused.
    :ivar given_up: number of requests that were refused for that reason.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_at: float | None = None
        self._total_seconds = 0.0
        self.given_up = 0
        self.ending: asyncio.Future[None] = asyncio.Future()

    @property
    def begun(self) -> bool:
        """Return whether the shutdown has begun."""
        return self._began_at is not None

    def begin(self, seconds: float) -> None:
        """Begin the shutdown, which has to end within ``seconds``."""
        if self._began_at is None:
            self._began_at = self._clock.monotonic()
            self._total_seconds = seconds

    def get_elapsed_seconds(self) -> float:
        """Return the seconds since the shutdown began; zero before that."""
        if self._began_at is None:
            return 0.0
        return self._clock.monotonic() - self._began_at

    def get_remaining_seconds(self) -> float:
        """Return the seconds until the deadline; infinite if not begun."""
        if self._began_at is None:
            return float('inf')
        return max(self._total_seconds - self.get_elapsed_seconds(), 0.0)

    def get_serving_seconds(self) -> float:
        """Return the seconds until requests without an answer are refused."""
        return self._get_seconds_until(END_SHARE)

    def get_abort_seconds(self) -> float:
        """Return the seconds until answers in progress are aborted."""
        return self._get_seconds_until(ABORT_SHARE)

    def get_flush_seconds(self) -> float:
        """Return the seconds for flushing the last bytes of answers."""
        return self._total_seconds * FLUSH_SHARE

    def get_leave_seconds(self) -> float:
        """Return the seconds left for the last write to the store."""
        return self._get_seconds_until(EXIT_SHARE)

    def _get_seconds_until(self, share: float) -> float:
        return max(
            self.get_remaining_seconds() - self._total_seconds * share, 0.0
        )

    async def signal_ending(self) -> None:
        """Complete ``ending`` when the time for serving requests is over."""
        await self._clock.sleep(self.get_serving_seconds())
        if not self.ending.done():
            self.ending.set_result(None)
