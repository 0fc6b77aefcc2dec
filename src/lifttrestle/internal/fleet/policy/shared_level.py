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

"""Decides how much of the cap of a workspace one router may still use.

A workspace may send several times its cap through all routers at once, while
the others stay far below their caps. A router knows the usage of each other
router up to its last report, and assumes from then on that it uses its share.
The shares of all routers add up to the rate of the cap, so the total stays
within the cap whichever routers are unreachable, and for however long. While
all routers are in contact, only the usage of some hundredths of a second is
assumed, and any router may use nearly the whole cap.

Shares follow the observed usage; the unused rate is divided equally among the
routers.
"""

import math

from lifttrestle.internal.fleet.policy.group_use import GroupUse
from lifttrestle.internal.fleet.policy.other_routers import OtherRouters
from lifttrestle.internal.fleet.policy.recent_use import AVERAGING_SECONDS
from lifttrestle.internal.fleet.policy.recent_use import RecentUse
from lifttrestle.internal.fleet.policy.recent_use import SILENT_SECONDS
from lifttrestle.internal.fleet.policy.usage_caps import UsageCap

# Retry times of refused callers are spread over this time at most, as the
# usage of other routers by then can only be estimated.
MAX_SPREAD_SECONDS = 5.0
# A request of any size is within the cap if this fraction of the capacity is
# available.
SUFFICIENT_SHARE = 0.25
# Minimum retry time of a refused caller.
MIN_RETRY_SECONDS = 0.05


