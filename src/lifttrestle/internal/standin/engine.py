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

"""A stand-in for a model engine, serving the engine's published API.

In addition to the chat and completion API, it serves the unpublished endpoints
that the router's engine driver needs: state, resume, cancel, drain and orders
with fencing numbers.
"""

import uuid

import msgspec

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.standin.engine_answers import CHAT_PATH
from lifttrestle.internal.standin.engine_runs import EngineRunner
from lifttrestle.internal.standin.engine_sending import EngineSender
from lifttrestle.internal.standin.engine_settings import EngineSettings
from lifttrestle.internal.standin.server import send_json
from lifttrestle.internal.standin.server import StandinServer

COMPLETIONS_PATH = '/v1/completions'
STREAMS_PATH = '/lifttrestle/streams/'
MAX_CONTEXT_TOKENS = 200_000


class EngineStandin:
    """Serves the HTTP API of an engine and generates text for it.

    :param settings: size, speed and models of the engine.
    :param clock: ages the blocks of the prefix cache.
    """

    def __init__(self, settings: EngineSettings, clock: Clock) -> None:
        self._settings = settings
        self._runner = EngineRunner(settings, clock)
        self._incarnation = uuid.uuid4().hex
        self._draining = False
        self._fencing = 0
        self.server = StandinServer(
            self._handle,
            ('/standin/', '/health', '/metrics', '/lifttrestle/'),
        )
        self._sender = EngineSender(self.server, self._incarnation)

    async def _handle(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> None:
        if head.path in (CHAT_PATH, COMPLETIONS_PATH):
            await self._generate(connection, head, body)
            return
        if head.path.startswith(STREAMS_PATH):
            await self._serve_stream(connection, head)
            return
        handlers = {
            '/health': self._send_health,
            '/metrics': self._send_metrics,
            '/v1/models': self._send_models,
            '/lifttrestle/state': self._send_state,
            '/lifttrestle/orders': self._apply_order,
            '/lifttrestle/drain': self._drain,
            '/standin/counts': self._send_counts,
        }
        handler = handlers.get(head.path)
        if handler is None:
            await send_json(connection, {'error': 'no such path'}, 404)
            return
        await handler(connection, body)

    async def _generate(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> None:
        request = msgspec.json.decode(body)
        model = str(request.get('model', ''))
        if self._draining:
            await self._refuse_draining(connection)
            return
        if model not in self._runner.versions:
            await _send_error(connection, head, 404, f'no model {model!r}')
            return
        if int(request.get('max_tokens') or 0) > MAX_CONTEXT_TOKENS:
            message = f'over {MAX_CONTEXT_TOKENS} tokens'
            await _send_error(connection, head, 400, message)
            return
        stream = self._runner.start(head.path, request, model)
        headers = self._sender.build_headers(stream, head)
        if request.get('stream'):
            await self._sender.send_events(connection, stream, headers, 0)
            return
        await self._sender.send_complete_answer(
            connection, head.path, stream, headers
        )

    async def _serve_stream(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        stream_id = head.path.removeprefix(STREAMS_PATH)
        stream = self._runner.get(stream_id)
        if stream is None:
            await send_json(connection, {'error': 'no such stream'}, 404)
            return
        if head.method == 'DELETE':
            if stream.task is not None:
                stream.task.cancel()
            await send_json(connection, {})
            return
        index = int(head.get_header('last-event-id', '-1')) + 1
        headers = self._sender.build_headers(stream, head)
        await self._sender.send_events(connection, stream, headers, index)

    async def _refuse_draining(self, connection: ServerConnection) -> None:
        body = msgspec.json.encode({'error': {'message': 'draining'}})
        headers = (('x-engine-draining', '1'),)
        await connection.send_answer(Answer(503, headers, body))

    async def _send_health(
        self, connection: ServerConnection, _body: bytes
    ) -> None:
        await connection.send_answer(Answer(200))

    async def _send_metrics(
        self, connection: ServerConnection, _body: bytes
    ) -> None:
        text = (
            '# TYPE vllm:num_requests_running gauge\n'
            f'vllm:num_requests_running {self._runner.running}\n'
            '# TYPE vllm:num_requests_waiting gauge\n'
            f'vllm:num_requests_waiting {self._runner.waiting}\n'
        )
        headers = (('content-type', 'text/plain; version=0.0.4'),)
        await connection.send_answer(Answer(200, headers, text.encode()))

    async def _send_models(
        self, connection: ServerConnection, _body: bytes
    ) -> None:
        data = [
            {'id': name, 'object': 'model'} for name in self._runner.versions
        ]
        await send_json(connection, {'object': 'list', 'data': data})

    async def _send_state(
        self, connection: ServerConnection, _body: bytes
    ) -> None:
        state = {
            'incarnation': self._incarnation,
            'versions': self._runner.versions,
            'software': self._settings.software,
            'draining': self._draining,
            'running': self._runner.running,
            'waiting': self._runner.waiting,
        }
        await send_json(connection, state)

    async def _send_counts(
        self, connection: ServerConnection, _body: bytes
    ) -> None:
        counts = {
            'requests': self._runner.requests,
            'computed_tokens': self._runner.computed_tokens,
            'running': self._runner.running,
        }
        await send_json(connection, counts)

    async def _apply_order(
        self, connection: ServerConnection, body: bytes
    ) -> None:
        order = msgspec.json.decode(body)
        fencing = int(order['fencing'])
        if self._settings.checks_fencing and fencing < self._fencing:
            error = {'error': f'{fencing} is below {self._fencing}'}
            await send_json(connection, error, 409)
            return
        self._fencing = max(self._fencing, fencing)
        self._runner.load(order['model'], order['version'])
        await send_json(connection, {'fencing': self._fencing})

    async def _drain(self, connection: ServerConnection, _body: bytes) -> None:
        self._draining = True
        await send_json(connection, {})


async def _send_error(
    connection: ServerConnection, head: RequestHead, status: int, message: str
) -> None:
    body = msgspec.json.encode({'error': {'message': message, 'code': status}})
    request_id = head.get_header('x-request-id')
    headers = (
        ('content-type', 'application/json'),
        ('x-request-id', request_id),
    )
    await connection.send_answer(Answer(status, headers, body))
