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

"""Encodes the answers of the engine stand-in as JSON of its API."""

import msgspec

from lifttrestle.internal.standin.engine_stream import EngineStream

CHAT_PATH = '/v1/chat/completions'


def encode_chunk(
    path: str, stream: EngineStream, word: str, finish_reason: str | None
) -> bytes:
    """Encode one event of a stream: a word, or the finish reason.

    :param path: path of the request, which selects the chat or the
        completion format.
    :param finish_reason: why the stream ended; None for a word.
    """
    choice: dict[str, object] = {'index': 0, 'finish_reason': finish_reason}
    if path == CHAT_PATH:
        delta = {'content': word} if finish_reason is None else {}
        if len(stream.words) == 1 and finish_reason is None:
            delta = {'role': 'assistant', 'content': word}
        choice['delta'] = delta
    else:
        choice['text'] = word
    return msgspec.json.encode(_build_content(path, stream, [choice]))


def encode_usage(path: str, stream: EngineStream) -> bytes:
    """Encode the last event, which holds the token usage of the stream."""
    content = _build_content(path, stream, [])
    content['usage'] = _build_usage(stream)
    return msgspec.json.encode(content)


def encode_complete_answer(path: str, stream: EngineStream) -> bytes:
    """Encode the answer to a request without streaming."""
    text = ''.join(stream.words)
    choice: dict[str, object] = {
        'index': 0,
        'finish_reason': stream.finish_reason,
    }
    if path == CHAT_PATH:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    content = _build_content(path, stream, [choice])
    content['object'] = (
        'chat.completion' if path == CHAT_PATH else content['object']
    )
    content['usage'] = _build_usage(stream)
    return msgspec.json.encode(content)


def _build_content(
    path: str, stream: EngineStream, choices: list[object]
) -> dict[str, object]:
    kind = 'chat.completion.chunk' if path == CHAT_PATH else 'text_completion'
    return {
        'id': stream.stream_id,
        'object': kind,
        'created': 0,
        'model': stream.model,
        'choices': choices,
    }


def _build_usage(stream: EngineStream) -> dict[str, object]:
    completion_tokens = len(stream.words)
    return {
        'prompt_tokens': stream.prompt_tokens,
        'completion_tokens': completion_tokens,
        'total_tokens': stream.prompt_tokens + completion_tokens,
        'prompt_tokens_details': {'cached_tokens': stream.cached_tokens},
    }
