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

"""A stand-in for the platform's object store."""

import hashlib

from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.standin.server import send_json
from lifttrestle.internal.standin.server import StandinServer


class ObjectsStandin:
    """Stores the body of the last PUT of each path in memory."""

    def __init__(self) -> None:
        self._bodies: dict[str, bytes] = {}
        self.server = StandinServer(self._handle)

    async def _handle(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> None:
        if head.method == 'PUT':
            self._bodies[head.path] = body
            await connection.send_answer(_make_answer(body, b''))
            return
        stored = self._bodies.get(head.path)
        if head.method != 'GET' or stored is None:
            await send_json(connection, {'error': 'no such object'}, 404)
            return
        await connection.send_answer(_make_answer(stored, stored))


def _make_answer(stored: bytes, body: bytes) -> Answer:
    etag = hashlib.sha256(stored).hexdigest()[:32]
    return Answer(200, (('etag', f'"{etag}"'),), body)
