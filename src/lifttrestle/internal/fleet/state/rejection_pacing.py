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

"""Pauses between requests that an upstream may have to reject."""

import collections
import dataclasses

from lifttrestle.internal.fleet.policy.rejection_limit import get_pause_seconds
from lifttrestle.internal.fleet.policy.rejection_limit import SendingShare
from lifttrestle.internal.fleet.policy.requested_pause import limit_pause
from lifttrestle.internal.fleet.state.reach import NEVER

# Maximum number of starts that are remembered, about 300 bytes each.
MAX_PACINGS = 2000


@dataclasses.dataclass
class RejectionPacing:
    """When this router may send what an upstream may have to reject.

    All times are monotonic seconds.

    :ivar max_rejections: how many rejections a second it tolerates from all
        routers together, as its last answer announced, or None.
    :ivar announced_at: since when it announces a number.
    :ivar paused_until: until when nothing is sent to it after a rejection.
    :ivar requested_until: until when it asked to be sent nothing.
    :ivar next_turn_at: from when this router may send more than its share
        again, after it has done so.
    """

    max_rejections: float | None = None
    announced_at: float = NEVER
    paused_until: float = NEVER
    requested_until: float = NEVER
    next_turn_at: float = NEVER

    def note_announced(self, number: float | None, now: float) -> None:
        """Record the number that its last answer announced, if any."""
        if self.max_rejections is None and number is not None:
            self.announced_at = now
        self.max_rejections = number

    def is_paused(self, now: float) -> bool:
        """Return whether nothing may be sent to it."""
        return now < self.paused_until

    def note_requested(self, seconds: float, now: float) -> None:
        """Record that it asked to be sent nothing for some seconds."""
        until = now + limit_pause(seconds)
        self.requested_until = max(self.requested_until, until)

    def get_requested_seconds(self, now: float) -> float:
        """Return the rest of the pause that it asked for, in seconds."""
        return max(self.requested_until - now, 0.0)

    def has_turn(self, share: SendingShare, now: float) -> bool:
        """Return whether this router may send more than its share now."""
        if not self.max_rejections:
            return False
        pause = get_pause_seconds(share.routers, self.max_rejections)
        first_turn_at = self.announced_at + share.turn * pause
        return now >= max(first_turn_at, self.next_turn_at)

    def note_turn_used(
        self, share: SendingShare, load: float, now: float
    ) -> None:
        """Record that this router sends more than its share.

        :param load: requests at the upstream, as a share of its slots; the
            fuller it is, the longer it takes until the next turn.
        """
        if self.max_rejections is not None:
            pause = get_pause_seconds(share.routers, self.max_rejections)
            self.next_turn_at = now + pause * min(load, 1.0)

    def note_rejected(self, routers: int, now: float) -> None:
        """Record a rejection for want of room."""
        if self.max_rejections is not None:
            pause = get_pause_seconds(routers, self.max_rejections)
            self.paused_until = now + pause


class StartPacings:
    """Remembers the pauses of starts, also while their entry is missing."""

    def __init__(self) -> None:
        self._pacings: collections.OrderedDict[str, RejectionPacing] = (
            collections.OrderedDict()
        )

    def get(self, start: str) -> RejectionPacing:
        """Return the pauses of a start, none if it is new."""
        pacing = self._pacings.setdefault(start, RejectionPacing())
        self._pacings.move_to_end(start)
        if len(self._pacings) > MAX_PACINGS:
            self._pacings.popitem(last=False)
        return pacing
