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

import asyncio

from lifttrestle.internal.clock.clock import Clock

# Shares of the time between the signal and the kill that are kept at its end.
# With 8 s: from 0.48 s on, what has no answer yet gets one; from 0.28 s on,
# what still runs is cut; 0.1 s is for the last bytes of answers, and the last
# 0.1 s for the end of the process. On a VM that runs none of that takes time:
# from the last cut to the last line it was 0.9 ms at the most (20 planned
# stops, processor time measured). It guards against one that is slow then.
END_SHARE = 0.06
CUT_SHARE = 0.035
FLUSH_SHARE = 0.0125
EXIT_SHARE = 0.0125


class Shutdown:
    """The stop of one process, with one deadline for all that it has to do.

    :ivar ending: is done when requests without an answer have to get one.
    :ivar given_up: requests that got one then, in place of being served.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began: float | None = None
        self._seconds = 0.0
        self.given_up = 0
        self.ending: asyncio.Future[None] = asyncio.Future()

    @property
    def begun(self) -> bool:
        """Return whether the process was told to stop."""
        return self._began is not None

    def begin(self, seconds: float) -> None:
        """Note the order to stop, to be carried out within ``seconds``."""
        if self._began is None:
            self._began = self._clock.monotonic()
            self._seconds = seconds

    def get_elapsed_seconds(self) -> float:
        """Return the seconds since the order; zero before it."""
        if self._began is None:
            return 0.0
        return self._clock.monotonic() - self._began

    def get_remaining_seconds(self) -> float:
        """Return the seconds that are left; for ever before the order."""
        if self._began is None:
            return float('inf')
        return max(self._seconds - self.get_elapsed_seconds(), 0.0)

    def get_serving_seconds(self) -> float:
        """Return the seconds within which a request has to have ended."""
        return self._get_left_but(END_SHARE)

    def get_abort_seconds(self) -> float:
        """Return the seconds until what still runs is cut."""
        return self._get_left_but(CUT_SHARE)

    def get_flush_seconds(self) -> float:
        """Return the seconds that the last bytes of answers are given."""
        return self._seconds * FLUSH_SHARE

    def get_leave_seconds(self) -> float:
        """Return the seconds that the store has for the last write."""
        return self._get_left_but(EXIT_SHARE)

    def _get_left_but(self, share: float) -> float:
        return max(self.get_remaining_seconds() - self._seconds * share, 0.0)

    async def signal_ending(self) -> None:
        """Have requests without an answer end when their time is over."""
        await self._clock.sleep(self.get_serving_seconds())
        if not self.ending.done():
            self.ending.set_result(None)
