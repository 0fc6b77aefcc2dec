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

"""The engine stand-in's answers as its API spells them."""

import msgspec

from lifttrestle.internal.standin.engine_stream import EngineStream

CHAT = '/v1/chat/completions'


def encode_chunk(
    path: str, stream: EngineStream, word: str, finish_reason: str | None
) -> bytes:
    """Return one event of a stream: a word, or why it ended."""
    choice: dict[str, object] = {'index': 0, 'finish_reason': finish_reason}
    if path == CHAT:
        delta = {'content': word} if finish_reason is None else {}
        if len(stream.words) == 1 and finish_reason is None:
            delta = {'role': 'assistant', 'content': word}
        choice['delta'] = delta
    else:
        choice['text'] = word
    return msgspec.json.encode(_frame(path, stream, [choice]))


def encode_usage(path: str, stream: EngineStream) -> bytes:
    """Return the last event: what the stream has used."""
    content = _frame(path, stream, [])
    content['usage'] = _count_usage(stream)
    return msgspec.json.encode(content)


def encode_whole(path: str, stream: EngineStream) -> bytes:
    """Return the answer to a request that wanted no stream."""
    text = ''.join(stream.words)
    choice: dict[str, object] = {
        'index': 0,
        'finish_reason': stream.finish_reason,
    }
    if path == CHAT:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    content = _frame(path, stream, [choice])
    content['object'] = (
        'chat.completion' if path == CHAT else content['object']
    )
    content['usage'] = _count_usage(stream)
    return msgspec.json.encode(content)


def _frame(
    path: str, stream: EngineStream, choices: list[object]
) -> dict[str, object]:
    kind = 'chat.completion.chunk' if path == CHAT else 'text_completion'
    return {
        'id': stream.stream_id,
        'object': kind,
        'created': 0,
        'model': stream.model,
        'choices': choices,
    }


def _count_usage(stream: EngineStream) -> dict[str, object]:
    made = len(stream.words)
    return {
        'prompt_tokens': stream.prompt_tokens,
        'completion_tokens': made,
        'total_tokens': stream.prompt_tokens + made,
        'prompt_tokens_details': {'cached_tokens': stream.cached_tokens},
    }
