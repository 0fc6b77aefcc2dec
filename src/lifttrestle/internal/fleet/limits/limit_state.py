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

"""What one router holds of the limit of one start of an upstream."""

import dataclasses
import math

from lifttrestle.internal.fleet.limits.messages import LimitItem
from lifttrestle.internal.fleet.policy.limit_belief import LimitBelief
from lifttrestle.internal.fleet.policy.limit_belief import LimitSign
from lifttrestle.internal.fleet.policy.limit_permits import PermitBucket

# A datagram between two routers takes less than this; what it tells may be
# older by so much than it seems.
TRANSIT_SECONDS = 0.1
# An end that nobody confirms is taken for complete after this.
RECOVERY_LIMIT_SECONDS = 10.0
# That a limit has ended and all was given back is told for this long.
TELL_FREED_SECONDS = 4.0
# What has ended is remembered for as long as an answer may be under way.
REMEMBERED_SECONDS = 60.0


@dataclasses.dataclass
class HeldLimit:
    """One start's limit.

    :ivar recovering: the limit has ended, and permits are still needed.
    :ivar freed_at: when it was last seen that all was given back.
    :ivar bucket: of which this router gives permits, None where others do.
    :ivar confirmed: a router that gives permits is known to know of it.
    :ivar closed_until: until when a request gets no permit.
    :ivar closed_rank: whose rank is this or higher.
    """

    start: str
    digest: int
    data_centre: str
    belief: LimitBelief = dataclasses.field(default_factory=LimitBelief)
    recovering: bool = False
    freed_at: float = -math.inf
    bucket: PermitBucket | None = None
    confirmed: bool = False
    closed_until: float = -math.inf
    closed_rank: int = 0

    @property
    def needs_permits(self) -> bool:
        """Return whether nothing may be sent without a permit."""
        return self.belief.rate is not None or self.recovering

    @property
    def is_unknown(self) -> bool:
        """Return whether nothing was heard of its limit yet."""
        never = math.isinf(self.belief.ended_at)
        return self.belief.rate is None and never

    def is_refused(self, rank: int, now: float) -> bool:
        """Return whether a request is known to get no permit now."""
        return rank >= self.closed_rank and now < self.closed_until

    def close(self, rank: int, until: float) -> None:
        """Note that a request got no permit."""
        self.closed_rank = rank
        self.closed_until = until

    def build_item(self, now: float) -> LimitItem:
        """Return what is told of it."""
        belief = self.belief
        begin, end = belief.named.begin, belief.named.end
        if belief.rate is None:
            begin = end = belief.ended_at
        return LimitItem(
            self.digest,
            belief.rate,
            max(now - begin, 0.0),
            max(now - end, 0.0),
            self.recovering,
        )

    def is_news(self, now: float) -> bool:
        """Return whether all routers should be told of it again."""
        return self.needs_permits or now - self.freed_at < TELL_FREED_SECONDS

    def is_forgotten(self, now: float) -> bool:
        """Return whether nothing of it counts any more."""
        if self.needs_permits:
            return False
        return now - self.belief.ended_at > REMEMBERED_SECONDS

    def is_stuck(self, now: float) -> bool:
        """Return whether its recovery was confirmed by nobody."""
        since = now - self.belief.ended_at
        waits = self.recovering and not self.gives_all
        return waits and since > RECOVERY_LIMIT_SECONDS

    @property
    def gives_all(self) -> bool:
        """Return whether this router gives all permits, and sees all use."""
        return self.bucket is not None and self.bucket.share >= 1.0


def read_sign(item: LimitItem, now: float) -> LimitSign:
    """Return the sign that an item tells of."""
    begin = now - item.begun - TRANSIT_SECONDS
    if item.rate is None:
        # It was certain when it was told: only its own end counts.
        begin = now - item.heard
    return LimitSign(item.rate, begin, now - item.heard)
