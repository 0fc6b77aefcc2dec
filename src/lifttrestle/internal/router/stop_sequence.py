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

"""The steps of a planned stop, each by its time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import logging

from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.stop_times import hurry_stop
from lifttrestle.internal.router.stop_times import plan_stop

LOG = logging.getLogger('lifttrestle.router')


class StopSequence:
    """Takes the steps in the order that cuts no request.

    :param leave: stops obeying, and leaves the list of routers.
    :param hurry: set once no request is to be waited for any longer.
    """

    def __init__(
        self,
        parts: RouterParts,
        callers: HttpServer,
        operators: HttpServer,
        leave: Callable[[], Awaitable[None]],
        hurry: asyncio.Event,
    ) -> None:
        self._parts = parts
        self._callers = callers
        self._operators = operators
        self._leave = leave
        self._hurry = hurry
        stop = parts.settings.stop
        self._times = plan_stop(
            parts.clock.monotonic(),
            stop.notice_seconds,
            stop.grace_seconds,
            parts.settings.platform.timeout_seconds,
        )

    async def run(self) -> bool:
        """Return whether every request was ended."""
        self._parts.stop.begun = True
        self._parts.stop.end_requests_in(self._count_left(self._times.cut_at))
        self._callers.announce_stop()
        await self._give_notice()
        whole = await self._close_callers()
        until = self._times.recorded_at
        await asyncio.gather(
            self._operators.stop(self._count_left(until)),
            self._write_records(until),
        )
        await self._leave_in_time()
        return whole

    def _count_left(self, until: float) -> float:
        return max(until - self._parts.clock.monotonic(), 0.0)

    async def _give_notice(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                self._count_left(self._times.closes_at)
            ):
                await self._hurry.wait()

    async def _close_callers(self) -> bool:
        left = self._count_left(self._times.closed_at)
        closing = asyncio.create_task(self._callers.stop(left))
        hurry = asyncio.create_task(self._hurry.wait())
        await asyncio.wait(
            {closing, hurry},
            timeout=left,
            return_when=asyncio.FIRST_COMPLETED,
        )
        hurry.cancel()
        if self._hurry.is_set():
            await self._end_requests(closing)
        if closing.done():
            return closing.result() and not self._parts.stop.cut
        closing.cancel()
        await self._callers.stop(0)
        return False

    async def _end_requests(self, closing: asyncio.Task[bool]) -> None:
        """End all requests, and give their last answers time to leave."""
        now = self._parts.clock.monotonic()
        self._times = hurry_stop(self._times, now)
        self._parts.stop.end_requests_in(0.0)
        left = self._count_left(self._times.closed_at)
        await asyncio.wait({closing}, timeout=left)

    async def _write_records(self, until: float) -> None:
        await self._parts.background.flush(self._count_left(until))
        # What ran in the background has left records to be written.
        await self._parts.ledger.flush(self._count_left(until))

    async def _leave_in_time(self) -> None:
        try:
            async with asyncio.timeout(self._count_left(self._times.ends_at)):
                await self._leave()
        except Exception:
            # Whatever it was, what is left of the stop is still to be done.
            LOG.exception('router: not taken off the list')
