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

"""Forwards an answer that is not streamed, once it is complete."""

import msgspec

from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.router.call import UpstreamCall
from lifttrestle.internal.router.relay import AnswerRelay
from lifttrestle.internal.router.scope import RequestScope
from lifttrestle.internal.stream.transcript import Usage

MAX_ANSWER_BYTES = 32 * 1024 * 1024


class Completion(msgspec.Struct):
    """The fields of a complete answer that the router reads."""

    choices: list[msgspec.Raw]
    usage: Usage | None = None


class BufferedRelay(AnswerRelay):
    """Buffers the answer to its end, so that a lost one can be retried."""

    def __init__(self, scope: RequestScope) -> None:
        self._scope = scope
        self._started = False

    @property
    def started(self) -> bool:
        """Return whether the caller has received a part of the answer."""
        return self._started

    async def forward(self, call: UpstreamCall) -> None:
        """Read the complete answer, validate it and send it.

        :raises UpstreamLost: if the answer broke off, exceeds
            ``MAX_ANSWER_BYTES`` or is invalid.
        """
        body = await call.read_body(MAX_ANSWER_BYTES)
        try:
            answer = msgspec.json.decode(body, type=Completion)
        except msgspec.MsgspecError as error:
            raise UpstreamLost(
                f'the answer is not a valid completion: {error}'
            ) from error
        self.usage = answer.usage
        self._started = True
        headers = (
            ('content-type', 'application/json'),
            ('x-request-id', self._scope.request_id),
        )
        await self._scope.connection.send_answer(
            Answer(call.head.status, headers, body)
        )
