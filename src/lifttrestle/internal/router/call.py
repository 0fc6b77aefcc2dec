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

"""One HTTP exchange with an upstream, up to the head of its answer."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses

from lifttrestle.errors import UpstreamDeclined
from lifttrestle.errors import UpstreamFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.errors import WrongAnswer
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.router.attempt import Attempt
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.scope import RequestScope

FIRST_SERVER_ERROR = 500
BUSY_STATUSES = (429, 503)


@dataclasses.dataclass
class UpstreamCall:
    """A connection on which the head of the answer has been read.

    :ivar stall_seconds: the longest silence within the answer.
    """

    connection: ClientConnection
    head: ResponseHead
    stall_seconds: float

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive.

        :raises UpstreamLost: if it was cut short or fell silent.
        """
        parts = aiter(self.connection.iterate_body())
        while True:
            try:
                async with asyncio.timeout(self.stall_seconds):
                    part = await anext(parts)
            except StopAsyncIteration:
                return
            except TimeoutError:
                raise UpstreamLost(
                    f'the answer was silent for {self.stall_seconds:g} s'
                ) from None
            yield part

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body.

        :raises UpstreamLost: as ``iterate_body``, or if it is over ``limit``.
        """
        held: list[bytes] = []
        size = 0
        async for part in self.iterate_body():
            size += len(part)
            if size > limit:
                raise UpstreamLost(f'the answer is over {limit} bytes')
            held.append(part)
        return b''.join(held)


async def open_call(
    parts: RouterParts,
    scope: RequestScope,
    attempt: Attempt,
    head: RequestHead,
    body: bytes,
    *,
    once: bool = False,
) -> UpstreamCall:
    """Send a request and return its answer's head.

    :param once: the request may not be repeated: it goes over a connection
        of its own.
    :raises UpstreamConnectFailed: if nothing was sent.
    :raises UpstreamLost: if the exchange broke off.
    """
    reused_may_fail = not once
    while True:
        connection = await attempt.upstream.pool.take(
            fresh=not reused_may_fail
        )
        stale_risk = connection.exchanges > 0
        try:
            scope.progress.apply(RequestEvent.SEND)
            answer = await _exchange(parts, scope, connection, head, body)
            stall = parts.settings.deadlines.stall
            return UpstreamCall(connection, answer, stall)
        except UpstreamLost:
            connection.close()
            if not (stale_risk and reused_may_fail):
                raise
            # The upstream had closed the kept connection. A new one tells
            # whether it is there at all.
            reused_may_fail = False
        except BaseException:
            connection.close()
            raise


def check_answer(
    parts: RouterParts, attempt: Attempt, call: UpstreamCall, request_id: str
) -> None:
    """Refuse an answer that is not to be passed on.

    :raises WrongAnswer: if it echoes another request's id.
    :raises UpstreamDeclined: if the upstream says that it takes no work.
    """
    head = call.head
    echoed = head.get_header('x-request-id')
    if attempt.upstream.settings.can.echoes_request_id:
        if echoed != request_id:
            raise WrongAnswer(
                f'{attempt.upstream.name} answered request {echoed!r} in'
                f' place of {request_id!r}'
            )
    if parts.driver.is_draining(head):
        attempt.upstream.draining = True
        raise UpstreamDeclined(f'{attempt.upstream.name} is draining')


def check_engine_status(attempt: Attempt, call: UpstreamCall) -> None:
    """Refuse an engine's answer after which another engine may do better.

    :raises UpstreamDeclined: if the engine was too busy to begin.
    :raises UpstreamFailed: if the engine failed.
    """
    status = call.head.status
    if status in BUSY_STATUSES:
        raise UpstreamDeclined(f'{attempt.upstream.name} answered {status}')
    if status >= FIRST_SERVER_ERROR:
        raise UpstreamFailed(f'{attempt.upstream.name} answered {status}')


async def _exchange(
    parts: RouterParts,
    scope: RequestScope,
    connection: ClientConnection,
    head: RequestHead,
    body: bytes,
) -> ResponseHead:
    seconds = parts.settings.deadlines.first_byte
    if not scope.connection.answer_started:
        left = scope.deadline - parts.clock.monotonic()
        seconds = max(min(seconds, left), 0)
    try:
        async with asyncio.timeout(seconds):
            await connection.send_request(head, body)
            return await connection.read_head()
    except TimeoutError:
        raise UpstreamLost(
            f'{connection.address} gave no answer within {seconds:.1f} s'
        ) from None
