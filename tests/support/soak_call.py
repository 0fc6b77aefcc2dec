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

"""A single request that a soak sends to a router."""

import asyncio
import dataclasses

from lifttrestle.errors import LifttrestleError
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead

TIMEOUT_SECONDS = 10.0
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_BODY_BYTES = 100_000


@dataclasses.dataclass(frozen=True)
class SoakCall:
    """A request and the address of the router that it is sent to."""

    address: Address
    request_id: str
    path: str = '/safe/a'
    body: bytes = b''
    api_key: str = 'k1'
    headers: tuple[Header, ...] = ()


async def call_router(call: SoakCall) -> Answer | None:
    """Send a request and return the answer.

    None if the connection fails or times out, as when the router is killed.
    """
    headers = (
        ('host', 'shop.example'),
        ('request-id', call.request_id),
        ('authorization', f'Token {call.api_key}'),
        *call.headers,
    )
    connection = None
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            connection = await ClientConnection.open(
                call.address, CONNECT_TIMEOUT_SECONDS
            )
            head = RequestHead('POST', call.path, headers)
            await connection.send_request(head, call.body)
            answer = await connection.read_head()
            body = await connection.read_body(MAX_BODY_BYTES)
            return Answer(answer.status, answer.headers, body)
    except (LifttrestleError, TimeoutError):
        return None
    finally:
        if connection is not None:
            connection.close()
