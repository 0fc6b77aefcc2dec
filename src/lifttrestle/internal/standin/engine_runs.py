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

"""Generations of an engine stand-in.

Simulates a prefix cache, a limited number of slots, and prefill and decoding
at constant rates.
"""

import asyncio
import itertools

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.standin.engine_answers import encode_chunk
from lifttrestle.internal.standin.engine_answers import encode_usage
from lifttrestle.internal.standin.engine_cache import EngineCache
from lifttrestle.internal.standin.engine_settings import EngineSettings
from lifttrestle.internal.standin.engine_stream import EngineStream
from lifttrestle.internal.standin.engine_text import render_prompt
from lifttrestle.internal.standin.engine_text import TextGenerator

DEFAULT_MAX_TOKENS = 16
MAX_RETAINED_STREAMS = 256
DONE = b'[DONE]'


class EngineRunner:
    """Runs generations and retains the latest streams.

    :param settings: size, speed and models of the engine.
    :param clock: ages the blocks of the prefix cache.
    :ivar versions: version of the weights for each loaded model.
    :ivar running: number of generations that hold a slot.
    :ivar waiting: number of generations that wait for a slot.
    :ivar requests: number of generations started.
    :ivar computed_tokens: number of prompt tokens that were not cached.
    """

    def __init__(self, settings: EngineSettings, clock: Clock) -> None:
        self._settings = settings
        self._cache = EngineCache(
            settings.cache_blocks, settings.cache_seconds, clock
        )
        self._slots = asyncio.Semaphore(settings.slots)
        self._streams: dict[str, EngineStream] = {}
        self._sequence = itertools.count(1)
        self.versions = dict(settings.versions)
        self.running = 0
        self.waiting = 0
        self.requests = 0
        self.computed_tokens = 0

    def load(self, model: str, version: str) -> None:
        """Load other weights, which empties the prefix cache."""
        self.versions[model] = version
        self._cache.clear()

    def get(self, stream_id: str) -> EngineStream | None:
        """Return a stream, or None if it is not retained any more."""
        return self._streams.get(stream_id)

    def start(
        self, path: str, request: dict[str, object], model: str
    ) -> EngineStream:
        """Start a generation by a loaded model.

        :param path: path of the request, which selects the answer's format.
        :param request: decoded body of the request.
        :raises KeyError: if the model is not loaded.
        """
        self.requests += 1
        text = render_prompt(request)
        tokens = text.split()
        salt = str(request.get('cache_salt', ''))
        version = self.versions[model]
        cached = self._cache.admit(f'{model}\0{version}\0{salt}', tokens)
        self.computed_tokens += len(tokens) - cached
        stream_id = f'cmpl-{self._settings.name}-{next(self._sequence)}'
        stream = EngineStream(stream_id, model, version, len(tokens), cached)
        self._streams[stream_id] = stream
        while len(self._streams) > MAX_RETAINED_STREAMS:
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
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            try:
                uncached_tokens = stream.prompt_tokens - stream.cached_tokens
                await asyncio.sleep(
                    uncached_tokens / settings.prefill_tokens_per_second
                )
                await self._decode(path, request, stream, text)
            finally:
                self.running -= 1
                stream.end()

    async def _decode(
        self,
        path: str,
        request: dict[str, object],
        stream: EngineStream,
        text: str,
    ) -> None:
        max_tokens = request.get('max_completion_tokens')
        max_tokens = (
            max_tokens or request.get('max_tokens') or DEFAULT_MAX_TOKENS
        )
        weights = f'{stream.model}\0{stream.version}'
        can_stop = not request.get('ignore_eos')
        generator = TextGenerator(weights, text, can_stop)
        stream.finish_reason = 'length'
        for _ in range(int(max_tokens)):  # type: ignore[call-overload]
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
