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

"""The request that goes on from a partial answer."""

from lifttrestle.internal.router.model_request import LIMIT_FIELDS
from lifttrestle.internal.router.model_request import ModelRequest
from lifttrestle.internal.router.route import RouteKind
from lifttrestle.internal.stream.transcript import Transcript


def build_continuation(
    request: ModelRequest, transcript: Transcript
) -> dict[str, object] | None:
    """Return a body that asks for the rest, or None if nothing may follow.

    A chat goes on from an open assistant message, a completion from its
    prompt with the delivered text behind it. The limit on new tokens shrinks
    by what was delivered.
    """
    body = dict(request.body)
    for field in LIMIT_FIELDS:
        limit = body.get(field)
        if not isinstance(limit, int):
            continue
        left = limit - transcript.tokens
        if left < 1:
            return None
        body[field] = left
    text = transcript.text
    if request.kind is RouteKind.COMPLETIONS:
        body['prompt'] = f'{body["prompt"]}{text}'
        return body
    if text:
        messages = body['messages']
        assert isinstance(messages, list)
        partial = {'role': 'assistant', 'content': text}
        body['messages'] = [*messages, partial]
        body['continue_final_message'] = True
        body['add_generation_prompt'] = False
    return body
