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

"""Sends requests to upstreams and reads their answers."""

from collections.abc import AsyncIterator
import dataclasses

from lifttrestle.errors import UpstreamDeclined
from lifttrestle.errors import UpstreamFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.errors import WrongAnswer
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.http.memory_budget import MemoryBudget
from lifttrestle.internal.router.attempt import Attempt
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.scope import RequestScope

FIRST_SERVER_ERROR = 500
BUSY_STATUSES = (429, 503)


@dataclasses.dataclass
class UpstreamCall:
    """An HTTP exchange whose answer has been read up to its head.

    :ivar stall_seconds: longest allowed pause between two parts of the body.
    :ivar memory: the bound in which a body counts while it is received.
    """

    connection: ClientConnection
    head: ResponseHead
    stall_seconds: float
    memory: MemoryBudget

    async def iterate_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive.

        :raises UpstreamLost: if the body ended early or stalled.
        """
        parts = aiter(self.connection.iterate_body())
        while True:
            try:
                async with ReadTimeout(self.stall_seconds):
                    part = await anext(parts)
            except StopAsyncIteration:
                return
            except TimeoutError:
                raise UpstreamLost(
                    f'the answer stalled for {self.stall_seconds:g} s'
                ) from None
            yield part

    async def read_body(self, limit: int) -> bytes:
        """Return the complete body.

        :raises UpstreamLost: as ``iterate_body``, or if the body exceeds
            ``limit`` bytes or has to give way to others.
        """
        chunks: list[bytes] = []
        try:
            with self.memory.hold(self.connection.close) as hold:
                async for part in self.iterate_body():
                    chunks.append(part)
                    hold.resize(hold.size + len(part))
                    if hold.size > limit:
                        raise UpstreamLost(f'the answer exceeds {limit} bytes')
            return b''.join(chunks)
        finally:
            # An error keeps this frame alive while its request goes on.
            chunks.clear()


async def open_call(
    parts: RouterParts,
    scope: RequestScope,
    attempt: Attempt,
    head: RequestHead,
    body: bytes,
    *,
    once: bool = False,
) -> UpstreamCall:
    """Send a request and read the head of its answer.

    A request that fails on a reused connection is sent again on a new one.

    :param once: the request may not be repeated, so it is sent on a new
        connection and fails if that does.
    :raises UpstreamConnectFailed: if no connection could be opened.
    :raises UpstreamLost: if the exchange broke off or timed out.
    """
    allow_reuse = not once
    while True:
        connection = await attempt.upstream.pool.take(fresh=not allow_reuse)
        reused = connection.exchanges > 0
        try:
            scope.progress.apply(RequestEvent.SEND)
            answer = await _send_and_read_head(
                parts, scope, connection, head, body
            )
            stall = parts.settings.deadlines.stall
            return UpstreamCall(connection, answer, stall, parts.memory)
        except UpstreamLost:
            connection.close()
            if not (reused and allow_reuse):
                raise
            # The upstream may only have closed the idle connection; a new
            # one shows whether it still serves requests.
            allow_reuse = False
        except BaseException:
            connection.close()
            raise


def check_answer(
    parts: RouterParts, attempt: Attempt, call: UpstreamCall, request_id: str
) -> None:
    """Reject an answer that must not be forwarded.

    :raises WrongAnswer: if it echoes another request's id.
    :raises UpstreamDeclined: if the upstream is draining.
    """
    head = call.head
    echoed = head.get_header('x-request-id')
    if attempt.upstream.settings.can.echoes_request_id:
        if echoed != request_id:
            raise WrongAnswer(
                f'{attempt.upstream.name} answered request {echoed!r} instead'
                f' of {request_id!r}'
            )
    if parts.driver.is_draining(head):
        attempt.upstream.draining = True
        raise UpstreamDeclined(f'{attempt.upstream.name} is draining')


def check_engine_status(attempt: Attempt, call: UpstreamCall) -> None:
    """Reject an engine's answer if another engine may succeed.

    :raises UpstreamDeclined: if the engine was too busy to run the request.
    :raises UpstreamFailed: if the engine answered with a server error.
    """
    status = call.head.status
    if status in BUSY_STATUSES:
        raise UpstreamDeclined(f'{attempt.upstream.name} answered {status}')
    if status >= FIRST_SERVER_ERROR:
        raise UpstreamFailed(f'{attempt.upstream.name} answered {status}')


async def _send_and_read_head(
    parts: RouterParts,
    scope: RequestScope,
    connection: ClientConnection,
    head: RequestHead,
    body: bytes,
) -> ResponseHead:
    seconds = parts.settings.deadlines.first_byte
    if not scope.connection.answer_started:
        remaining = scope.deadline - parts.clock.monotonic()
        seconds = max(min(seconds, remaining), 0)
    try:
        async with ReadTimeout(seconds):
            await connection.send_request(head, body)
            return await connection.read_head()
    except TimeoutError:
        raise UpstreamLost(
            f'{connection.address} gave no answer within {seconds:.1f} s'
        ) from None
