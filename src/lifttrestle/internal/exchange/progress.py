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

"""A state machine that tracks whether a request may have been executed."""

import enum

from lifttrestle.internal.refusal.execution import Execution


class RequestState(enum.Enum):
    """The states of a request, in order of progress."""

    RECEIVED = 'received'
    ADMITTED = 'admitted'
    CLAIMED = 'claimed'
    SENDING = 'sending'
    FIRST_BYTE = 'first byte'
    ENDED = 'ended'


class RequestEvent(enum.Enum):
    """Events that change the state of a request."""

    ADMIT = 'admit'
    CLAIM = 'claim'
    SEND = 'send'
    DECLINED = 'declined'
    ANSWER = 'answer'
    END = 'end'


S = RequestState
E = RequestEvent
# A request that the upstream declined without processing it returns to the
# state before it was sent. A retry after the first byte of an answer stays in
# FIRST_BYTE, since the earlier attempt may have been executed.
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
    """Tracks the state of a request.

    :ivar detached: the request continues in the background although the
        handler that answers the caller was cancelled. A request that was not
        executed so far may thus still be executed.
    """

    def __init__(self) -> None:
        self.state = RequestState.RECEIVED
        self._sends = 0
        self.detached = False

    def apply(self, event: RequestEvent) -> None:
        """Apply an event.

        :raises KeyError: if ``TRANSITIONS`` has no entry for the event, which
            is a programming error.
        """
        previous = self.state
        if event is RequestEvent.SEND:
            self._sends += 1
        if event is RequestEvent.DECLINED and self._sends > 1:
            # An earlier attempt was lost and may have been executed.
            self._sends -= 1
            return
        if event is RequestEvent.DECLINED:
            self._sends = 0
        self.state = TRANSITIONS[previous, event]

    @property
    def execution(self) -> Execution:
        """Return whether the request was executed, as far as is known."""
        if self.detached and self.state is not RequestState.ENDED:
            return Execution.UNKNOWN
        return EXECUTIONS[self.state]
