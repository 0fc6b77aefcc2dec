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

"""Token bucket of permits to send requests to a rate-limited upstream.

An upstream may accept one request per second, or one in ten seconds, from
hundreds of routers. A static share per router would be one request in several
minutes, and what the other routers may send between two updates would exceed
the whole limit. One router therefore grants permits, each for one request,
which bounds the total for any number of routers.
"""

import math

from lifttrestle.internal.fleet.policy.recent_use import RecentUse

# The bucket holds one request, a second one at the router that grants the
# whole limit, and the refill of this time, so that a request that arrives a
# little late still finds its permit.
BURST_SECONDS = 0.25
# An upstream with a limit of zero still gets one request in ten seconds, as
# only an answer can report a higher limit.
MIN_RATE = 0.1
# Growth factor per second of the permitted rate after a limit was removed or
# raised. Releasing the whole backlog at once would overload the upstream
# again.
GROWTH_PER_SECOND = 2.0
# Growth starts at this rate at least, in requests per second.
MIN_GROWTH_RATE = 1.0
# A removed limit is discarded after this time, or sooner if no request was
# refused for longer than the retry time of refused requests: the demand of the
# routers is then below the permitted rate.
RECOVERY_SECONDS = 8.0
NO_REFUSAL_SECONDS = 4.0
# Maximum time for which a permit is reserved for a refused request that has no
# other upstream.
RESERVATION_SECONDS = 2.0
# Retry times of refused routers are spread over this time at most.
MAX_SPREAD_SECONDS = 2.0
MIN_WAIT_SECONDS = 0.02
# Requests that another upstream can serve have this rank or a higher one.
FIRST_FLEXIBLE_RANK = 10
# Retries have this rank or a higher one, and come after all others.
FIRST_RETRY_RANK = 20


def rank_request(urgency: int, *, has_others: bool, repeated: bool) -> int:
    """Return the rank of a request among those waiting for a permit.

    Requests that no other upstream can serve come first and retries last;
    within each group, more urgent requests come first.

    :param urgency: from 0, the most urgent, to 9.
    :param has_others: another upstream can serve the request.
    :param repeated: the request was sent before.
    """
    if repeated:
        return FIRST_RETRY_RANK + urgency
    return urgency + (FIRST_FLEXIBLE_RANK if has_others else 0)


class PermitBucket:
    """Token bucket of permits for one start of an upstream.

    :ivar rate: limit in requests per second, None after it was removed.
    :ivar share: fraction of the limit that this router grants.
    :ivar use: recently granted permits.
    """

    def __init__(self, rate: float | None, share: float, now: float) -> None:
        self.rate = rate
        self.share = share
        self.use = RecentUse()
        # Empty, as requests were sent before the limit was known.
        self._level = 0.0
        self._at = now
        # Without a limit, it is unknown how far the rate has grown since the
        # removal, so growth starts again.
        self._growth_start_rate = MIN_GROWTH_RATE if rate is None else math.inf
        self._growth_started_at = now
        self._refused_at = -math.inf
        self._reserved: dict[int, float] = {}
        self._next_retry_at = now

    def set_share(self, share: float, now: float) -> None:
        """Set the fraction of the limit that this router grants."""
        self._advance(now)
        self.share = share

    def set_rate(self, rate: float | None, now: float) -> None:
        """Set or remove the limit; a higher rate is approached gradually."""
        self._advance(now)
        before = self.get_rate(now)
        self._growth_start_rate = max(before, MIN_GROWTH_RATE)
        self._growth_started_at = now
        self.rate = rate
        self._next_retry_at = now
        if rate is None:
            # Refusals under the old limit do not count.
            self._refused_at = -math.inf

    def get_rate(self, now: float) -> float:
        """Return the permitted rate of all routers, in requests per second."""
        rate = math.inf if self.rate is None else self.rate
        if math.isfinite(self._growth_start_rate):
            grown = GROWTH_PER_SECOND ** min(
                now - self._growth_started_at, 100.0
            )
            rate = min(rate, self._growth_start_rate * grown)
        return max(rate, MIN_RATE)

    def has_recovered(self, now: float) -> bool:
        """Return whether the limit was removed and the rate has recovered."""
        if self.rate is not None:
            return False
        passed = now - self._growth_started_at
        since_refusal = now - max(self._refused_at, self._growth_started_at)
        return (
            passed >= RECOVERY_SECONDS or since_refusal >= NO_REFUSAL_SECONDS
        )

    def take(self, rank: int, now: float) -> float:
        """Return zero for a permit, or the seconds after which to retry.

        :param rank: of the request, as returned by ``rank_request``.
        """
        self._advance(now)
        if self._level >= 1.0 and not self._is_reserved(rank, now):
            self._level -= 1.0
            self._reserved.pop(rank, None)
            self.use.note(1.0, now)
            return 0.0
        self._refused_at = now
        if rank < FIRST_FLEXIBLE_RANK:
            self._reserved[rank] = now
        return self._schedule_retry(now)

    def _advance(self, now: float) -> None:
        seconds = max(now - self._at, 0.0)
        self._at = now
        rate = self._get_own_rate(now)
        capacity = 1.0 + self.share + BURST_SECONDS * rate
        self._level = min(self._level + rate * seconds, capacity)

    def _get_own_rate(self, now: float) -> float:
        return self.get_rate(now) * self.share

    def _is_reserved(self, rank: int, now: float) -> bool:
        """Return whether a more important request has the next permit."""
        since = now - min(RESERVATION_SECONDS, 2.0 / self._get_own_rate(now))
        self._reserved = {
            other: at for other, at in self._reserved.items() if at >= since
        }
        return any(other < rank for other in self._reserved)

    def _schedule_retry(self, now: float) -> float:
        """Return the seconds until a permit is expected.

        Each call returns a later time, as routers with the same retry time
        would all ask at once.
        """
        rate = self._get_own_rate(now)
        available_at = now + max(1.0 - self._level, 0.0) / rate
        retry_at = max(self._next_retry_at, available_at)
        if retry_at > available_at + MAX_SPREAD_SECONDS:
            retry_at = available_at
        self._next_retry_at = retry_at + 1.0 / rate
        return max(retry_at - now, MIN_WAIT_SECONDS)
