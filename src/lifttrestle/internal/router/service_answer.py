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

"""Forwards the answers of plain services."""

from collections.abc import AsyncIterator

from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.router.call import UpstreamCall
from lifttrestle.internal.router.scope import RequestScope

# Answers up to this size are sent once they are complete, so that a request
# whose answer is lost can still be retried. Longer ones are streamed.
MAX_BUFFERED_BYTES = 256 * 1024
HEAD = 'HEAD'
HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'x-request-id',
    )
)


def keep_end_to_end_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the end-to-end headers.

    Drops the hop-by-hop ones, which include those that ``Connection`` lists,
    and those that the sender of a message sets itself.
    """
    named: set[str] = set()
    for name, value in headers:
        if name == 'connection':
            named.update(item.strip().lower() for item in value.split(','))
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_HEADERS and name not in named
    )


async def read_answer(call: UpstreamCall, limit: int) -> Answer:
    """Return the complete answer.

    :raises UpstreamLost: if it broke off, or its body is over ``limit``
        bytes.
    """
    body = await call.read_body(limit)
    return Answer(
        call.head.status, keep_end_to_end_headers(call.head.headers), body
    )


async def forward_answer(scope: RequestScope, call: UpstreamCall) -> None:
    """Forward an answer; a short one is sent once it is complete.

    :raises UpstreamLost: if it broke off; ``scope.connection.answer_started``
        tells whether the caller has received a part.
    """
    if scope.head.method == HEAD:
        await _forward_head(scope, call)
        return
    buffered: list[bytes] = []
    size = 0
    parts = call.iterate_body()
    async for part in parts:
        buffered.append(part)
        size += len(part)
        if size > MAX_BUFFERED_BYTES:
            await _stream_answer(scope, call, b''.join(buffered), parts)
            return
    headers = _build_headers(scope, call)
    answer = Answer(call.head.status, headers, b''.join(buffered))
    await scope.connection.send_answer(answer)


async def _forward_head(scope: RequestScope, call: UpstreamCall) -> None:
    """Forward the answer to a HEAD request: a length but no body."""
    await call.read_body(0)
    headers = _build_headers(scope, call, with_length=True)
    await scope.connection.start_answer(call.head.status, headers)
    await scope.connection.end_answer()


async def _stream_answer(
    scope: RequestScope,
    call: UpstreamCall,
    buffered: bytes,
    rest: AsyncIterator[bytes],
) -> None:
    headers = _build_headers(scope, call, with_length=True)
    await scope.connection.start_answer(call.head.status, headers)
    await scope.connection.send_part(buffered)
    async for part in rest:
        await scope.connection.send_part(part)
    await scope.connection.end_answer()


def _build_headers(
    scope: RequestScope, call: UpstreamCall, with_length: bool = False
) -> tuple[Header, ...]:
    headers = list(keep_end_to_end_headers(call.head.headers))
    length = call.head.get_header('content-length')
    if with_length and length:
        headers.append(('content-length', length))
    headers.append(('x-request-id', scope.request_id))
    return tuple(headers)
