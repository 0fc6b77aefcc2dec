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

"""Decides which requests an upstream in need is sent, one after the other.

The load that it answers: an upstream takes one request a second, or one in
ten, from hundreds of routers that have as many for it. A share for each would
be one request in minutes, and what others may do until they are heard again
would be more than the whole. One router gives out permits, each for one send;
sums hold then however many routers there are.
"""

import math

from lifttrestle.internal.fleet.policy.recent_use import RecentUse

# What may be saved up beside one request: another one at the router that gives
# the whole limit, and what it allows in this time. A request that comes a
# little late then finds its permit.
SAVED_SECONDS = 0.25
# An upstream that takes nothing gets one request in ten seconds all the same:
# only an answer can tell that it takes more again.
MIN_RATE = 0.1
# What an upstream gets grows so much a second after its limit has ended or
# risen. All that was held back at once would bring it into need again.
GROWTH = 2.0
# It is given back from this many requests a second on.
MIN_GROWTH_RATE = 1.0
# A limit that has ended is forgotten after this, or sooner if nobody was
# refused for longer than the refused are told to wait: what comes by itself is
# then what the routers have for it.
RECOVERY_SECONDS = 8.0
CALM_SECONDS = 4.0
# What is refused to those that have no other upstream is kept for them for
# this long at the most, before others get it.
KEPT_SECONDS = 2.0
# Refused routers are told times that lie apart by so much at the most.
MAX_SPREAD_SECONDS = 2.0
MIN_WAIT_SECONDS = 0.02
# Ranks of requests below this are of those that have no other upstream.
FIRST_FLEXIBLE_RANK = 10
# Second sends come after all others.
FIRST_REPEAT_RANK = 20


def rank_request(urgency: int, *, has_others: bool, repeated: bool) -> int:
    """Return the rank of a request among those that want a permit.

    Those that no other upstream can take come first, repeats last, the more
    urgent ones first among each.

    :param urgency: from 0, the most urgent, to 9.
    """
    if repeated:
        return FIRST_REPEAT_RANK + urgency
    return urgency + (FIRST_FLEXIBLE_RANK if has_others else 0)


class PermitBucket:
    """Permits to send to one start of an upstream.

    :ivar rate: what the upstream takes a second, None after its limit ended.
    :ivar share: of the limit that this router gives out.
    :ivar use: permits that it gave lately.
    """

    def __init__(self, rate: float | None, share: float, now: float) -> None:
        self.rate = rate
        self.share = share
        self.use = RecentUse()
        # What was sent before anybody knew was the upstream's for now.
        self._level = 0.0
        self._at = now
        # Of a limit that has ended nobody can tell how far it was given back.
        self._grown_from = MIN_GROWTH_RATE if rate is None else math.inf
        self._grown_at = now
        self._refused_at = -math.inf
        self._kept: dict[int, float] = {}
        self._promised_until = now

    def set_share(self, share: float, now: float) -> None:
        """Give out another part of the limit."""
        self._advance(now)
        self.share = share

    def set_rate(self, rate: float | None, now: float) -> None:
        """Go by another limit, or by none; more is given in steps."""
        self._advance(now)
        before = self.get_rate(now)
        self._grown_from = max(before, MIN_GROWTH_RATE)
        self._grown_at = now
        self.rate = rate
        self._promised_until = now
        if rate is None:
            # Nobody has been refused anything of what is given from now on.
            self._refused_at = -math.inf

    def get_rate(self, now: float) -> float:
        """Return the requests a second that all routers may send now."""
        rate = math.inf if self.rate is None else self.rate
        if math.isfinite(self._grown_from):
            grown = GROWTH ** min(now - self._grown_at, 100.0)
            rate = min(rate, self._grown_from * grown)
        return max(rate, MIN_RATE)

    def has_recovered(self, now: float) -> bool:
        """Return whether a limit has ended and all is given back."""
        if self.rate is not None:
            return False
        passed = now - self._grown_at
        calm = now - max(self._refused_at, self._grown_at)
        return passed >= RECOVERY_SECONDS or calm >= CALM_SECONDS

    def take(self, rank: int, now: float) -> float:
        """Return zero for a permit, or the seconds after which to ask again.

        :param rank: of the request, as ``rank_request`` tells it.
        """
        self._advance(now)
        if self._level >= 1.0 and not self._is_kept(rank, now):
            self._level -= 1.0
            self._kept.pop(rank, None)
            self.use.note(1.0, now)
            return 0.0
        self._refused_at = now
        if rank < FIRST_FLEXIBLE_RANK:
            self._kept[rank] = now
        return self._find_wait(now)

    def _advance(self, now: float) -> None:
        seconds = max(now - self._at, 0.0)
        self._at = now
        rate = self._get_own_rate(now)
        most = 1.0 + self.share + SAVED_SECONDS * rate
        self._level = min(self._level + rate * seconds, most)

    def _get_own_rate(self, now: float) -> float:
        return self.get_rate(now) * self.share

    def _is_kept(self, rank: int, now: float) -> bool:
        """Return whether the next permit is for a more important request."""
        since = now - min(KEPT_SECONDS, 2.0 / self._get_own_rate(now))
        self._kept = {
            kept: at for kept, at in self._kept.items() if at >= since
        }
        return any(kept < rank for kept in self._kept)

    def _find_wait(self, now: float) -> float:
        """Return when there is a permit; each that asks is told a later one.

        Routers that were told the same time would all ask at it.
        """
        rate = self._get_own_rate(now)
        room = now + max(1.0 - self._level, 0.0) / rate
        begin = max(self._promised_until, room)
        if begin > room + MAX_SPREAD_SECONDS:
            begin = room
        self._promised_until = begin + 1.0 / rate
        return max(begin - now, MIN_WAIT_SECONDS)