class SharedLevel:
    """Token bucket for the cap of one workspace, as one router knows it.

    A request is within the cap if its units are available. A request larger
    than ``SUFFICIENT_SHARE`` of the capacity needs only that share and takes
    the level below zero, as it might never be served otherwise.

    :ivar level: available units, negative after a large request.
    """

    def __init__(
        self, cap: UsageCap, level: float, others: OtherRouters, now: float
    ) -> None:
        self.cap = cap
        self.level = level
        self.others = others
        self.own_use = RecentUse()
        self._groups: dict[str, GroupUse] = {}
        self._reported_refill_share = 1.0
        self._at = now
        self._next_retry_at = now

    def set_cap(self, cap: UsageCap) -> None:
        """Replace the cap; a larger burst has to accumulate first."""
        self.cap = cap
        self.level = min(self.level, cap.capacity)

    def set_others(self, others: OtherRouters) -> None:
        """Replace the groups of other routers."""
        self.others = others
        self._reported_refill_share = 1.0
        for name in [name for name in self._groups if name not in others]:
            del self._groups[name]

    def set_refill_share(self, share: float) -> None:
        """Set the share of the refill that another router determined."""
        self._reported_refill_share = share

    def set_use(self, name: str, use: float, now: float) -> None:
        """Set the average usage of a group as known by another router."""
        self._groups.setdefault(name, GroupUse()).use.set(use, now)

    def get_total_use(self, now: float) -> float:
        """Return the usage of all routers in units per second."""
        return self.own_use.get(now) + sum(
            group.use.get(now) for group in self._groups.values()
        )

    def find_own_share(self, now: float) -> float:
        """Return the share of this router in units per second."""
        unused_rate, scale = self._divide_rate(now)
        return (self.own_use.get(now) + unused_rate) * scale

    def _divide_rate(self, now: float) -> tuple[float, float]:
        """Return the unused rate per router, and the factor for the usage.

        The factor is below one if the usage of all routers exceeds the rate.
        """
        total = self.get_total_use(now)
        rate = self.cap.rate
        if total <= rate:
            return (rate - total) / (1 + self.others.count), 1.0
        return 0.0, rate / total

    def advance(self, now: float) -> None:
        """Refill the bucket, less the assumed usage of silent groups."""
        seconds = max(now - self._at, 0.0)
        self._at = now
        silent = self.others.list_silent(now)
        self._resume_groups(silent, now)
        rate = self.cap.rate
        if self.others.reports_level:
            rate -= sum(
                group.use.get(now)
                for group in self._groups.values()
                if not group.silent
            )
        newly_silent = []
        for name in silent:
            group = self._groups.setdefault(name, GroupUse())
            if group.silent:
                group.assumed_units += (
                    seconds * group.assumed_share * self.cap.rate
                )
                rate -= group.assumed_share * self.cap.rate
            else:
                newly_silent.append((name, group))
        self.level = min(
            self.level + max(rate, 0.0) * seconds, self.cap.capacity
        )
        for name, group in newly_silent:
            rate -= self._assume_use(name, group, rate, now)

    def _resume_groups(self, silent: frozenset[str], now: float) -> None:
        """Resume the groups that were silent and report again."""
        unused = []
        for name, group in self._groups.items():
            if group.silent and name not in silent:
                self._resume(group, now)
                if not group.assumed_units and not group.use.get(now):
                    unused.append(name)
        for name in unused:
            # In a large fleet, most routers do not serve most workspaces.
            del self._groups[name]

    def _resume(self, group: GroupUse, now: float) -> None:
        """Use the reports of a group again.

        Units charged while it was silent are not returned, as they may have
        been used. A group whose first report arrives while this process starts
        was never out of contact and reports its usage, so its units are
        returned.
        """
        group.silent = False
        if group.never_reported and now - group.silent_since <= SILENT_SECONDS:
            self.level += group.assumed_units
            group.assumed_units = 0.0
        group.never_reported = False

    def _assume_use(
        self, name: str, group: GroupUse, rate: float, now: float
    ) -> float:
        """Assume that a silent group uses its share; return the share.

        :param rate: rate of the cap less the shares of groups that became
            silent before.
        :returns: the share in units per second.
        """
        unused_rate, scale = self._divide_rate(now)
        routers = self.others.get_router_count(name)
        group.silent = True
        group.silent_since = now
        share = (group.use.get(now) + unused_rate * routers) * scale
        group.assumed_share = share / self.cap.rate
        age = self.others.get_age(name, now)
        group.never_reported = math.isinf(age)
        # The group may use its share of the level at the time of its last
        # report, of which this router has used its own share since.
        own = self.own_use.get_unaveraged(now)
        accumulated = min(self.level + own, self.cap.capacity)
        used = 0.0
        if accumulated < self.cap.capacity and not group.never_reported:
            used = group.use.get(now) * scale * SILENT_SECONDS
        portion = min(share / rate, 1.0) if rate > 0 else 1.0
        used += max(accumulated - used, 0.0) * portion
        group.assumed_units += used
        self.level -= used
        return share

    def get_remaining(self, now: float) -> float:
        """Return the available units, less unreported usage of others."""
        self.advance(now)
        unused_rate, scale = self._divide_rate(now)
        pending = unused_rate * self.others.get_unreported_seconds(now)
        for name, group in self._groups.items():
            if not group.silent:
                age = self.others.get_age(name, now)
                pending += group.use.get(now) * scale * age
        return self.level - pending

    def is_ample(self, seconds: float) -> bool:
        """Return whether a request of any size fits for some time.

        :param seconds: how long, if the others use the whole rate meanwhile.
        """
        capacity = self.cap.capacity
        needed = SUFFICIENT_SHARE * capacity + seconds * self.cap.rate
        return self.level >= min(needed, capacity)

    def find_shortfall(self, units: float, remaining: float) -> float:
        """Return the units by which a request exceeds the cap, or zero.

        :param units: units of the request.
        :param remaining: current result of ``get_remaining``.
        """
        # If silent groups reduce the refill, less is sufficient.
        needed = min(
            units,
            SUFFICIENT_SHARE * self.cap.capacity * self.find_refill_share(),
        )
        return max(needed - remaining, 0.0)

    def note_group_use(self, name: str, units: float, now: float) -> None:
        """Record usage of a group, less the units charged for it already."""
        self.advance(now)
        group = self._groups.setdefault(name, GroupUse())
        group.use.note(units, now)
        covered = min(group.assumed_units, units)
        group.assumed_units -= covered
        self._consume(units - covered)

    def adopt(self, level: float) -> None:
        """Adopt the level of a router that has run for longer, if lower."""
        for group in self._groups.values():
            if group.never_reported:
                self.level += group.assumed_units
                group.assumed_units = 0.0
        self.level = min(self.level, level)

    def get_assumed(self, name: str) -> float:
        """Return the units charged for a group that it has not reported."""
        group = self._groups.get(name)
        return group.assumed_units if group is not None else 0.0

    def take(self, units: float, now: float) -> None:
        """Use units of this router; a negative number returns units."""
        self.advance(now)
        self.own_use.note(units, now)
        self._consume(units)

    def _consume(self, units: float) -> None:
        # Usage from more than a few seconds ago does not count.
        floor = -max(self.cap.capacity, AVERAGING_SECONDS * self.cap.rate)
        self.level = min(max(self.level - units, floor), self.cap.capacity)

    def find_retry_seconds(
        self, units: float, shortfall: float, now: float
    ) -> float:
        """Return the seconds after which a refused caller should retry.

        Consecutive refused callers get consecutive times, spaced by the share
        of this router.

        :param units: units of the request.
        :param shortfall: units by which the request exceeds the cap.
        """
        refill = self.cap.rate * self.find_refill_share()
        available_at = now + shortfall / max(refill, 1e-9)
        retry_at = max(self._next_retry_at, available_at)
        if retry_at > available_at + MAX_SPREAD_SECONDS:
            retry_at = available_at
        share = max(self.find_own_share(now), 1e-9)
        self._next_retry_at = retry_at + units / share
        return max(retry_at - now, MIN_RETRY_SECONDS)

    def find_refill_share(self) -> float:
        """Return the share of the rate that silent groups leave.

        It includes the groups that are silent for the router that reports the
        level.
        """
        silent = sum(
            group.assumed_share
            for group in self._groups.values()
            if group.silent
        )
        return self._reported_refill_share * max(1.0 - silent, 0.0)
