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

"""The state of a planned stop, as far as it concerns requests."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import math

from lifttrestle.errors import CutByStop


class PlannedStop:
    """Set by the process of a router, and enforced on its requests.

    :ivar begun: whether the stop has begun.
    :ivar cut_requests: number of requests that the stop has ended.
    """

    def __init__(self) -> None:
        self.begun = False
        self.cut_requests = 0
        self._deadline: float | None = None
        self._timeouts: set[asyncio.Timeout] = set()

    def end_requests_in(self, seconds: float) -> None:
        """End current and future requests ``seconds`` from now."""
        self._deadline = asyncio.get_running_loop().time() + seconds
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(self._deadline)

    def get_remaining_seconds(self) -> float:
        """Return the seconds until the deadline; infinite if there is none."""
        if self._deadline is None:
            return math.inf
        return self._deadline - asyncio.get_running_loop().time()

    @contextlib.asynccontextmanager
    async def enforce_deadline(self) -> AsyncIterator[None]:
        """Cancel the enclosed request if it exceeds the deadline.

        The deadline may be set or changed while the request is in progress.

        :raises CutByStop: if the request was cancelled for that reason.
        """
        timeout = asyncio.timeout_at(self._deadline)
        try:
            async with timeout:
                self._timeouts.add(timeout)
                yield
        except TimeoutError:
            if not timeout.expired():
                raise
            self.cut_requests += 1
            raise CutByStop('the grace period of the stop is over') from None
        finally:
            self._timeouts.discard(timeout)
