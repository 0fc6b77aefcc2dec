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

"""Rate and concurrency limits of workspaces, divided by live routers."""

import collections
import math

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.configuration.model import Workspace
from lifttrestle.internal.fleet.policy.other_routers import OtherRouters
from lifttrestle.internal.fleet.policy.shared_level import SharedLevel
from lifttrestle.internal.fleet.policy.usage_caps import UsageCap
from lifttrestle.internal.refusal.kind import ErrorKind

BURST_SECONDS = 2.0
BUSY_RETRY_SECONDS = 1.0
# Group key of the other live routers, whose usage is not known here.
OTHER_ROUTERS = 'others'


class WorkspaceLimits:
    """Tracks the request rate and the running requests of each workspace.

    A limit applies to a data centre. Its live routers do not exchange their
    usage, so each one enforces an equal share of the limit.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._levels: dict[str, SharedLevel] = {}
        self._running: collections.Counter[str] = collections.Counter()

    def enter(self, workspace: Workspace, live_routers: int) -> None:
        """Count a request that starts.

        :param live_routers: live routers of the data centre, this one
            included.
        :raises RequestRefused: if the workspace exceeds its share of the
            rate or of the concurrency.
        """
        routers = max(live_routers, 1)
        allowed = max(workspace.concurrent_requests // routers, 1)
        if self._running[workspace.name] >= allowed:
            raise RequestRefused(
                ErrorKind.RATE_LIMITED,
                f'workspace {workspace.name!r} has {allowed} requests running'
                ' on this router, which is its share',
                field='concurrent_requests',
                retry_after=BUSY_RETRY_SECONDS,
            )
        now = self._clock.monotonic()
        level = self._get_level(workspace, routers)
        missing = level.find_shortfall(1.0, level.get_remaining(now))
        if missing > 0:
            raise RequestRefused(
                ErrorKind.RATE_LIMITED,
                f'workspace {workspace.name!r} is over its share of'
                f' {level.cap.rate / routers:g} requests a second',
                field='requests_per_second',
                retry_after=level.find_retry_seconds(1.0, missing, now),
            )
        level.take(1.0, now)
        self._running[workspace.name] += 1

    def leave(self, workspace: Workspace) -> None:
        """Count a request that has ended."""
        self._running[workspace.name] -= 1
        if self._running[workspace.name] <= 0:
            del self._running[workspace.name]

    def _get_level(self, workspace: Workspace, routers: int) -> SharedLevel:
        rate = workspace.requests_per_second
        cap = UsageCap(rate, rate * BURST_SECONDS)
        level = self._levels.get(workspace.name)
        if level is None or (level.cap, level.others.count) != (
            cap,
            routers - 1,
        ):
            others = OtherRouters()
            if routers > 1:
                others.set_groups({OTHER_ROUTERS: routers - 1}, -math.inf)
            level = SharedLevel(
                cap, cap.capacity, others, self._clock.monotonic()
            )
            self._levels[workspace.name] = level
        return level
