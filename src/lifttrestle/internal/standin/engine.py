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

"""A stand-in for a model engine, with the published interface of one.

Beside the chat and completion API it has the unpublished calls that the
router's driver needs: state, resume, cancel, drain and fenced orders.
"""

import asyncio
import itertools
import uuid

import msgspec

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.standin.engine_answers import CHAT
from lifttrestle.internal.standin.engine_answers import encode_chunk
from lifttrestle.internal.standin.engine_answers import encode_usage
from lifttrestle.internal.standin.engine_answers import encode_whole
from lifttrestle.internal.standin.engine_cache import EngineCache
from lifttrestle.internal.standin.engine_settings import EngineSettings
from lifttrestle.internal.standin.engine_stream import EngineStream
from lifttrestle.internal.standin.engine_text import render_prompt
from lifttrestle.internal.standin.engine_text import TextGenerator
from lifttrestle.internal.standin.server import send_json
from lifttrestle.internal.standin.server import StandinServer

COMPLETIONS = '/v1/completions'
STREAMS = '/lifttrestle/streams/'
DEFAULT_MAX_TOKENS = 16
CONTEXT_TOKENS = 200_000
KEPT_STREAMS = 256
DONE = b'[DONE]'


class EngineStandin:
    """Serves requests with a bounded cache, slots and a steady pace."""

    def __init__(self, settings: EngineSettings, clock: Clock) -> None:
        self._settings = settings
        self._versions = dict(settings.versions)
        self._cache = EngineCache(
            settings.cache_blocks, settings.cache_seconds, clock
        )
        self._slots = asyncio.Semaphore(settings.slots)
        self._incarnation = uuid.uuid4().hex
        self._streams: dict[str, EngineStream] = {}
        self._numbers = itertools.count(1)
        self._running = 0
        self._waiting = 0
        self._requests = 0
        self._computed_tokens = 0
        self._draining = False
        self._fencing = 0
        self.server = StandinServer(
            self._handle,
            ('/standin/', '/health', '/metrics', '/lifttrestle/'),
        )

    async def _handle(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> None:
        if head.path in (CHAT, COMPLETIONS):
            await self._generate(connection, head, body)
            return
        if head.path.startswith(STREAMS):
            await self._serve_kept(connection, head)
            return
        handlers = {
            '/health': self._tell_health,
            '/metrics': self._tell_metrics,
            '/v1/models': self._tell_models,
            '/lifttrestle/state': self._tell_state,
            '/lifttrestle/orders': self._take_order,
            '/lifttrestle/drain': self._drain,
            '/standin/counts': self._tell_counts,
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
        if model not in self._versions:
            await _send_error(connection, head, 404, f'no model {model!r}')
            return
        if int(request.get('max_tokens') or 0) > CONTEXT_TOKENS:
            message = f'over {CONTEXT_TOKENS} tokens'
            await _send_error(connection, head, 400, message)
            return
        self._requests += 1
        stream = self._start_stream(head.path, request, model)
        headers = self._identify(stream, head)
        if request.get('stream'):
            await self._send_events(connection, stream, headers, 0)
            return
        await self._send_whole(connection, head.path, stream, headers)

    def _start_stream(
        self, path: str, request: dict[str, object], model: str
    ) -> EngineStream:
        text = render_prompt(request)
        tokens = text.split()
        salt = str(request.get('cache_salt', ''))
        version = self._versions[model]
        cached = self._cache.admit(f'{model}\0{version}\0{salt}', tokens)
        self._computed_tokens += len(tokens) - cached
        stream_id = f'cmpl-{self._settings.name}-{next(self._numbers)}'
        stream = EngineStream(stream_id, model, version, len(tokens), cached)
        self._streams[stream_id] = stream
        while len(self._streams) > KEPT_STREAMS:
            self._streams.pop(next(iter(self._streams)))
        stream.task = asyncio.create_task(
            self._run_stream(path, request, stream, text)
        )
        return stream

    async def _run_stream(
        self,
        path: str,
        request: dict[str, object],
        stream: EngineStream,
        text: str,
    ) -> None:
        settings = self._settings
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            try:
                missing = stream.prompt_tokens - stream.cached_tokens
                await asyncio.sleep(
                    missing / settings.prefill_tokens_per_second
                )
                await self._decode(path, request, stream, text)
            finally:
                self._running -= 1
                stream.end()

    async def _decode(
        self,
        path: str,
        request: dict[str, object],
        stream: EngineStream,
        text: str,
    ) -> None:
        limit = request.get('max_completion_tokens')
        limit = limit or request.get('max_tokens') or DEFAULT_MAX_TOKENS
        weights = f'{stream.model}\0{stream.version}'
        stops = not request.get('ignore_eos')
        generator = TextGenerator(weights, text, stops)
        stream.finish_reason = 'length'
        for _ in range(int(limit)):  # type: ignore[call-overload]
            word = generator.next_word()
            if word is None:
                stream.finish_reason = 'stop'
                break
            stream.words.append(word)
            stream.add(encode_chunk(path, stream, word, None))
            await asyncio.sleep(self._settings.decode_seconds)
        stream.add(encode_chunk(path, stream, '', stream.finish_reason))
        options = request.get('stream_options')
        if isinstance(options, dict) and options.get('include_usage'):
            stream.add(encode_usage(path, stream))
        stream.add(DONE)

    async def _send_events(
        self,
        connection: ServerConnection,
        stream: EngineStream,
        headers: list[tuple[str, str]],
        index: int,
    ) -> None:
        headers.append(('content-type', 'text/event-stream'))
        await connection.start_answer(200, tuple(headers))
        while True:
            while index < len(stream.events):
                if not await self._send_event(connection, stream, index):
                    return
                index += 1
            if stream.ended:
                break
            await stream.grown.wait()
        await connection.end_answer()

    async def _send_event(
        self, connection: ServerConnection, stream: EngineStream, index: int
    ) -> bool:
        faults = self.server.faults
        if index == faults.cut_at_token and faults.cut_streams > 0:
            faults.cut_streams -= 1
            connection.abort()
            return False
        if index == faults.end_at_token and faults.cut_streams > 0:
            faults.cut_streams -= 1
            await connection.end_answer()
            return False
        if index == faults.stall_at_token and faults.cut_streams > 0:
            faults.cut_streams -= 1
            await asyncio.sleep(3600)
        if index == faults.skip_token:
            faults.skip_token = -1
            return True
        data = b'id: %d\ndata: %s\n\n' % (index, stream.events[index])
        await connection.send_part(data)
        if index == faults.duplicate_token:
            await connection.send_part(data)
        return True

    async def _send_whole(
        self,
        connection: ServerConnection,
        path: str,
        stream: EngineStream,
        headers: list[tuple[str, str]],
    ) -> None:
        while not stream.ended:
            await stream.grown.wait()
        body = encode_whole(path, stream)
        headers.append(('content-type', 'application/json'))
        if self.server.faults.halve_answers > 0:
            self.server.faults.halve_answers -= 1
            body = body[: len(body) // 2]
        if self.server.faults.truncate_answers > 0:
            self.server.faults.truncate_answers -= 1
            headers.append(('content-length', str(len(body))))
            await connection.start_answer(200, tuple(headers))
            await connection.send_part(body[: len(body) // 2])
            await connection.close()
            return
        await connection.send_answer(Answer(200, tuple(headers), body))

    async def _serve_kept(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        stream_id = head.path.removeprefix(STREAMS)
        stream = self._streams.get(stream_id)
        if stream is None:
            await send_json(connection, {'error': 'no such stream'}, 404)
            return
        if head.method == 'DELETE':
            if stream.task is not None:
                stream.task.cancel()
            await send_json(connection, {})
            return
        index = int(head.get_header('last-event-id', '-1')) + 1
        headers = self._identify(stream, head)
        await self._send_events(connection, stream, headers, index)

    def _identify(
        self, stream: EngineStream, head: RequestHead
    ) -> list[tuple[str, str]]:
        headers = [
            ('x-engine-incarnation', self._incarnation),
            ('x-engine-version', stream.version),
            ('x-engine-stream', stream.stream_id),
        ]
        request_id = head.get_header('x-request-id')
        if self.server.faults.wrong_request_ids > 0:
            self.server.faults.wrong_request_ids -= 1
            request_id = 'another-request'
        if request_id:
            headers.append(('x-request-id', request_id))
        return headers

    async def _refuse_draining(self, connection: ServerConnection) -> None:
        body = msgspec.json.encode({'error': {'message': 'draining'}})
        headers = (('x-engine-draining', '1'),)
        await connection.send_answer(Answer(503, headers, body))

    async def _tell_health(
        self, connection: ServerConnection, _body: bytes
    ) -> None:
        await connection.send_answer(Answer(200))

    async def _tell_metrics(
        self, connection: ServerConnection, _body: bytes
    ) -> None:
        text = (
            '# TYPE vllm:num_requests_running gauge\n'
            f'vllm:num_requests_running {self._running}\n'
            '# TYPE vllm:num_requests_waiting gauge\n'
            f'vllm:num_requests_waiting {self._waiting}\n'
        )
        headers = (('content-type', 'text/plain; version=0.0.4'),)
        await connection.send_answer(Answer(200, headers, text.encode()))

    async def _tell_models(
        self, connection: ServerConnection, _body: bytes
    ) -> None:
        data = [{'id': name, 'object': 'model'} for name in self._versions]
        await send_json(connection, {'object': 'list', 'data': data})

    async def _tell_state(
        self, connection: ServerConnection, _body: bytes
    ) -> None:
        state = {
            'incarnation': self._incarnation,
            'versions': self._versions,
            'draining': self._draining,
            'running': self._running,
            'waiting': self._waiting,
        }
        await send_json(connection, state)

    async def _tell_counts(
        self, connection: ServerConnection, _body: bytes
    ) -> None:
        counts = {
            'requests': self._requests,
            'computed_tokens': self._computed_tokens,
            'running': self._running,
        }
        await send_json(connection, counts)

    async def _take_order(
        self, connection: ServerConnection, body: bytes
    ) -> None:
        order = msgspec.json.decode(body)
        fencing = int(order['fencing'])
        if self._settings.checks_fencing and fencing < self._fencing:
            error = {'error': f'{fencing} is below {self._fencing}'}
            await send_json(connection, error, 409)
            return
        self._fencing = max(self._fencing, fencing)
        self._versions[order['model']] = order['version']
        self._cache.clear()
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
