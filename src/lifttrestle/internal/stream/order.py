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

"""Detects repeated and missing events of a stream by their index."""

import enum

from lifttrestle.internal.stream.event import NO_INDEX


class EventAction(enum.Enum):
    """What to do with an event.

    ``GAP`` means that an earlier event is missing, or that an event without
    an index follows one with an index.
    """

    FORWARD = 'forward'
    DROP = 'drop'
    GAP = 'gap'


class StreamOrder:
    """Passes each index of a stream once, in ascending order from 0.

    A stream whose events carry no index is forwarded unchanged; lost events
    are not detected, and the stream cannot be resumed.
    """

    def __init__(self) -> None:
        self._next = 0
        self._indexed = False

    @property
    def last_index(self) -> int:
        """Return the index of the last forwarded event, or -1."""
        return self._next - 1

    @property
    def indexed(self) -> bool:
        """Return whether any event so far carried an index."""
        return self._indexed

    def classify(self, index: int) -> EventAction:
        """Return what to do with an event of this index."""
        if index == NO_INDEX:
            return EventAction.GAP if self._indexed else EventAction.FORWARD
        self._indexed = True
        if index < self._next:
            return EventAction.DROP
        if index > self._next:
            return EventAction.GAP
        self._next += 1
        return EventAction.FORWARD
