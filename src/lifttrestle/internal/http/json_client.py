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

"""JSON requests to one address over pooled connections."""

import asyncio
from collections.abc import Callable
import ssl

import msgspec

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead

MAX_ANSWER_BYTES = 64 * 1024 * 1024


class JsonClient:
    """Sends requests, one at a time on each connection, with a timeout.

    :param headers: sent with every request.
    :param timeout_seconds: for a whole exchange, including connecting.
    :param pool: pool to use; by default, the client creates its own.
    :param max_answer_bytes: limit on the body of an answer.
    :param is_foreign: returns whether an answer belongs to another request
        that its connection carried before; such an answer is skipped.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        timeout_seconds: float,
        tls: ssl.SSLContext | None = None,
        headers: tuple[Header, ...] = (),
        pool: ClientPool | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        is_foreign: Callable[[ResponseHead], bool] = lambda head: False,
    ) -> None:
        self._is_foreign = is_foreign
        self._max_answer_bytes = max_answer_bytes
        self._headers = headers
        self._timeout_seconds = timeout_seconds
        self._pool = pool or ClientPool(address, clock, timeout_seconds, tls)
        self.address = address

    async def call(
        self,
        method: str,
        target: str,
        content: object = None,
        headers: tuple[Header, ...] = (),
        extra_seconds: float = 0.0,
    ) -> Answer:
        """Send a request and return the complete answer.

        :param content: encoded as JSON unless it is None or bytes.
        :param extra_seconds: added to the timeout, for a request that asks
            the server to wait before it answers.
        :raises PlatformUnavailable: if no complete answer arrived in time;
            the request may have taken effect.
        """
        body = _encode(content)
        head = RequestHead(method, target, (*self._headers, *headers))
        connection: ClientConnection | None = None
        try:
            async with ReadTimeout(self._timeout_seconds + extra_seconds):
                connection = await self._pool.take_direct()
                await connection.send_request(head, body)
                answer_head = await self._read_own_head(connection)
                data = await connection.read_body(self._max_answer_bytes)
        except (UpstreamConnectFailed, UpstreamLost, TimeoutError) as error:
            if connection is not None:
                connection.close()
            reason = str(error) or 'timed out'
            raise PlatformUnavailable(
                f'{method} {target} at {self.address}: {reason}'
            ) from error
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        self._pool.give_back(connection)
        return Answer(answer_head.status, answer_head.headers, data)

    async def _read_own_head(
        self, connection: ClientConnection
    ) -> ResponseHead:
        head = await connection.read_head()
        while self._is_foreign(head):
            await connection.skip_answer(self._max_answer_bytes)
            head = await connection.read_head()
        return head

    def close(self) -> None:
        """Close the idle connections of the pool."""
        self._pool.close()


def _encode(content: object) -> bytes:
    if content is None:
        return b''
    if isinstance(content, bytes):
        return content
    return msgspec.json.encode(content)
