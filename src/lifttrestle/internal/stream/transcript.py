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

"""Tracks the delivered part of a stream, so that it can be continued.

A continuation is another generation with its own ids and token counts. They
are rewritten so that the caller sees a single answer.
"""

import dataclasses
import io

import msgspec

from lifttrestle.internal.stream.event import StreamEvent

END_OF_STREAM = b'[DONE]'
CHAT_CHUNK = 'chat.completion.chunk'


class Delta(msgspec.Struct):
    """The increment of a chat answer."""

    content: str | None = None


class ChunkChoice(msgspec.Struct):
    """The fields of a choice that the transcript uses."""

    finish_reason: str | None = None
    text: str | None = None
    delta: Delta | None = None


class TokenDetails(msgspec.Struct):
    """Breakdown of the token count of a prompt."""

    cached_tokens: int | None = None


class Usage(msgspec.Struct):
    """The token counts of an answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: TokenDetails | None = None

    @property
    def cached_tokens(self) -> int:
        """Return the cached tokens of the prompt, 0 if not reported."""
        details = self.prompt_tokens_details
        return (details.cached_tokens or 0) if details else 0


class Chunk(msgspec.Struct):
    """The fields of a streamed chunk that the transcript uses."""

    choices: list[ChunkChoice] = []
    usage: Usage | None = None
    error: msgspec.Raw | None = None


CHUNK_DECODER = msgspec.json.Decoder(Chunk)


@dataclasses.dataclass
class Transcript:
    """The delivered part of one stream.

    :param wants_usage: whether the caller asked for the token counts.
    :ivar tokens: number of delivered chunks with text, counted as tokens.
    :ivar finished: whether a choice reported its finish reason.
    :ivar usage: the last token counts that were received.
    :ivar envelope: id, object, created and model of the first chunk.
    :ivar prior_tokens: tokens delivered before the present continuation.
    """

    wants_usage: bool
    delivered: io.StringIO = dataclasses.field(default_factory=io.StringIO)
    tokens: int = 0
    finished: bool = False
    usage: Usage | None = None
    envelope: dict[str, object] | None = None
    prior_tokens: int = 0

    @property
    def text(self) -> str:
        """Return the delivered text."""
        return self.delivered.getvalue()

    def begin_continuation(self) -> None:
        """Treat further events as a continuation by another generation."""
        self.prior_tokens = self.tokens

    def add_event(self, event: StreamEvent) -> bytes | None:
        """Record an event and return the data to forward, if any.

        :raises ValueError: if the event is not a chunk of an answer, or if
            it reports an error.
        """
        chunk = CHUNK_DECODER.decode(event.data)
        if chunk.error is not None:
            raise ValueError('the engine reported an error within the stream')
        if self.envelope is None:
            self.envelope = _read_envelope(event.data)
        self._record_choices(chunk)
        if chunk.usage is not None:
            self.usage = chunk.usage
            if not self.wants_usage and not chunk.choices:
                return None
        if not self.prior_tokens:
            return event.data
        return self._rewrite(event.data)

    def build_final_chunk(self) -> bytes:
        """Return the chunk that ends an answer at the caller's token limit."""
        choice: dict[str, object] = {'index': 0, 'finish_reason': 'length'}
        envelope = self.envelope or {}
        if envelope.get('object') == CHAT_CHUNK:
            choice['delta'] = {}
        else:
            choice['text'] = ''
        return msgspec.json.encode({**envelope, 'choices': [choice]})

    def _record_choices(self, chunk: Chunk) -> None:
        for choice in chunk.choices:
            content = choice.text
            if choice.delta is not None:
                content = choice.delta.content
            if content:
                self.delivered.write(content)
                self.tokens += 1
            if choice.finish_reason is not None:
                self.finished = True

    def _rewrite(self, data: bytes) -> bytes:
        content = msgspec.json.decode(data)
        content.update(self.envelope or {})
        for choice in content.get('choices') or ():
            delta = choice.get('delta')
            if delta:
                delta.pop('role', None)
        usage = content.get('usage')
        if usage:
            usage['prompt_tokens'] -= self.prior_tokens
            usage['completion_tokens'] += self.prior_tokens
        return msgspec.json.encode(content)


def _read_envelope(data: bytes) -> dict[str, object]:
    content = msgspec.json.decode(data)
    return {
        key: content[key]
        for key in ('id', 'object', 'created', 'model')
        if key in content
    }
