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

"""Tracks the rate limit that an upstream reports.

When an upstream sets, changes or removes its limit, many requests of several
routers are in flight, and their answers arrive out of order. Each answer was
produced between the time its request was sent and the time it was received. A
lower limit is applied if it may be the newest; the removal of a limit or a
higher limit is applied only if it is certainly the newest.
"""

import dataclasses
import enum
import math

from lifttrestle.errors import InputRefused


@dataclasses.dataclass(frozen=True)
class ReportedLimit:
    """Limit that one answer of an upstream reports.

    :ivar rate: requests per second that the upstream accepts from all
        routers together, None if the answer reports no limit.
    :ivar fault: why the reported limit is invalid; such an answer proves
        neither the presence nor the absence of a limit.
    """

    rate: float | None = None
    fault: InputRefused | None = None


@dataclasses.dataclass(frozen=True)
class LimitObservation:
    """Limit reported by an answer, with the time at which it was produced.

    :ivar rate: requests per second, None if no limit was reported.
    :ivar begin: earliest time of production, monotonic seconds.
    :ivar end: latest time of production, monotonic seconds.
    """

    rate: float | None
    begin: float
    end: float


class LimitChange(enum.Enum):
    """Effect of an observation on the known limit."""

    NOTHING = 'nothing'
    LEARNT = 'learnt'
    CHANGED = 'changed'
    ENDED = 'ended'


@dataclasses.dataclass
class KnownLimit:
    """Known limit of one start of an upstream.

    :ivar rate: requests per second in force, None without a limit.
    :ivar latest: newest observation of a limit; its end is minus infinity
        before the first.
    :ivar ended_at: when the answer was received that removed the limit.
    """

    rate: float | None = None
    latest: LimitObservation = LimitObservation(None, -math.inf, -math.inf)
    ended_at: float = -math.inf

    def update(self, observation: LimitObservation) -> LimitChange:
        """Apply an observation and return its effect."""
        if observation.rate is None:
            return self._apply_removal(observation)
        if observation.begin < self.ended_at:
            # It may have been produced before the limit was removed.
            return LimitChange.NOTHING
        before = self.rate
        newer = observation.begin >= self.latest.end
        if before is not None and not newer and observation.rate > before:
            return LimitChange.NOTHING
        if before is not None and observation.end < self.latest.begin:
            return LimitChange.NOTHING
        self.rate = observation.rate
        if observation.end > self.latest.end:
            self.latest = observation
        if before is None:
            return LimitChange.LEARNT
        if before != observation.rate:
            return LimitChange.CHANGED
        return LimitChange.NOTHING

    def _apply_removal(self, observation: LimitObservation) -> LimitChange:
        if self.rate is None or observation.begin < self.latest.end:
            return LimitChange.NOTHING
        self.rate = None
        self.ended_at = observation.end
        return LimitChange.ENDED
