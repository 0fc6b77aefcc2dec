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

"""The steps of a planned stop, each with its deadline."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import logging

from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.stop_times import plan_stop
from lifttrestle.internal.router.stop_times import shorten_stop

LOG = logging.getLogger('lifttrestle.router')


class StopSequence:
    """Stops a router, in an order that cuts no request.

    :param callers: the server for callers.
    :param operators: the server for operators.
    :param deregister: cancels the control tasks and leaves the list of
        routers.
    :param immediate: set when the stop must not wait for requests any longer.
    """

    def __init__(
        self,
        parts: RouterParts,
        callers: HttpServer,
        operators: HttpServer,
        deregister: Callable[[], Awaitable[None]],
        immediate: asyncio.Event,
    ) -> None:
        self._parts = parts
        self._callers = callers
        self._operators = operators
        self._deregister = deregister
        self._immediate = immediate
        stop = parts.settings.stop
        self._times = plan_stop(
            parts.clock.monotonic(),
            stop.notice_seconds,
            stop.grace_seconds,
            parts.settings.platform.timeout_seconds,
        )

    async def run(self) -> bool:
        """Stop, and return whether every request was ended."""
        self._parts.stop.begun = True
        self._parts.stop.end_requests_in(
            self._get_remaining_seconds(self._times.cut_at)
        )
        self._callers.announce_stop()
        await self._give_notice()
        all_ended = await self._close_callers()
        until = self._times.recorded_at
        await asyncio.gather(
            self._operators.stop(self._get_remaining_seconds(until)),
            self._write_records(until),
        )
        await self._deregister_in_time()
        return all_ended

    def _get_remaining_seconds(self, until: float) -> float:
        return max(until - self._parts.clock.monotonic(), 0.0)

    async def _give_notice(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                self._get_remaining_seconds(self._times.notice_ends_at)
            ):
                await self._immediate.wait()

    async def _close_callers(self) -> bool:
        remaining = self._get_remaining_seconds(self._times.closed_at)
        closing = asyncio.create_task(self._callers.stop(remaining))
        immediate = asyncio.create_task(self._immediate.wait())
        await asyncio.wait(
            {closing, immediate},
            timeout=remaining,
            return_when=asyncio.FIRST_COMPLETED,
        )
        immediate.cancel()
        if self._immediate.is_set():
            await self._end_requests(closing)
        if closing.done():
            return closing.result() and not self._parts.stop.cut_requests
        closing.cancel()
        await self._callers.stop(0)
        return False

    async def _end_requests(self, closing: asyncio.Task[bool]) -> None:
        """End all requests, and wait until their answers are sent."""
        now = self._parts.clock.monotonic()
        self._times = shorten_stop(self._times, now)
        self._parts.stop.end_requests_in(0.0)
        remaining = self._get_remaining_seconds(self._times.closed_at)
        await asyncio.wait({closing}, timeout=remaining)

    async def _write_records(self, until: float) -> None:
        await self._parts.background.flush(self._get_remaining_seconds(until))
        # The background tasks may have added records to write.
        await self._parts.ledger.flush(self._get_remaining_seconds(until))

    async def _deregister_in_time(self) -> None:
        try:
            async with asyncio.timeout(
                self._get_remaining_seconds(self._times.ends_at)
            ):
                await self._deregister()
        except Exception:
            # No error may prevent the remaining steps of the stop.
            LOG.exception('router: failed to leave the list of routers')
