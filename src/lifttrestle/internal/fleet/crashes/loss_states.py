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

"""States of the detection of a crash, and what leads from one to another."""

import enum

from lifttrestle.internal.fleet.state.upstream_entry import StartEnd


class StartEvidence(enum.Enum):
    """Evidence on whether a start that aborted an answer has crashed."""

    # Its address refused a connection.
    REFUSED = enum.auto()
    # Its address accepted a connection: the start is alive, or a newer start
    # has its address.
    ACCEPTED = enum.auto()
    # It answered a request that was sent after the aborted answer.
    ANSWERED = enum.auto()
    # A newer start has its name or address.
    REPLACED = enum.auto()
    # Its entry was removed without notice.
    VANISHED = enum.auto()
    # It had announced that it stops, or its entry is no longer readable.
    WITHDRAWN = enum.auto()
    # Its entry still exists after the time by which that of a crashed start
    # would have expired.
    STILL_LISTED = enum.auto()


class LossState(enum.Enum):
    """State of the crash detection for a start that aborted an answer."""

    OPEN = enum.auto()
    # It accepts connections, so only a refused connection or a newer start
    # would still prove a crash.
    REACHED = enum.auto()
    # Nothing listens at its address; later evidence may refute the crash.
    CRASHED = enum.auto()
    # It has certainly crashed: its entry is gone or a newer start exists.
    PROVED = enum.auto()
    # It has not crashed.
    SOUND = enum.auto()


END_EVIDENCE = {
    StartEnd.REPLACED: StartEvidence.REPLACED,
    StartEnd.VANISHED: StartEvidence.VANISHED,
    StartEnd.WITHDRAWN: StartEvidence.WITHDRAWN,
}
CRASHED_STATES = (LossState.CRASHED, LossState.PROVED)
TRANSITIONS = {
    (LossState.OPEN, StartEvidence.REFUSED): LossState.CRASHED,
    (LossState.OPEN, StartEvidence.ACCEPTED): LossState.REACHED,
    (LossState.OPEN, StartEvidence.ANSWERED): LossState.SOUND,
    (LossState.OPEN, StartEvidence.REPLACED): LossState.PROVED,
    (LossState.OPEN, StartEvidence.VANISHED): LossState.PROVED,
    (LossState.OPEN, StartEvidence.WITHDRAWN): LossState.SOUND,
    (LossState.OPEN, StartEvidence.STILL_LISTED): LossState.SOUND,
    # The listener may close shortly after the connections.
    (LossState.REACHED, StartEvidence.REFUSED): LossState.CRASHED,
    (LossState.REACHED, StartEvidence.ANSWERED): LossState.SOUND,
    (LossState.REACHED, StartEvidence.REPLACED): LossState.PROVED,
    (LossState.REACHED, StartEvidence.VANISHED): LossState.SOUND,
    (LossState.REACHED, StartEvidence.WITHDRAWN): LossState.SOUND,
    (LossState.REACHED, StartEvidence.STILL_LISTED): LossState.SOUND,
    # A cut link may also lead to refused connections, without a crash.
    (LossState.CRASHED, StartEvidence.ANSWERED): LossState.SOUND,
    (LossState.CRASHED, StartEvidence.REPLACED): LossState.PROVED,
    (LossState.CRASHED, StartEvidence.VANISHED): LossState.PROVED,
    (LossState.CRASHED, StartEvidence.WITHDRAWN): LossState.SOUND,
    (LossState.CRASHED, StartEvidence.STILL_LISTED): LossState.SOUND,
}
