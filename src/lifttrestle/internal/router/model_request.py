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

"""Parses and validates requests of the chat and completion API."""

import dataclasses

import msgspec

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.refusal.kind import ErrorKind
from lifttrestle.internal.router.route import RouteKind

PATHS = {
    RouteKind.CHAT: '/v1/chat/completions',
    RouteKind.COMPLETIONS: '/v1/completions',
}
TOKEN_LIMIT_FIELDS = ('max_completion_tokens', 'max_tokens')
# With any of these fields, the delivered text alone is not enough to continue
# an answer.
NOT_CONTINUABLE = (
    'tools',
    'functions',
    'response_format',
    'logprobs',
    'echo',
    'suffix',
    'stop',
)


@dataclasses.dataclass(frozen=True)
class ModelRequest:
    """The fields of a request's body that the router uses.

    :ivar body: the caller's JSON object.
    :ivar texts: the texts of the messages in order, or the single prompt.
    """

    kind: RouteKind
    model: str
    body: dict[str, object]
    texts: list[str]

    @property
    def path(self) -> str:
        """Return the engine's path for this request."""
        return PATHS[self.kind]

    @property
    def streams(self) -> bool:
        """Return whether the caller asked for a stream."""
        return self.body.get('stream') is True

    @property
    def wants_usage(self) -> bool:
        """Return whether the caller asked for token counts in its stream."""
        options = self.body.get('stream_options')
        return isinstance(options, dict) and bool(options.get('include_usage'))

    @property
    def max_tokens(self) -> int | None:
        """Return the caller's limit on generated tokens, or None."""
        for field in TOKEN_LIMIT_FIELDS:
            limit = self.body.get(field)
            if isinstance(limit, int):
                return limit
        return None

    @property
    def cache_key(self) -> str:
        """Return the caller's prompt cache key, or an empty string.

        Requests with the same key are expected to share a prefix.
        """
        return str(self.body.get('prompt_cache_key') or '')

    @property
    def continuable(self) -> bool:
        """Return whether the answer can be continued from its text."""
        if any(self.body.get(name) for name in NOT_CONTINUABLE):
            return False
        if self.body.get('n', 1) not in (None, 1):
            return False
        return all(isinstance(text, str) for text in self.texts)


def parse_model_request(kind: RouteKind, data: bytes) -> ModelRequest:
    """Parse and validate the body of a request.

    :raises RequestRefused: naming the first invalid field and its value.
    """
    try:
        body = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise _refuse('body', f'the body is not JSON: {error}') from None
    if not isinstance(body, dict):
        raise _refuse('body', 'the body is not a JSON object')
    model = body.get('model')
    if not isinstance(model, str) or not model:
        raise _refuse('model', f'model = {model!r}: write a model name')
    _check_options(body)
    texts = _TEXT_READERS[kind](body)
    return ModelRequest(kind, model, body, texts)


def _check_options(body: dict[str, object]) -> None:
    stream = body.get('stream')
    if stream not in (None, True, False):
        raise _refuse('stream', f'stream = {stream!r}: write true or false')
    options = body.get('stream_options')
    if options is not None and not isinstance(options, dict):
        raise _refuse(
            'stream_options', f'stream_options = {options!r}: write an object'
        )
    for name in (*TOKEN_LIMIT_FIELDS, 'n'):
        value = body.get(name)
        if value is None:
            continue
        if type(value) is not int or value < 1:
            raise _refuse(name, f'{name} = {value!r}: write 1 or more')


def _read_messages(body: dict[str, object]) -> list[str]:
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise _refuse(
            'messages', 'messages is not a list of one or more messages'
        )
    return [
        _read_message(index, message) for index, message in enumerate(messages)
    ]


def _read_message(index: int, message: object) -> str:
    field = f'messages[{index}]'
    if not isinstance(message, dict):
        raise _refuse(field, f'{field} is not an object')
    role = message.get('role')
    if not isinstance(role, str) or not role:
        raise _refuse(
            f'{field}.role', f'{field}.role = {role!r}: write a role'
        )
    content = message.get('content')
    if isinstance(content, str):
        return f'{role}: {content}'
    if content is None or isinstance(content, list):
        return f'{role}: {msgspec.json.encode(message).decode()}'
    raise _refuse(
        f'{field}.content',
        f'{field}.content is neither a string nor a list of parts',
    )


def _read_prompt(body: dict[str, object]) -> list[str]:
    prompt = body.get('prompt')
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise _refuse(
            'prompt', 'prompt is not a string; send one prompt per request'
        )
    body['prompt'] = prompt
    return [prompt]


_TEXT_READERS = {
    RouteKind.CHAT: _read_messages,
    RouteKind.COMPLETIONS: _read_prompt,
}


def _refuse(field: str, message: str) -> RequestRefused:
    return RequestRefused(ErrorKind.INVALID_VALUE, message, field=field)
