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

import asyncio
from collections.abc import AsyncIterator

from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.router.call import UpstreamCall
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.scope import RequestScope

# An answer up to this size is sent once it is whole; then a lost one can
# still be asked for again. A longer one is passed on as it comes.
HELD_BYTES = 256 * 1024
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
    named = set()
    for name, value in headers:
        if name == 'connection':
            named.update(item.strip().lower() for item in value.split(','))
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_HEADERS and name not in named
    )


async def read_whole(
    parts: RouterParts, call: UpstreamCall, limit: int
) -> Answer:
    """Return the whole answer, at most ``limit`` bytes of body."""
    stall = parts.settings.deadlines.stall
    try:
        async with asyncio.timeout(stall):
            body = await call.connection.read_body(limit)
    except TimeoutError:
        raise UpstreamLost(f'the answer stalled for {stall:g} s') from None
    return Answer(call.head.status, keep_end_headers(call.head.headers), body)


async def pass_answer(
    parts: RouterParts, scope: RequestScope, call: UpstreamCall
) -> None:
    """Send an answer on, holding a short one until it is complete.

    :raises UpstreamLost: if it broke off; whether the caller has received a
        part shows in ``scope.connection.answer_started``.
    """
    held: list[bytes] = []
    size = 0
    parts_iterator = _iterate(parts, call)
    async for part in parts_iterator:
        held.append(part)
        size += len(part)
        if size > HELD_BYTES:
            break
    else:
        answer = Answer(
            call.head.status, _build_headers(scope, call), b''.join(held)
        )
        await scope.connection.send_answer(answer)
        return
    await _pass_long(scope, call, b''.join(held), parts_iterator)


async def _pass_long(
    scope: RequestScope,
    call: UpstreamCall,
    held: bytes,
    rest: AsyncIterator[bytes],
) -> None:
    headers = list(_build_headers(scope, call))
    length = call.head.get_header('content-length')
    if length:
        headers.append(('content-length', length))
    await scope.connection.start_answer(call.head.status, tuple(headers))
    await scope.connection.send_part(held)
    async for part in rest:
        await scope.connection.send_part(part)
    await scope.connection.end_answer()


async def _iterate(
    parts: RouterParts, call: UpstreamCall
) -> AsyncIterator[bytes]:
    stall = parts.settings.deadlines.stall
    body = aiter(call.connection.iterate_body())
    while True:
        try:
            async with asyncio.timeout(stall):
                part = await anext(body)
        except StopAsyncIteration:
            return
        except TimeoutError:
            raise UpstreamLost(
                f'the answer was silent for {stall:g} s'
            ) from None
        yield part


def _build_headers(
    scope: RequestScope, call: UpstreamCall
) -> tuple[Header, ...]:
    return (
        *keep_end_headers(call.head.headers),
        ('x-request-id', scope.request_id),
    )
