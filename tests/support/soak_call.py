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

"""One request of a soak's caller."""

import asyncio
import dataclasses

from lifttrestle.errors import LifttrestleError
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead

WAIT_SECONDS = 10.0
CONNECT_SECONDS = 1.0
MAX_BYTES = 100_000


@dataclasses.dataclass(frozen=True)
class SoakCall:
    """What is asked for, and of which router."""

    address: Address
    request_id: str
    path: str = '/safe/a'
    body: bytes = b''
    api_key: str = 'k1'


async def call_router(call: SoakCall) -> Answer | None:
    """Return a router's answer, None if there is none: it was killed."""
    headers = (
        ('host', 'shop.example'),
        ('request-id', call.request_id),
        ('authorization', f'Token {call.api_key}'),
    )
    connection = None
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            connection = await ClientConnection.open(
                call.address, CONNECT_SECONDS
            )
            head = RequestHead('POST', call.path, headers)
            await connection.send_request(head, call.body)
            answer = await connection.read_head()
            body = await connection.read_body(MAX_BYTES)
            return Answer(answer.status, answer.headers, body)
    except (LifttrestleError, TimeoutError):
        return None
    finally:
        if connection is not None:
            connection.close()
