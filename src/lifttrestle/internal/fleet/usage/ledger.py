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

"""The remaining usage caps of workspaces, from the view of one router.

In a small fleet, all routers exchange their usage and each one aggregates it.
In a large fleet, one router of each data centre is the aggregator; the others
adopt the levels that it reports and subtract their own usage since then.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import math

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.other_routers import OtherRouters
from lifttrestle.internal.fleet.policy.recent_use import SILENT_SECONDS
from lifttrestle.internal.fleet.policy.shared_level import SharedLevel
from lifttrestle.internal.fleet.policy.usage_caps import UsageCap
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.fleet.usage.counts import UsageCounts

# Group key of all routers but this one, whose usage the aggregator reports.
OTHER_ROUTERS = ''
# Limit on the levels in memory. The least recently used one is evicted; a new
# level is created when its workspace is used again.
MAX_LEVELS = 10_000
# For this long a level from the aggregator is used without a new query.
FRESH_LEVEL_SECONDS = 0.25
# The same for a level that may not suffice for any request until then. What
# the others have used since the answer is an estimate; a query tells.
FRESH_LOW_LEVEL_SECONDS = 0.03


@dataclasses.dataclass(frozen=True)
class UsageDecision:
    """An admission decision with the values it was based on, for the log.

    :ivar units: units that the request needs.
    :ivar remaining: remaining units, negative if the cap was exceeded.
    :ivar use: units per second used at all routers.
    :ivar share: units per second of these that this router may use.
    :ivar silent: number of groups of routers without recent messages.
    :ivar refill_share: share of the rate that silent groups leave, here or at
        the router that reports the level.
    :ivar retry_seconds: delay after which a refused caller may retry, None if
        the request was admitted.
    """

    units: float
    remaining: float
    use: float
    share: float
    cap: UsageCap
    silent: int
    refill_share: float
    retry_seconds: float | None


class UsageLedger:
    """Tracks the levels of the workspaces that have a cap and are in use.

    :param get_caps: returns the caps in force by digest of the workspace.
    :ivar counts: usage at this router.
    :ivar uses_aggregator: whether another router aggregates for this one.
    """

    def __init__(
        self,
        clock: Clock,
        promises: Promises,
        get_caps: Callable[[], Mapping[int, UsageCap]],
    ) -> None:
        self.promises = promises
        self._clock = clock
        self._get_caps = get_caps
        self._others = OtherRouters()
        self._aggregated = OtherRouters(reports_level=True)
        self._levels: dict[int, SharedLevel] = {}
        self._received_at: dict[int, float] = {}
        # Monotonic time since which this router aggregates by itself.
        self._aggregating_since = clock.monotonic()
        self.counts = UsageCounts()
        self.uses_aggregator = False

    @property
    def in_use(self) -> bool:
        """Return whether any workspace with a cap has been used."""
        return bool(self._levels)

    @property
    def is_synced(self) -> bool:
        """Return whether all reachable routers have had time to report.

        It is False while another router aggregates for this one.
        """
        elapsed = self._clock.monotonic() - self._aggregating_since
        return not self.uses_aggregator and elapsed > SILENT_SECONDS

    def use_groups(self, groups: Mapping[str, int]) -> None:
        """Aggregate the reports of other groups of routers.

        :param groups: number of routers by name of the group.
        """
        now = self._clock.monotonic()
        if self.uses_aggregator:
            self._aggregating_since = now
        # While this process starts, a group that has not reported may be
        # unreachable.
        starting = not self.uses_aggregator and not self.is_synced
        self._others.set_groups(groups, -math.inf if starting else now)
        self.uses_aggregator = False
        for level in self._levels.values():
            level.set_others(self._others)

    def use_aggregator(self, routers: int) -> None:
        """Use the levels that the aggregator reports.

        :param routers: number of live routers, this one included.
        """
        self._aggregated.set_groups(
            {OTHER_ROUTERS: max(routers - 1, 0)}, -math.inf
        )
        self.uses_aggregator = True
        for level in self._levels.values():
            level.set_others(self._aggregated)

    def note_aggregator_answer(self) -> None:
        """Record an answer of the aggregator."""
        self._aggregated.note_report(OTHER_ROUTERS, self._clock.monotonic())

    def note_report(self, group: str) -> None:
        """Record a report of the recent usage of a group."""
        self._others.note_report(group, self._clock.monotonic())

    def find_level(self, workspace: Workspace) -> SharedLevel | None:
        """Return the level of a workspace, None if it has no cap."""
        if workspace.cap is None:
            return None
        return self._get_or_create_level(workspace.digest, workspace.cap)

    def get_level(self, workspace: int) -> SharedLevel | None:
        """Return the level for the digest of a workspace, None without cap."""
        cap = self._get_caps().get(workspace)
        return (
            None if cap is None else self._get_or_create_level(workspace, cap)
        )

    def _get_or_create_level(self, digest: int, cap: UsageCap) -> SharedLevel:
        level = self._levels.pop(digest, None)
        if level is None:
            level = self._create_level(digest, cap)
        elif level.cap != cap:
            level.set_cap(cap)
        # In order of use, the most recent last.
        self._levels[digest] = level
        return level

    def _create_level(self, digest: int, cap: UsageCap) -> SharedLevel:
        if len(self._levels) >= MAX_LEVELS:
            oldest = next(iter(self._levels))
            del self._levels[oldest]
            self._received_at.pop(oldest, None)
        others = self._aggregated if self.uses_aggregator else self._others
        aggregates = not self.uses_aggregator and self._others.has_sums
        level = cap.get_start_level(self.promises, aggregates=aggregates)
        if self.is_synced:
            # Recent usage elsewhere would have been reported.
            level = cap.capacity
        return SharedLevel(cap, level, others, self._clock.monotonic())

    def request_level(self, workspace: Workspace) -> None:
        """Include a workspace in the next query to the aggregator."""
        if self.find_level(workspace) is not None:
            self.counts.touch(workspace.digest, self._clock.monotonic())

    def is_level_fresh(self, workspace: Workspace) -> bool:
        """Return whether a workspace's level is usable without a query."""
        if not self.uses_aggregator or workspace.cap is None:
            return True
        received_at = self._received_at.get(workspace.digest, -math.inf)
        age = self._clock.monotonic() - received_at
        level = self._levels.get(workspace.digest)
        if level is not None and level.is_ample(FRESH_LEVEL_SECONDS):
            return age < FRESH_LEVEL_SECONDS
        return age < FRESH_LOW_LEVEL_SECONDS

    def apply_aggregate(
        self,
        workspace: int,
        level: float,
        included: float,
        use: float,
        refill_share: float,
    ) -> None:
        """Update a level from an answer of the aggregator.

        :param workspace: digest of the workspace.
        :param level: remaining units.
        :param included: units of this router's own count that the level
            already accounts for.
        :param use: units per second used at all routers.
        :param refill_share: share of the rate that silent routers leave.
        """
        shared = self.get_level(workspace)
        if shared is None:
            return
        now = self._clock.monotonic()
        count = self.counts.get(workspace)
        own = count.net if count is not None else 0.0
        shared.advance(now)
        shared.level = level - max(own - included, 0.0)
        shared.set_refill_share(refill_share)
        shared.set_use(
            OTHER_ROUTERS, max(use - shared.own_use.get(now), 0.0), now
        )
        self._received_at[workspace] = now

    def adopt(self, workspace: int, level: float) -> None:
        """Adopt the level of another router while this process starts."""
        shared = self.get_level(workspace)
        if shared is None or self.uses_aggregator:
            return
        if not self.is_synced:
            shared.adopt(level)

    def note_group_use(
        self, workspace: int, group: str, units: float | None, reported: float
    ) -> None:
        """Count the usage of another group.

        :param workspace: digest of the workspace.
        :param units: units since the last report, None if that is unknown.
        :param reported: total of the reported count.
        """
        shared = self.get_level(workspace)
        if shared is None or group not in shared.others:
            return
        if units is None:
            shared.advance(self._clock.monotonic())
            units = min(reported, shared.get_assumed(group))
        if units:
            shared.note_group_use(group, units, self._clock.monotonic())

    def admit(
        self, workspace: Workspace, units: float
    ) -> UsageDecision | None:
        """Charge a request if the cap permits it.

        :returns: the decision, None for a workspace without a cap.
        """
        level = self.find_level(workspace)
        if level is None:
            return None
        now = self._clock.monotonic()
        remaining = level.get_remaining(now)
        shortfall = level.find_shortfall(units, remaining)
        decision = UsageDecision(
            units=units,
            remaining=remaining,
            use=level.get_total_use(now),
            share=level.find_own_share(now),
            cap=level.cap,
            silent=len(level.others.list_silent(now)),
            refill_share=level.find_refill_share(),
            retry_seconds=level.find_retry_seconds(units, shortfall, now)
            if shortfall > 0
            else None,
        )
        if decision.retry_seconds is None:
            self._charge(workspace, level, units, now)
        return decision

    def take(self, workspace: Workspace, units: float) -> None:
        """Charge units without admission; negative units are returned."""
        level = self.find_level(workspace)
        if level is not None:
            self._charge(workspace, level, units, self._clock.monotonic())

    def _charge(
        self,
        workspace: Workspace,
        level: SharedLevel,
        units: float,
        now: float,
    ) -> None:
        level.take(units, now)
        self.counts.add(workspace.digest, units, now)
