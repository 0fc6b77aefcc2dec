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

"""Builds the request that continues a partial answer."""

from lifttrestle.internal.router.model_request import ModelRequest
from lifttrestle.internal.router.model_request import TOKEN_LIMIT_FIELDS
from lifttrestle.internal.router.route import RouteKind
from lifttrestle.internal.stream.transcript import Transcript


def build_continuation(
    request: ModelRequest, transcript: Transcript
) -> dict[str, object] | None:
    """Return the body of a request for the rest of an answer.

    A chat is continued from an unfinished assistant message, a completion
    from its prompt followed by the delivered text. The delivered tokens are
    subtracted from the limits on generated tokens.

    :return: None if such a limit has been reached.
    """
    body = dict(request.body)
    for field in TOKEN_LIMIT_FIELDS:
        limit = body.get(field)
        if not isinstance(limit, int):
            continue
        remaining = limit - transcript.tokens
        if remaining < 1:
            return None
        body[field] = remaining
    text = transcript.text
    if request.kind is RouteKind.COMPLETIONS:
        body['prompt'] = f'{body["prompt"]}{text}'
        return body
    if text:
        messages = body['messages']
        assert isinstance(messages, list)
        delivered = {'role': 'assistant', 'content': text}
        body['messages'] = [*messages, delivered]
        body['continue_final_message'] = True
        body['add_generation_prompt'] = False
    return body
