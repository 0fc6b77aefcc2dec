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

"""What of a stream has been delivered, so that it can be continued.

A continuation comes from another generation, with ids and counts of its own.
They are rewritten so that the caller sees one answer.
"""

import dataclasses
import io

import msgspec

from lifttrestle.internal.stream.event import StreamEvent

END_OF_STREAM = b'[DONE]'
CHAT_CHUNK = 'chat.completion.chunk'


class Delta(msgspec.Struct):
    """The new part of a chat answer."""

    content: str | None = None


class ChunkChoice(msgspec.Struct):
    """The part of a choice that delivery depends on."""

    finish_reason: str | None = None
    text: str | None = None
    delta: Delta | None = None


class TokenDetails(msgspec.Struct):
    """How much of a prompt was cached."""

    cached_tokens: int | None = None


class Usage(msgspec.Struct):
    """The token counts of an answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: TokenDetails | None = None

    @property
    def cached_tokens(self) -> int:
        """Return the cached tokens of the prompt, 0 if not told."""
        details = self.prompt_tokens_details
        return (details.cached_tokens or 0) if details else 0


class Chunk(msgspec.Struct):
    """The part of a streamed chunk that delivery depends on."""

    choices: list[ChunkChoice] = []
    usage: Usage | None = None
    error: msgspec.Raw | None = None


CHUNK_DECODER = msgspec.json.Decoder(Chunk)


@dataclasses.dataclass
class Transcript:
    """The delivered part of one stream.

    :param wants_usage: whether the caller asked for the token counts.
    """

    wants_usage: bool
    delivered: io.StringIO = dataclasses.field(default_factory=io.StringIO)
    tokens: int = 0
    finished: bool = False
    usage: Usage | None = None
    first_frame: dict[str, object] | None = None
    carried_tokens: int = 0

    @property
    def text(self) -> str:
        """Return the delivered text."""
        return self.delivered.getvalue()

    def begin_continuation(self) -> None:
        """Expect the rest of the answer from another generation."""
        self.carried_tokens = self.tokens

    def add_event(self, event: StreamEvent) -> bytes | None:
        """Note an event and return the data to forward, if any.

        :raises ValueError: if the event is not a chunk of an answer.
        """
        chunk = CHUNK_DECODER.decode(event.data)
        if chunk.error is not None:
            raise ValueError('the engine reports an error within the stream')
        if self.first_frame is None:
            self.first_frame = _read_frame(event.data)
        self._note_choices(chunk)
        if chunk.usage is not None:
            self.usage = chunk.usage
            if not self.wants_usage and not chunk.choices:
                return None
        if not self.carried_tokens:
            return event.data
        return self._rewrite(event.data)

    def build_final_chunk(self) -> bytes:
        """Return the chunk that ends a text at the caller's limit."""
        choice: dict[str, object] = {'index': 0, 'finish_reason': 'length'}
        frame = self.first_frame or {}
        if frame.get('object') == CHAT_CHUNK:
            choice['delta'] = {}
        else:
            choice['text'] = ''
        return msgspec.json.encode({**frame, 'choices': [choice]})

    def _note_choices(self, chunk: Chunk) -> None:
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
        content.update(self.first_frame or {})
        for choice in content.get('choices') or ():
            delta = choice.get('delta')
            if delta:
                delta.pop('role', None)
        usage = content.get('usage')
        if usage:
            usage['prompt_tokens'] -= self.carried_tokens
            usage['completion_tokens'] += self.carried_tokens
        return msgspec.json.encode(content)


def _read_frame(data: bytes) -> dict[str, object]:
    content = msgspec.json.decode(data)
    return {
        key: content[key]
        for key in ('id', 'object', 'created', 'model')
        if key in content
    }
