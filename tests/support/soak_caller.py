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

"""A caller that retries each request at one of several routers."""

import asyncio
import dataclasses
import random
import time

from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from tests.support.soak_records import Attempt
from tests.support.soak_records import AttemptResult
from tests.support.soak_records import Record
from tests.support.soak_records import RouterStart
from tests.support.soak_router import SoakRouter
from tests.support.soak_upstream import PLAN_HEADER

MAX_ATTEMPTS = 5
REUSE_SHARE = 0.7
# Much longer than any request may take.
HANG_TIMEOUT_SECONDS = 30.0


@dataclasses.dataclass(frozen=True)
class SoakRequest:
    """A request of a caller.

    :ivar timeout: timeout of its route in seconds.
    :ivar events: number of events of the stream; 0 for a plain request.
    :ivar pause: seconds before each event, or before the plain answer.
    :ivar deadline: the caller's own time limit in seconds, or 0 for none.
    """

    route: str
    timeout: float
    events: int
    pause: float
    deadline: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether it may run more than once."""
        return self.route in ('safe', 'text')


class SoakCaller:
    """Sends requests one after the other, each to one or more routers."""

    def __init__(
        self,
        name: str,
        routers: list[SoakRouter],
        record: Record,
        source: random.Random,
    ) -> None:
        self._name = name
        self._routers = routers
        self._record = record
        self._source = source
        self._idle_connections: dict[
            str, tuple[RouterStart, ClientConnection]
        ] = {}

    async def call(self, number: int, request: SoakRequest) -> None:
        """Send a request, and retry it while it may be sent again.

        It ends when it is served, when it may have run and must not run twice,
        or after ``MAX_ATTEMPTS``.
        """
        last_event_id = 0
        for index in range(MAX_ATTEMPTS):
            router = self._source.choice(self._routers)
            timeout = min(request.timeout, request.deadline or request.timeout)
            attempt_id = f'{self._name}-{number}.{index}'
            attempt = Attempt(
                attempt_id,
                request.route,
                router.current_start,
                timeout,
                request.events,
                last_event_id,
            )
            await self._make_attempt(router, request, attempt)
            self._record.attempts.append(attempt)
            last_event_id += (
                attempt.body.count(b'\n\n') if attempt.status == 200 else 0
            )
            lost = (
                attempt.result in (AttemptResult.CLOSED, AttemptResult.CUT)
                and request.repeatable
            )
            if not (
                lost
                or attempt.refused
                or attempt.result is AttemptResult.UNREACHED
            ):
                return
            await asyncio.sleep(self._source.uniform(0.0, 0.1))

    async def _make_attempt(
        self, router: SoakRouter, request: SoakRequest, attempt: Attempt
    ) -> None:
        try:
            async with asyncio.timeout(HANG_TIMEOUT_SECONDS):
                await self._exchange(router, request, attempt)
            attempt.result = AttemptResult.COMPLETE
        except UpstreamConnectFailed:
            attempt.result = AttemptResult.UNREACHED
        except UpstreamLost:
            attempt.result = (
                AttemptResult.CUT if attempt.status else AttemptResult.CLOSED
            )
        except TimeoutError:
            attempt.result = AttemptResult.HUNG
        attempt.ended = time.monotonic()

    async def _exchange(
        self, router: SoakRouter, request: SoakRequest, attempt: Attempt
    ) -> None:
        connection = await self._connect(router, attempt)
        head = RequestHead(
            'POST', f'/{request.route}/x', _build_headers(request, attempt)
        )
        try:
            await connection.send_request(head, b'')
            attempt.sent = time.monotonic()
            attempt.status = (await connection.read_head()).status
            while part := await connection.read_part():
                attempt.body += part
        except BaseException:
            connection.close()
            raise
        if connection.reusable and self._source.random() < REUSE_SHARE:
            self._idle_connections[router.name] = (
                attempt.router_start,
                connection,
            )
        else:
            connection.close()

    async def _connect(
        self, router: SoakRouter, attempt: Attempt
    ) -> ClientConnection:
        idle = self._idle_connections.pop(router.name, None)
        if idle is not None and idle[1].reusable:
            attempt.reused = True
            attempt.router_start = idle[0]
            return idle[1]
        connection = await ClientConnection.open(
            router.address, HANG_TIMEOUT_SECONDS
        )
        # The router may have restarted while the connection was opened.
        attempt.router_start = router.current_start
        return connection

    def close(self) -> None:
        """Close the idle connections."""
        for _, connection in self._idle_connections.values():
            connection.close()


def _build_headers(
    request: SoakRequest, attempt: Attempt
) -> tuple[tuple[str, str], ...]:
    headers = [
        ('host', 'shop.example'),
        ('request-id', attempt.id),
        ('authorization', 'Token k1'),
        (PLAN_HEADER, f'{request.events},{request.pause:.3f}'),
    ]
    if request.events:
        headers += [('model', 'm'), ('token-count', '460,5')]
    if request.deadline:
        headers.append(('deadline-ms', str(round(request.deadline * 1000))))
    if attempt.last_event_id:
        headers.append(('last-event-id', str(attempt.last_event_id)))
    return tuple(headers)
