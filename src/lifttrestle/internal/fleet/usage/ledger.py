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

"""What every workspace has left of its cap, as one router knows it.

Where each router tells all others, each adds up by itself. In a large fleet
one router of each data centre adds up; the others take over the levels that
it tells them, and count their own use since.
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

# All routers but this one, of which another router tells.
FLEET = ''
# Levels that are held. A workspace that is not asked for yields first, and
# its level begins anew.
MAX_LEVELS = 10_000
# A level that was told within this time needs no question.
KNOWN_SECONDS = 0.25


@dataclasses.dataclass(frozen=True)
class UsageDecision:
    """What decided whether a workspace may use more; for the log.

    :ivar left: units, below zero if more was used than the cap allows.
    :ivar use: units a second of all routers.
    :ivar share: units a second of them that are this router's.
    :ivar silent: groups of routers that are out of touch.
    :ivar retry_seconds: after which a refused caller may come back, None if
        it was admitted.
    """

    units: float
    left: float
    use: float
    share: float
    cap: UsageCap
    silent: int
    retry_seconds: float | None


class UsageLedger:
    """Levels of all workspaces that have a cap and were asked for.

    :param get_caps: returns the caps in force by digest of the workspace.
    :ivar counts: what this router gave out.
    :ivar uses_aggregator: another router adds up for this one.
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
        self._sum = OtherRouters(summed=True)
        self._levels: dict[int, SharedLevel] = {}
        self._known_at: dict[int, float] = {}
        # Since when this router adds up by itself.
        self._adding_since = clock.monotonic()
        self.counts = UsageCounts()
        self.uses_aggregator = False

    @property
    def in_use(self) -> bool:
        """Return whether any workspace has a cap and was asked for."""
        return bool(self._levels)

    @property
    def is_synced(self) -> bool:
        """Return whether others had the time to tell of themselves."""
        adding = self._clock.monotonic() - self._adding_since
        return not self.uses_aggregator and adding > SILENT_SECONDS

    def use_groups(self, groups: Mapping[str, int]) -> None:
        """Add up what other groups of routers tell."""
        now = self._clock.monotonic()
        if self.uses_aggregator:
            self._adding_since = now
        # While a process starts, who was not heard of may be out of touch.
        starting = not self.uses_aggregator and not self.is_synced
        self._others.set_groups(groups, -math.inf if starting else now)
        self.uses_aggregator = False
        for level in self._levels.values():
            level.set_others(self._others)

    def use_aggregator(self, routers: int) -> None:
        """Take over what one router tells of all others.

        :param routers: all live ones.
        """
        self._sum.set_groups({FLEET: max(routers - 1, 0)}, -math.inf)
        self.uses_aggregator = True
        for level in self._levels.values():
            level.set_others(self._sum)

    def note_aggregator_heard(self) -> None:
        """Note that the router has answered that adds up for this one."""
        self._sum.note_heard(FLEET, self._clock.monotonic())

    def note_heard(self, group: str) -> None:
        """Note that a group has told all that it used lately."""
        self._others.note_heard(group, self._clock.monotonic())

    def find_level(self, workspace: Workspace) -> SharedLevel | None:
        """Return the level of a workspace, None if it has no cap."""
        if workspace.cap is None:
            return None
        return self._hold(workspace.digest, workspace.cap)

    def get_level(self, workspace: int) -> SharedLevel | None:
        """Return a level by the digest of its workspace."""
        cap = self._get_caps().get(workspace)
        return None if cap is None else self._hold(workspace, cap)

    def _hold(self, digest: int, cap: UsageCap) -> SharedLevel:
        level = self._levels.pop(digest, None)
        if level is None:
            level = self._make_level(digest, cap)
        elif level.cap != cap:
            level.set_cap(cap)
        # The one that was asked for last stands last.
        self._levels[digest] = level
        return level

    def _make_level(self, digest: int, cap: UsageCap) -> SharedLevel:
        if len(self._levels) >= MAX_LEVELS:
            oldest = next(iter(self._levels))
            del self._levels[oldest]
            self._known_at.pop(oldest, None)
        others = self._sum if self.uses_aggregator else self._others
        level = cap.get_start_level(self.promises)
        if self.is_synced:
            # Somebody would have told of it if it had been used lately.
            level = cap.capacity
        return SharedLevel(cap, level, others, self._clock.monotonic())

    def request_level(self, workspace: Workspace) -> None:
        """Have the next question ask for a workspace's level."""
        if self.find_level(workspace) is not None:
            self.counts.touch(workspace.digest, self._clock.monotonic())

    def is_level_fresh(self, workspace: Workspace) -> bool:
        """Return whether a workspace's level needs no question."""
        if not self.uses_aggregator or workspace.cap is None:
            return True
        known_at = self._known_at.get(workspace.digest, -math.inf)
        return self._clock.monotonic() - known_at < KNOWN_SECONDS

    def apply_aggregate(
        self, workspace: int, level: float, included: float, use: float
    ) -> None:
        """Believe what the router says that adds up for this one.

        :param included: of this router's own count, what is in the level.
        """
        held = self.get_level(workspace)
        if held is None:
            return
        now = self._clock.monotonic()
        count = self.counts.get(workspace)
        own = count.net if count is not None else 0.0
        held.advance(now)
        held.level = level - max(own - included, 0.0)
        held.set_use(FLEET, max(use - held.own_use.get(now), 0.0), now)
        self._known_at[workspace] = now

    def adopt(self, workspace: int, level: float) -> None:
        """Begin from what others know, while this process is new."""
        held = self.get_level(workspace)
        if held is None or self.uses_aggregator:
            return
        if not self.is_synced:
            held.adopt(level)

    def note_elsewhere(
        self, workspace: int, group: str, units: float | None, told: float
    ) -> None:
        """Count what a group used.

        :param units: what is new, None if that is not known.
        :param told: all that the group tells.
        """
        held = self.get_level(workspace)
        if held is None or group not in held.others:
            return
        if units is None:
            held.advance(self._clock.monotonic())
            units = min(told, held.get_assumed(group))
        if units:
            held.note_elsewhere(group, units, self._clock.monotonic())

    def admit(
        self, workspace: Workspace, units: float
    ) -> UsageDecision | None:
        """Take units for a request if something is left; return what decided.

        Nothing is returned for a workspace without a cap.
        """
        level = self.find_level(workspace)
        if level is None:
            return None
        now = self._clock.monotonic()
        left = level.get_left(now)
        missing = level.find_missing(units, left)
        facts = UsageDecision(
            units=units,
            left=left,
            use=level.get_total_use(now),
            share=level.find_own_share(now),
            cap=level.cap,
            silent=len(level.others.list_silent(now)),
            retry_seconds=level.find_retry_seconds(units, missing, now)
            if missing > 0
            else None,
        )
        if facts.retry_seconds is None:
            self._take(workspace, level, units, now)
        return facts

    def take(self, workspace: Workspace, units: float) -> None:
        """Count units without asking; below zero, give them back."""
        level = self.find_level(workspace)
        if level is not None:
            self._take(workspace, level, units, self._clock.monotonic())

    def _take(
        self,
        workspace: Workspace,
        level: SharedLevel,
        units: float,
        now: float,
    ) -> None:
        level.take(units, now)
        self.counts.add(workspace.digest, units, now)
