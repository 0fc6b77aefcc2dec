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

"""State that one router keeps of the rate limit of one upstream start."""

import dataclasses
import math

from lifttrestle.internal.fleet.limits.messages import LimitItem
from lifttrestle.internal.fleet.policy.known_limit import KnownLimit
from lifttrestle.internal.fleet.policy.known_limit import LimitObservation
from lifttrestle.internal.fleet.policy.limit_permits import PermitBucket

# Upper bound of a datagram's transit time between two routers. A reported age
# may be too low by this much.
TRANSIT_SECONDS = 0.1
# A recovery that no allocator confirms counts as complete after this time.
RECOVERY_TIMEOUT_SECONDS = 10.0
# How long updates report that a limit has ended and its recovery is complete.
RECOVERED_UPDATE_SECONDS = 4.0
# An ended limit is kept for as long as an answer may still be in flight.
RETENTION_SECONDS = 60.0


@dataclasses.dataclass
class LimitState:
    """Rate limit of one start of an upstream.

    :ivar recovering: the limit has ended, and permits are still needed.
    :ivar recovered_at: when the last recovery was complete, monotonic seconds.
    :ivar bucket: permits that this router grants, None if it is no allocator.
    :ivar confirmed: the primary allocator is known to have the same rate.
    :ivar refused_until: until when requests get no permit, monotonic seconds.
    :ivar refused_rank: lowest rank of the requests that get none.
    """

    start: str
    digest: int
    data_centre: str
    known_limit: KnownLimit = dataclasses.field(default_factory=KnownLimit)
    recovering: bool = False
    recovered_at: float = -math.inf
    bucket: PermitBucket | None = None
    confirmed: bool = False
    refused_until: float = -math.inf
    refused_rank: int = 0

    @property
    def needs_permits(self) -> bool:
        """Return whether requests may be sent with a permit only."""
        return self.known_limit.rate is not None or self.recovering

    @property
    def is_unknown(self) -> bool:
        """Return whether no limit and no end of one was received yet."""
        never = math.isinf(self.known_limit.ended_at)
        return self.known_limit.rate is None and never

    def is_refused(self, rank: int, now: float) -> bool:
        """Return whether a request of this rank is known to be refused now."""
        return rank >= self.refused_rank and now < self.refused_until

    def note_refusal(self, rank: int, until: float) -> None:
        """Record that a request of this rank is refused until a time."""
        self.refused_rank = rank
        self.refused_until = until

    def build_item(self, now: float) -> LimitItem:
        """Return the item that reports this limit to other routers."""
        known_limit = self.known_limit
        begin, end = known_limit.latest.begin, known_limit.latest.end
        if known_limit.rate is None:
            begin = end = known_limit.ended_at
        return LimitItem(
            self.digest,
            known_limit.rate,
            max(now - begin, 0.0),
            max(now - end, 0.0),
            self.recovering,
        )

    def needs_update(self, now: float) -> bool:
        """Return whether periodic updates should include this limit."""
        return (
            self.needs_permits
            or now - self.recovered_at < RECOVERED_UPDATE_SECONDS
        )

    def is_expired(self, now: float) -> bool:
        """Return whether this state can be dropped."""
        if self.needs_permits:
            return False
        return now - self.known_limit.ended_at > RETENTION_SECONDS

    def is_recovery_timed_out(self, now: float) -> bool:
        """Return whether a recovery was not confirmed in time."""
        since = now - self.known_limit.ended_at
        unconfirmed = self.recovering and not self.is_sole_allocator
        return unconfirmed and since > RECOVERY_TIMEOUT_SECONDS

    @property
    def is_sole_allocator(self) -> bool:
        """Return whether this router grants all permits, and sees all use."""
        return self.bucket is not None and self.bucket.share >= 1.0


def read_item(item: LimitItem, now: float) -> LimitObservation:
    """Return the observation that an item reports."""
    begin = now - item.begin_age - TRANSIT_SECONDS
    if item.rate is None:
        # The sender was certain of the end: no transit time is deducted.
        begin = now - item.receipt_age
    return LimitObservation(item.rate, begin, now - item.receipt_age)
