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

"""The other routers of a fleet and the age of their last reports."""

from collections.abc import Mapping
import math

from lifttrestle.internal.fleet.policy.recent_use import SILENT_SECONDS


class OtherRouters:
    """The other routers in groups, and when each group last reported.

    A group is one router, or several for which one of them reports.

    :param reports_level: whether reports contain a level rather than usage;
        the usage is then assumed to continue at the same rate until the next
        report.
    """

    def __init__(self, *, reports_level: bool = False) -> None:
        self.reports_level = reports_level
        self._groups: dict[str, int] = {}
        self._reported_at: dict[str, float] = {}
        self._refreshed_at = -math.inf
        self._silent: frozenset[str] = frozenset()
        self._unreported_seconds = 0.0
        self.count = 0

    def set_groups(
        self, groups: Mapping[str, int], reported_at: float
    ) -> None:
        """Replace the groups.

        :param groups: number of routers by name of the group.
        :param reported_at: time of the last report to assume for new groups,
            monotonic seconds.
        """
        self._groups = dict(groups)
        self._reported_at = {
            name: self._reported_at.get(name, reported_at) for name in groups
        }
        self.count = sum(groups.values())
        self._refreshed_at = -math.inf

    @property
    def has_sums(self) -> bool:
        """Return whether any group consists of several routers."""
        return self.count > len(self._groups)

    def __contains__(self, name: object) -> bool:
        """Return whether a group of this name exists."""
        return name in self._groups

    def get_router_count(self, name: str) -> int:
        """Return the number of routers of a group, zero if it is unknown."""
        return self._groups.get(name, 0)

    def note_report(self, name: str, now: float) -> None:
        """Record a report of a group."""
        if name in self._groups:
            self._reported_at[name] = now
            self._refreshed_at = -math.inf

    def get_age(self, name: str, now: float) -> float:
        """Return the seconds since the last report of a group."""
        return now - self._reported_at.get(name, -math.inf)

    def list_silent(self, now: float) -> frozenset[str]:
        """Return the groups without a recent report."""
        self._refresh(now)
        return self._silent

    def get_unreported_seconds(self, now: float) -> float:
        """Return the time since the last report, summed over routers.

        Silent groups are excluded.
        """
        self._refresh(now)
        return self._unreported_seconds

    def _refresh(self, now: float) -> None:
        if now == self._refreshed_at:
            return
        self._refreshed_at = now
        silent = []
        self._unreported_seconds = 0.0
        for name, routers in self._groups.items():
            age = now - self._reported_at[name]
            if age > SILENT_SECONDS:
                silent.append(name)
            else:
                self._unreported_seconds += age * routers
        self._silent = frozenset(silent)
