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

"""Decides what to believe of the rate that an upstream takes.

The load that it answers: many requests are under way at an upstream when it
begins to name a limit, changes it or names none any more, at several routers
and for different times. Their answers arrive in another order than they were
made in. Each was made between the moments at which its request was sent and
the answer was heard. A lower limit counts if it may be the newest word; the
end of a limit, and a higher one, only if they surely are.
"""

import dataclasses
import enum
import math

from lifttrestle.errors import InputRefused


@dataclasses.dataclass(frozen=True)
class ReportedLimit:
    """What one answer says of its upstream's limit.

    :ivar rate: requests a second that the upstream takes from all routers
        together, None if the answer names none.
    :ivar fault: why what it names can't be used; such an answer proves
        neither that there is a limit nor that there is none.
    """

    rate: float | None = None
    fault: InputRefused | None = None


@dataclasses.dataclass(frozen=True)
class LimitObservation:
    """What an answer said, and when it was made, monotonic seconds.

    :ivar begin: it was made at this time at the soonest.
    :ivar end: and at this time at the latest.
    """

    rate: float | None
    begin: float
    end: float


class LimitChange(enum.Enum):
    """What a sign changes."""

    NOTHING = 'nothing'
    LEARNT = 'learnt'
    CHANGED = 'changed'
    ENDED = 'ended'


@dataclasses.dataclass
class LimitBelief:
    """What is believed of one start of an upstream.

    :ivar rate: in force, None without a limit.
    :ivar latest: the newest sign that named a limit; its end is minus infinity
        before the first.
    :ivar ended_at: when an answer without a limit was heard that ended one.
    """

    rate: float | None = None
    latest: LimitObservation = LimitObservation(None, -math.inf, -math.inf)
    ended_at: float = -math.inf

    def update(self, sign: LimitObservation) -> LimitChange:
        """Take in a sign; return what it changes."""
        if sign.rate is None:
            return self._note_none(sign)
        if sign.begin < self.ended_at:
            # It may have been under way while the limit was ended.
            return LimitChange.NOTHING
        before = self.rate
        newer = sign.begin >= self.latest.end
        if before is not None and not newer and sign.rate > before:
            return LimitChange.NOTHING
        if before is not None and sign.end < self.latest.begin:
            return LimitChange.NOTHING
        self.rate = sign.rate
        if sign.end > self.latest.end:
            self.latest = sign
        if before is None:
            return LimitChange.LEARNT
        if before != sign.rate:
            return LimitChange.CHANGED
        return LimitChange.NOTHING

    def _note_none(self, sign: LimitObservation) -> LimitChange:
        if self.rate is None or sign.begin < self.latest.end:
            return LimitChange.NOTHING
        self.rate = None
        self.ended_at = sign.end
        return LimitChange.ENDED
