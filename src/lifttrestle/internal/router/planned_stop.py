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

"""What the requests of a router have to know of its stop."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import math

from lifttrestle.errors import CutByStop


class PlannedStop:
    """Told by the router's process, obeyed by its requests.

    :ivar begun: whether the router was told to stop.
    :ivar cut: how many requests it could not wait for.
    """

    def __init__(self) -> None:
        self.begun = False
        self.cut = 0
        self._cut_at: float | None = None
        self._bounds: set[asyncio.Timeout] = set()

    def end_requests_in(self, seconds: float) -> None:
        """Have each request end in time, also those that come yet."""
        self._cut_at = asyncio.get_running_loop().time() + seconds
        for bound in self._bounds:
            if not bound.expired():
                bound.reschedule(self._cut_at)

    def get_remaining_seconds(self) -> float:
        """Return the seconds that a request has, without end before a stop."""
        if self._cut_at is None:
            return math.inf
        return self._cut_at - asyncio.get_running_loop().time()

    @contextlib.asynccontextmanager
    async def enforce_deadline(self) -> AsyncIterator[None]:
        """Let a request run until the stop can't wait for it.

        :raises CutByStop: then.
        """
        bound = asyncio.timeout_at(self._cut_at)
        try:
            async with bound:
                self._bounds.add(bound)
                yield
        except TimeoutError:
            if not bound.expired():
                raise
            self.cut += 1
            raise CutByStop('the grace of the stop is over') from None
        finally:
            self._bounds.discard(bound)
