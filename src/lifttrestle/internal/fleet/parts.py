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

"""Shared components of the request path of a fleet router."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.crashes.tracker import CrashTracker
from lifttrestle.internal.fleet.limits.upstream_limits import UpstreamLimits
from lifttrestle.internal.fleet.news.source import NewsSource
from lifttrestle.internal.fleet.path.dialect import RequestDialect
from lifttrestle.internal.fleet.policy.cache_sources import CacheSources
from lifttrestle.internal.fleet.policy.retry_budget import SharedRetryBudget
from lifttrestle.internal.fleet.policy.router_share import RouterShare
from lifttrestle.internal.fleet.settings import FleetSettings
from lifttrestle.internal.fleet.state.cache_stores import CacheStores
from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.engine_pace import EnginePace
from lifttrestle.internal.fleet.state.engine_speeds import EngineSpeeds
from lifttrestle.internal.fleet.state.operator_view import OperatorView
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.shutdown import Shutdown
from lifttrestle.internal.fleet.state.table_watch import TableWatch
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.workspace_use import WorkspaceUse
from lifttrestle.internal.fleet.streams.origins import StreamOrigins
from lifttrestle.internal.fleet.usage.ledger import UsageLedger
from lifttrestle.internal.http.memory_budget import MemoryBudget
from lifttrestle.internal.telemetry.fleet_metrics import FleetMetrics


async def _confirm_any(upstream: FleetUpstream) -> bool:
    """Confirm each start, without asking it."""
    return True


async def _skip_refresh(workspace: Workspace | None) -> None:
    """Use the known loads without waiting for newer ones."""


@dataclasses.dataclass
class FleetParts:
    """The components of one router, built once.

    :ivar source: random number generator.
    :ivar operator_watch: reports how current the operator view is.
    :ivar stores: stores of cached context and whether they are reachable.
    :ivar shutdown: state of a planned stop, if one was requested.
    :ivar crashes: requests that must not run because they crashed upstreams.
    :ivar usage: remaining usage of workspaces under their caps.
    :ivar limits: limits that overloaded upstreams report.
    :ivar streams: what began the streams that callers may resume.
    :ivar note_load_change: called when the load of an upstream has changed
        considerably.
    :ivar tell_pause: tells a router, by its key, of the pause that a start of
        an upstream asked for in an answer that it forwarded.
    :ivar confirm_start: returns whether a start still runs that is known by
        the list, before a stream goes on there.
    :ivar refresh_loads: awaited before an engine is chosen; receives the
        workspace whose usage must be known, or None.
    :ivar budgets: retry budget of each service.
    :ivar paces: prefill speed of the engines of each service.
    :ivar news_sources: parts whose state the routers share.
    :ivar engine_speeds: how slow single upstreams are.
    :ivar started_at: when this process started, in monotonic seconds.
    :ivar workspace_use: engine time of the workspaces with a cap.
    :ivar memory: bound on what callers and answers make the process hold.
    """

    settings: FleetSettings
    clock: Clock
    source: random.Random
    dialect: RequestDialect
    view: OperatorView
    operator_watch: TableWatch
    directory: UpstreamDirectory
    sources: CacheSources
    stores: CacheStores
    roster: Roster
    metrics: FleetMetrics
    shutdown: Shutdown
    crashes: CrashTracker
    usage: UsageLedger
    limits: UpstreamLimits
    streams: StreamOrigins
    note_load_change: Callable[[], None] = lambda: None
    tell_pause: Callable[[str, str], None] = lambda via, start: None
    confirm_start: Callable[[FleetUpstream], Awaitable[bool]] = _confirm_any
    refresh_loads: Callable[[Workspace | None], Awaitable[None]] = (
        _skip_refresh
    )
    budgets: dict[str, SharedRetryBudget] = dataclasses.field(
        default_factory=dict
    )
    paces: dict[str, EnginePace] = dataclasses.field(default_factory=dict)
    news_sources: list[NewsSource] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        self.started_at = self.clock.monotonic()
        self.engine_speeds = EngineSpeeds(
            self.directory, lambda: self.view.catalogue
        )
        self.news_sources.append(self.engine_speeds)
        self.metrics.add_gauge(
            'slow_upstreams',
            'Upstreams that are slower than their service.',
            lambda: self.engine_speeds.count_slow(self.clock.monotonic()),
        )
        self.workspace_use = WorkspaceUse(
            self.clock, lambda: self.roster.live, lambda: self.view.caps
        )
        self.news_sources.append(self.workspace_use)
        self.memory = MemoryBudget(self.settings.memory_bytes)
        self.metrics.add_gauge(
            'held_bytes',
            'Requests and answers that are held for callers.',
            lambda: self.memory.held,
        )
        self.metrics.add_gauge(
            'given_way',
            'Requests, answers and callers that had to give way to others,'
            ' since the start.',
            lambda: self.memory.given_way,
        )

    def get_pace(self, service: str) -> EnginePace:
        """Return the measured prefill speed of the engines of a service."""
        pace = self.paces.get(service)
        if pace is None:
            pace = EnginePace()
            self.paces[service] = pace
        return pace

    def get_budget(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(
                self.settings.promises, self.clock, service, self.started_at
            )
            self.budgets[service] = budget
            self.metrics.add_retry_budget(
                service, lambda: budget.get_use(self.list_retry_shares())
            )
        return budget

    def list_retry_shares(self) -> list[RouterShare]:
        """Return this router's shares in the window of the retry budgets."""
        seconds = self.settings.promises.retry_window_seconds
        return self.roster.list_shares(seconds)
