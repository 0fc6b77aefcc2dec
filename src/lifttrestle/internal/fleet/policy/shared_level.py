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

"""Decides how much of a workspace's cap one router may still give out.

The load that it answers: one workspace sends several times what it may, over
all routers at once, while the others stay far below their caps. A router
knows what the others gave out up to the moment at which it last heard of
them. From then on it takes each of them to use its share, so that the sum of
all stays within the cap whoever is out of touch, and for how long: the shares
of all routers come to the whole rate. Where all are in touch that is the use
of some hundredths of a second, and any router may give out nearly all.

Shares follow what was seen to be used; what nobody uses is split by the
number of routers.
"""

import dataclasses
import math

from lifttrestle.internal.fleet.policy.other_routers import OtherRouters
from lifttrestle.internal.fleet.policy.recent_use import RecentUse
from lifttrestle.internal.fleet.policy.recent_use import SILENT_SECONDS
from lifttrestle.internal.fleet.policy.recent_use import USE_SECONDS
from lifttrestle.internal.fleet.policy.usage_caps import UsageCap

# Refused callers are told times that lie so far apart at the most: what others
# will use by then is a guess.
MAX_SPREAD_SECONDS = 5.0
# Part of what can be saved up that is enough for a request of any size.
FITTING_SHARE = 0.25
# A refused caller is told no shorter time than this.
MIN_RETRY_SECONDS = 0.05


@dataclasses.dataclass(slots=True)
class GroupUse:
    """What a group is known or taken to use.

    :ivar silent: it counts as out of touch.
    :ivar part: of the rate that it is taken to use while it is silent.
    :ivar unmet: it was never heard of.
    :ivar fell_at: since when it counts as out of touch.
    :ivar assumed: units that were counted for it since it fell silent.
    """

    use: RecentUse = dataclasses.field(default_factory=RecentUse)
    silent: bool = False
    unmet: bool = False
    fell_at: float = 0.0
    part: float = 0.0
    assumed: float = 0.0


