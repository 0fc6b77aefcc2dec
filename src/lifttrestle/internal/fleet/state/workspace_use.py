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

"""Engine time that each workspace asks for and uses at all routers."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import math

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.news.messages import EngineNews
from lifttrestle.internal.fleet.news.messages import UseEntry
from lifttrestle.internal.fleet.news.source import MAX_NEWS_SECONDS
from lifttrestle.internal.fleet.news.source import NewsDraft
from lifttrestle.internal.fleet.news.source import NewsSource
from lifttrestle.internal.fleet.policy.fair_shares import AVERAGING_SECONDS
from lifttrestle.internal.fleet.policy.fair_shares import find_level
from lifttrestle.internal.fleet.policy.fair_shares import judge_standing
from lifttrestle.internal.fleet.policy.fair_shares import WorkspaceDemand
from lifttrestle.internal.fleet.policy.load_view import WorkspaceStanding
from lifttrestle.internal.fleet.policy.usage_caps import UsageCap
from lifttrestle.internal.fleet.state.catalogue import Workspace

MILLISECONDS = 1000
# A level of the shares is used for this long: the averages change by 2% at
# most, and 80 workspaces take 0.6 ms to evaluate.
LEVEL_SECONDS = 0.05
# An average below this many seconds per second is dropped.
MIN_AVERAGE_SECONDS = 1e-5


@dataclasses.dataclass
class UseAverage:
    """Averages of the engine time of a workspace at this router.

    :ivar asked: seconds per second of the requests that arrived.
    :ivar used: seconds per second of the requests that were sent.
    :ivar at: time of the averages, monotonic seconds.
    """

    asked: float = 0.0
    used: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Apply the decay up to ``now``."""
        factor = math.exp((self.at - now) / AVERAGING_SECONDS)
        self.asked *= factor
        self.used *= factor
        self.at = now


class WorkspaceUse(NewsSource):
    """Averages the engine time of the workspaces with a cap.

    :param count_routers: returns the number of live routers.
    :param get_caps: returns the caps by the digests of their workspaces.
    """

    def __init__(
        self,
        clock: Clock,
        count_routers: Callable[[], int],
        get_caps: Callable[[], Mapping[int, UsageCap]],
    ) -> None:
        self._clock = clock
        self._count_routers = count_routers
        self._get_caps = get_caps
        self._averages: dict[int, UseAverage] = {}
        self._began_at = math.inf
        self._others: dict[int, UseEntry] = {}
        self._applied_at = -math.inf
        self._level = math.inf
        self._level_at = -math.inf

    def note_asked(self, workspace: Workspace, seconds: float) -> None:
        """Record a request that arrived, with its engine time."""
        average = self._get_average(workspace)
        average.asked += seconds / AVERAGING_SECONDS

    def note_used(self, workspace: Workspace, seconds: float) -> None:
        """Record a request that is sent to an engine."""
        average = self._get_average(workspace)
        average.used += seconds / AVERAGING_SECONDS

    def get_standing(
        self, workspace: Workspace, cost_seconds: float
    ) -> WorkspaceStanding | None:
        """Return the standing that a workspace has if a request is sent.

        Without news, this router's own averages are scaled by its part of
        the fleet.

        :param cost_seconds: engine time of the request, in seconds.
        :returns: None if there are no averages yet, or no cap.
        """
        now = self._clock.monotonic()
        if now - self._began_at < AVERAGING_SECONDS:
            return None
        own = self._get_demand(workspace.digest, workspace.cap, now)
        if own is None:
            return None
        if now - self._level_at >= LEVEL_SECONDS:
            self._level = find_level(self._list_demands(now))
            self._level_at = now
        return judge_standing(own, self._level, cost_seconds)

    def add_news(self, draft: NewsDraft, now: float) -> None:
        """Append the averages of this router."""
        self._decay_all(now)
        for digest, average in self._averages.items():
            asked_ms = round(average.asked * MILLISECONDS)
            used_ms = round(average.used * MILLISECONDS)
            if asked_ms or used_ms:
                draft.uses.append(UseEntry(digest, asked_ms, used_ms))

    def apply_news(self, others: EngineNews, now: float) -> None:
        """Replace the averages of the other routers."""
        self._others = {entry.workspace: entry for entry in others.uses}
        self._applied_at = now

    def _get_average(self, workspace: Workspace) -> UseAverage:
        """Return the average of a workspace as of now."""
        now = self._clock.monotonic()
        self._began_at = min(self._began_at, now)
        average = self._averages.setdefault(
            workspace.digest, UseAverage(at=now)
        )
        average.decay(now)
        return average

    def _decay_all(self, now: float) -> None:
        for digest, average in list(self._averages.items()):
            average.decay(now)
            if max(average.asked, average.used) < MIN_AVERAGE_SECONDS:
                del self._averages[digest]

    def _list_demands(self, now: float) -> list[WorkspaceDemand]:
        """Return the demand of each workspace at all routers together."""
        self._decay_all(now)
        found = [
            self._get_demand(digest, cap, now)
            for digest, cap in self._get_caps().items()
        ]
        return [demand for demand in found if demand is not None]

    def _get_demand(
        self, digest: int, cap: UsageCap | None, now: float
    ) -> WorkspaceDemand | None:
        """Return the demand of a workspace, None without demand or cap."""
        fresh = now - self._applied_at < MAX_NEWS_SECONDS
        others = self._others if fresh else {}
        scale = 1 if others else self._count_routers()
        asked = used = 0.0
        average = self._averages.get(digest)
        if average is not None:
            average.decay(now)
            asked, used = scale * average.asked, scale * average.used
        entry = others.get(digest)
        if entry is not None:
            asked += entry.asked_ms / MILLISECONDS
            used += entry.used_ms / MILLISECONDS
        if cap is None or not (asked or used):
            return None
        return WorkspaceDemand(cap.rate, asked, used)
