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

"""How far a request has come, and what may truthfully be said of it."""

import enum

from lifttrestle.internal.refusal.execution import Execution


class RequestState(enum.Enum):
    """The states of a request, in order."""

    RECEIVED = 'received'
    ADMITTED = 'admitted'
    CLAIMED = 'claimed'
    SENDING = 'sending'
    FIRST_BYTE = 'first byte'
    ENDED = 'ended'


class RequestEvent(enum.Enum):
    """What moves a request on."""

    ADMIT = 'admit'
    CLAIM = 'claim'
    SEND = 'send'
    DECLINED = 'declined'
    ANSWER = 'answer'
    END = 'end'


S = RequestState
E = RequestEvent
# A request that the upstream declined unread is back where it was before it
# was sent. Sent again, it stays in the state that admits most.
TRANSITIONS: dict[tuple[RequestState, RequestEvent], RequestState] = {
    (S.RECEIVED, E.ADMIT): S.ADMITTED,
    (S.ADMITTED, E.CLAIM): S.CLAIMED,
    (S.ADMITTED, E.SEND): S.SENDING,
    (S.CLAIMED, E.SEND): S.SENDING,
    (S.SENDING, E.SEND): S.SENDING,
    (S.SENDING, E.DECLINED): S.ADMITTED,
    (S.SENDING, E.ANSWER): S.FIRST_BYTE,
    (S.FIRST_BYTE, E.SEND): S.FIRST_BYTE,
    (S.FIRST_BYTE, E.DECLINED): S.FIRST_BYTE,
    (S.FIRST_BYTE, E.ANSWER): S.FIRST_BYTE,
    (S.FIRST_BYTE, E.END): S.ENDED,
}

EXECUTIONS: dict[RequestState, Execution] = {
    S.RECEIVED: Execution.NOT_RUN,
    S.ADMITTED: Execution.NOT_RUN,
    S.CLAIMED: Execution.NOT_RUN,
    S.SENDING: Execution.UNKNOWN,
    S.FIRST_BYTE: Execution.UNKNOWN,
    S.ENDED: Execution.RAN,
}


class RequestProgress:
    """One request's state.

    :ivar detached: the work goes on without the one who tells the caller of
        it: what has not run may run yet.
    """

    def __init__(self) -> None:
        self.state = RequestState.RECEIVED
        self._sends = 0
        self.detached = False

    def apply(self, event: RequestEvent) -> None:
        """Move on; an event that the table lacks is a programming error."""
        before = self.state
        if event is RequestEvent.SEND:
            self._sends += 1
        if event is RequestEvent.DECLINED and self._sends > 1:
            # An earlier attempt was lost and may have run.
            self._sends -= 1
            return
        if event is RequestEvent.DECLINED:
            self._sends = 0
        self.state = TRANSITIONS[before, event]

    @property
    def execution(self) -> Execution:
        """Return whether the request ran, as far as is known."""
        if self.detached and self.state is not RequestState.ENDED:
            return Execution.UNKNOWN
        return EXECUTIONS[self.state]
