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

"""A stand-in for a plain service that counts executions by idempotency key."""

import collections

import msgspec

from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.standin.server import send_json
from lifttrestle.internal.standin.server import StandinServer

# The rest of the path is the length of the answer's body in bytes.
BYTES_PATH = '/bytes/'


class ServiceStandin:
    """Answers every request with a description of the request.

    ``GET /standin/runs`` returns how often each idempotency key was executed.
    Tests use it to verify that a request was executed at most once.

    :param name: name of the service, also sent as its incarnation.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._runs: collections.Counter[str] = collections.Counter()
        self._draining = False
        self.server = StandinServer(
            self._handle, ('/standin/', '/health', '/lifttrestle/')
        )

    async def _handle(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> None:
        if head.path == '/health':
            await send_json(connection, {'status': 'ok'})
            return
        if head.path == '/standin/runs':
            await send_json(connection, dict(self._runs))
            return
        if head.path == '/standin/drain':
            self._draining = True
            await send_json(connection, {})
            return
        if head.path == '/lifttrestle/state':
            await send_json(connection, self._build_state())
            return
        await self._run(connection, head, body)

    def _build_state(self) -> dict[str, object]:
        return {
            'incarnation': self._name,
            'versions': {},
            'draining': self._draining,
            'running': 0,
            'waiting': 0,
        }

    async def _run(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> None:
        key = head.get_header('idempotency-key')
        self._runs[key or '(none)'] += 1
        answer = {
            'service': self._name,
            'method': head.method,
            'path': head.target,
            'bytes': len(body),
            'workspaces': [
                value for name, value in head.headers if name == 'x-workspace'
            ],
            'runs': self._runs[key or '(none)'],
        }
        content = msgspec.json.encode(answer)
        if head.path.startswith(BYTES_PATH):
            content = b'x' * int(head.path.removeprefix(BYTES_PATH))
        headers = [('content-type', 'application/json')]
        request_id = head.get_header('x-request-id')
        if request_id:
            headers.append(('x-request-id', request_id))
        if self.server.faults.truncate_answers > 0:
            self.server.faults.truncate_answers -= 1
            await _send_truncated(connection, headers, content)
            return
        headers.append(('content-length', str(len(content))))
        await connection.start_answer(200, tuple(headers))
        if head.method != 'HEAD':
            await connection.send_part(content)
        await connection.end_answer()


async def _send_truncated(
    connection: ServerConnection,
    headers: list[tuple[str, str]],
    content: bytes,
) -> None:
    headers.append(('content-length', str(len(content))))
    await connection.start_answer(200, tuple(headers))
    await connection.send_part(content[: len(content) // 2])
    await connection.close()