class SharedLevel:
    """What is left of one workspace's cap, as one router knows it.

    A request is within the cap if it fits into what is left. One that is
    larger than a part of what can be saved up has to wait for that part only,
    and takes the level below zero: it would never be served otherwise.
    """

    def __init__(
        self, cap: UsageCap, level: float, others: OtherRouters, now: float
    ) -> None:
        self.cap = cap
        self.level = level
        self.others = others
        self.own_use = RecentUse()
        self._groups: dict[str, GroupUse] = {}
        self._at = now
        self._promised_until = now

    def set_cap(self, cap: UsageCap) -> None:
        """Go by another cap; a larger burst has to be saved up first."""
        self.cap = cap
        self.level = min(self.level, cap.capacity)

    def set_others(self, others: OtherRouters) -> None:
        """Go by other groups of routers."""
        self.others = others
        for name in [name for name in self._groups if name not in others]:
            del self._groups[name]

    def set_use(self, name: str, use: float, now: float) -> None:
        """Take over what another router knows of a group's use."""
        self._groups.setdefault(name, GroupUse()).use.set(use, now)

    def get_total_use(self, now: float) -> float:
        """Return the units a second that all routers use."""
        return self.own_use.get(now) + sum(
            group.use.get(now) for group in self._groups.values()
        )

    def find_own_share(self, now: float) -> float:
        """Return the units a second that are this router's."""
        free, scale = self._split(now)
        return (self.own_use.get(now) + free) * scale

    def _split(self, now: float) -> tuple[float, float]:
        """Return the unused rate for each router, and how use is scaled."""
        total = self.get_total_use(now)
        rate = self.cap.rate
        if total <= rate:
            return (rate - total) / (1 + self.others.count), 1.0
        return 0.0, rate / total

    def advance(self, now: float) -> None:
        """Add what time has allowed, less what silent groups may use."""
        seconds = max(now - self._at, 0.0)
        self._at = now
        silent = self.others.list_silent(now)
        self._meet_again(silent, now)
        rate = self.cap.rate
        if self.others.summed:
            rate -= sum(
                group.use.get(now)
                for group in self._groups.values()
                if not group.silent
            )
        fallen = []
        for name in silent:
            group = self._groups.setdefault(name, GroupUse())
            if group.silent:
                group.assumed += seconds * group.part * self.cap.rate
                rate -= group.part * self.cap.rate
            else:
                fallen.append((name, group))
        self.level = min(
            self.level + max(rate, 0.0) * seconds, self.cap.capacity
        )
        for name, group in fallen:
            rate -= self._assume(name, group, rate, now)

    def _meet_again(self, silent: frozenset[str], now: float) -> None:
        """Go by what those tell that were out of touch, and are no more."""
        unused = []
        for name, group in self._groups.items():
            if group.silent and name not in silent:
                self._meet(group, now)
                if not group.assumed and not group.use.get(now):
                    unused.append(name)
        for name in unused:
            # Of a large fleet most routers use nothing of most workspaces.
            del self._groups[name]

    def _meet(self, group: GroupUse, now: float) -> None:
        """Go by what a group tells from now on.

        What was assumed while it was out of touch is not given back: it may
        have been used. One that is first met while this process starts was in
        touch all the time, and what it used is told.
        """
        group.silent = False
        if group.unmet and now - group.fell_at <= SILENT_SECONDS:
            self.level += group.assumed
            group.assumed = 0.0
        group.unmet = False

    def _assume(
        self, name: str, group: GroupUse, rate: float, now: float
    ) -> float:
        """Take a group that fell silent to use its share, and return that.

        :param rate: less the shares of those that fell silent before.
        """
        free, scale = self._split(now)
        routers = self.others.get_routers(name)
        group.silent = True
        group.fell_at = now
        share = (group.use.get(now) + free * routers) * scale
        group.part = share / self.cap.rate
        age = self.others.get_age(name, now)
        group.unmet = math.isinf(age)
        # It may use its part of what all had when it was last heard of, and
        # this router has used of its own part since.
        own = self.own_use.get_last(now)
        saved = min(self.level + own, self.cap.capacity)
        used = 0.0
        if saved < self.cap.capacity and not group.unmet:
            used = group.use.get(now) * scale * SILENT_SECONDS
        part = min(share / rate, 1.0) if rate > 0 else 1.0
        used += max(saved - used, 0.0) * part
        group.assumed += used
        self.level -= used
        return share

    def get_left(self, now: float) -> float:
        """Return what may be given out, less what others may be using."""
        self.advance(now)
        free, scale = self._split(now)
        pending = free * self.others.get_pending(now)
        for name, group in self._groups.items():
            if not group.silent:
                age = self.others.get_age(name, now)
                pending += group.use.get(now) * scale * age
        return self.level - pending

    def find_shortfall(self, units: float, left: float) -> float:
        """Return the units by which a request is over the cap, or zero.

        :param left: as ``get_left`` has just told it.
        """
        # Of a small part a small one is enough.
        part = self._find_refill() / self.cap.rate
        needed = min(units, FITTING_SHARE * self.cap.capacity * part)
        return max(needed - left, 0.0)

    def note_elsewhere(self, name: str, units: float, now: float) -> None:
        """Count what a group has used, unless it was assumed already."""
        self.advance(now)
        group = self._groups.setdefault(name, GroupUse())
        group.use.note(units, now)
        covered = min(group.assumed, units)
        group.assumed -= covered
        self._lower(units - covered)

    def adopt(self, level: float) -> None:
        """Go by what a router tells that has added up for longer."""
        for group in self._groups.values():
            if group.unmet:
                self.level += group.assumed
                group.assumed = 0.0
        self.level = min(self.level, level)

    def get_assumed(self, name: str) -> float:
        """Return the units that were counted for a group without a word."""
        group = self._groups.get(name)
        return group.assumed if group is not None else 0.0

    def take(self, units: float, now: float) -> None:
        """Count units that this router gives out; below zero, gives back."""
        self.advance(now)
        self.own_use.note(units, now)
        self._lower(units)

    def _lower(self, units: float) -> None:
        # What was used longer ago than a few seconds binds nobody.
        floor = -max(self.cap.capacity, USE_SECONDS * self.cap.rate)
        self.level = min(max(self.level - units, floor), self.cap.capacity)

    def find_retry_seconds(
        self, units: float, missing: float, now: float
    ) -> float:
        """Return when a refused caller finds room at routers like this one.

        Callers that are refused one after the other are told times one after
        the other, as this router's share lets them in.

        :param missing: units by which the request is over the cap.
        """
        room = now + missing / max(self._find_refill(), 1e-9)
        begin = max(self._promised_until, room)
        if begin > room + MAX_SPREAD_SECONDS:
            begin = room
        share = max(self.find_own_share(now), 1e-9)
        self._promised_until = begin + units / share
        return max(begin - now, MIN_RETRY_SECONDS)

    def _find_refill(self) -> float:
        """Return the rate, less what silent groups are taken to use."""
        silent = sum(
            group.part for group in self._groups.values() if group.silent
        )
        return self.cap.rate * max(1.0 - silent, 0.0)
