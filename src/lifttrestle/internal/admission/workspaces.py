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

"""Each workspace's rate and concurrency, shared by live routers."""

import collections

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.admission.bucket import TokenBucket
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.configuration.model import Workspace
from lifttrestle.internal.refusal.kind import ErrorKind

BURST_SECONDS = 2.0
BUSY_RETRY_SECONDS = 1.0


class WorkspaceLimits:
    """Holds one bucket and one count for each workspace that calls.

    A limit counts for a data centre. Its live routers each take an equal
    share, since the balancer spreads callers evenly, so that no router asks
    another before it admits a request.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, TokenBucket] = {}
        self._running: collections.Counter[str] = collections.Counter()

    def enter(self, workspace: Workspace, live_routers: int) -> None:
        """Count a request in.

        :raises RequestRefused: when the workspace is over its share.
        """
        routers = max(live_routers, 1)
        allowed = max(workspace.concurrent_requests // routers, 1)
        if self._running[workspace.name] >= allowed:
            raise RequestRefused(
                ErrorKind.RATE_LIMITED,
                f'workspace {workspace.name!r} has {allowed} requests running'
                ' here, which is its share',
                field='concurrent_requests',
                retry_after=BUSY_RETRY_SECONDS,
            )
        rate = workspace.requests_per_second / routers
        wait = self._get_bucket(workspace.name, rate).take(
            self._clock.monotonic()
        )
        if wait > 0:
            raise RequestRefused(
                ErrorKind.RATE_LIMITED,
                f'workspace {workspace.name!r} is over its share of {rate:g}'
                ' requests a second',
                field='requests_per_second',
                retry_after=wait,
            )
        self._running[workspace.name] += 1

    def leave(self, workspace: Workspace) -> None:
        """Count a request out."""
        self._running[workspace.name] -= 1
        if self._running[workspace.name] <= 0:
            del self._running[workspace.name]

    def _get_bucket(self, name: str, rate: float) -> TokenBucket:
        bucket = self._buckets.get(name)
        if bucket is None or bucket.rate != rate:
            burst = rate * BURST_SECONDS
            bucket = TokenBucket(rate, burst, self._clock.monotonic())
            self._buckets[name] = bucket
        return bucket
