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

"""What the exchange of a fleet router works with."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.crashes.tracker import CrashTracker
from lifttrestle.internal.fleet.limits.memory import UpstreamLimits
from lifttrestle.internal.fleet.path.dialect import RequestDialect
from lifttrestle.internal.fleet.policy.cache_sources import CacheSources
from lifttrestle.internal.fleet.policy.retry_budget import SharedRetryBudget
from lifttrestle.internal.fleet.settings import FleetSettings
from lifttrestle.internal.fleet.state.cache_stores import CacheStores
from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.engine_pace import EnginePace
from lifttrestle.internal.fleet.state.operator_view import OperatorView
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.shutdown import Shutdown
from lifttrestle.internal.fleet.state.table_watch import TableWatch
from lifttrestle.internal.fleet.usage.ledger import UsageLedger
from lifttrestle.internal.telemetry.fleet_metrics import FleetMetrics


async def _know_loads(workspace: Workspace | None) -> None:
    """Go by the loads that are known."""


@dataclasses.dataclass
class FleetParts:
    """The parts of one router, built once.

    :ivar operator_watch: proves how current the view is.
    :ivar stores: of cached context, and whether they can be reached.
    :ivar shutdown: the order to stop, if there was one.
    :ivar crashes: which requests must not run.
    :ivar usage: what workspaces have left of their caps.
    :ivar limits: what upstreams in need take.
    :ivar note_load_change: is called when a load has changed by a lot.
    :ivar learn_loads: is awaited before an engine is chosen; a workspace
        whose use is to be known is passed.
    :ivar budgets: the retry budget of each service.
    :ivar paces: how fast the engines of each service read.
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
    note_load_change: Callable[[], None] = lambda: None
    refresh_loads: Callable[[Workspace | None], Awaitable[None]] = _know_loads
    budgets: dict[str, SharedRetryBudget] = dataclasses.field(
        default_factory=dict
    )
    paces: dict[str, EnginePace] = dataclasses.field(default_factory=dict)

    def get_pace(self, service: str) -> EnginePace:
        """Return what is learned of the engines of a service."""
        pace = self.paces.get(service)
        if pace is None:
            pace = EnginePace()
            self.paces[service] = pace
        return pace

    def get_budget(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(self.settings.promises, self.clock)
            self.budgets[service] = budget
        return budget
