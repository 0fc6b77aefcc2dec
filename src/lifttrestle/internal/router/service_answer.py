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

"""Passes on a plain service's answer."""

from collections.abc import AsyncIterator

from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.router.call import UpstreamCall
from lifttrestle.internal.router.scope import RequestScope

# An answer up to this size is sent once it is whole; then a lost one can
# still be asked for again. A longer one is passed on as it comes.
HELD_BYTES = 256 * 1024
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


def keep_end_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers that are meant for the other end."""
    named: set[str] = set()
    for name, value in headers:
        if name == 'connection':
            named.update(item.strip().lower() for item in value.split(','))
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_HEADERS and name not in named
    )


async def read_whole(call: UpstreamCall, limit: int) -> Answer:
    """Return the whole answer, at most ``limit`` bytes of body."""
    body = await call.read_body(limit)
    return Answer(call.head.status, keep_end_headers(call.head.headers), body)


async def pass_answer(scope: RequestScope, call: UpstreamCall) -> None:
    """Send an answer on, holding a short one until it is complete.

    :raises UpstreamLost: if it broke off; whether the caller has received a
        part shows in ``scope.connection.answer_started``.
    """
    if scope.head.method == HEAD:
        await _pass_head(scope, call)
        return
    held: list[bytes] = []
    size = 0
    parts = call.iterate_body()
    async for part in parts:
        held.append(part)
        size += len(part)
        if size > HELD_BYTES:
            await _pass_long(scope, call, b''.join(held), parts)
            return
    headers = _build_headers(scope, call)
    answer = Answer(call.head.status, headers, b''.join(held))
    await scope.connection.send_answer(answer)


async def _pass_head(scope: RequestScope, call: UpstreamCall) -> None:
    """Pass on the answer to a HEAD request, which has a length and no body."""
    await call.read_body(0)
    headers = _build_headers(scope, call, with_length=True)
    await scope.connection.start_answer(call.head.status, headers)
    await scope.connection.end_answer()


async def _pass_long(
    scope: RequestScope,
    call: UpstreamCall,
    held: bytes,
    rest: AsyncIterator[bytes],
) -> None:
    headers = _build_headers(scope, call, with_length=True)
    await scope.connection.start_answer(call.head.status, headers)
    await scope.connection.send_part(held)
    async for part in rest:
        await scope.connection.send_part(part)
    await scope.connection.end_answer()


def _build_headers(
    scope: RequestScope, call: UpstreamCall, with_length: bool = False
) -> tuple[Header, ...]:
    headers = list(keep_end_headers(call.head.headers))
    length = call.head.get_header('content-length')
    if with_length and length:
        headers.append(('content-length', length))
    headers.append(('x-request-id', scope.request_id))
    return tuple(headers)
