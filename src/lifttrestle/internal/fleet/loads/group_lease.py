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

"""The lease under which a router orders loads at some engines.

Each model has a row, which is its lease. Orders for one engine must come from
one router, whatever the model, so a router orders only while it holds the
leases of all models that share engines. It writes their rows together before
each batch of orders. A router of an earlier release, which asks for the lease
of its model only, finds it held then, and holds others off by it.
"""

from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from lifttrestle.internal.fleet.policy.weight_loading import find_takeover_time
from lifttrestle.internal.fleet.policy.weight_loading import LeaseState
from lifttrestle.internal.fleet.policy.weight_loading import list_group
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import ROUTER_PREFIX
from lifttrestle.internal.fleet.state.rows import MAX_WRITES
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import RowWrite
from lifttrestle.internal.fleet.state.weights_view import ObservedPlan
from lifttrestle.internal.fleet.state.weights_view import PLAN_PREFIX
from lifttrestle.internal.fleet.state.weights_view import WeightsPlan
from lifttrestle.internal.fleet.state.weights_view import WeightsView

# The plans of all models of a group, by model, in the order of their names.
ObservedGroup = Mapping[str, ObservedPlan]
HELD = float('-inf')


class GroupLease:
    """Observes, takes and renews the leases of models that share engines.

    :param holder: the name of this router in the rows.
    :ivar promises: the owner replaces them when the settings change.
    """

    def __init__(
        self,
        store: RowStore,
        directory: UpstreamDirectory,
        plans: WeightsView,
        roster: Roster,
        promises: Promises,
        holder: str,
    ) -> None:
        self._store = store
        self._directory = directory
        self._plans = plans
        self._roster = roster
        self.promises = promises
        self._holder = holder
        # The groups that were found in one state of the directory.
        self._groups: dict[str, tuple[str, ...]] = {}
        self._groups_state = -1

    def list_models(self, model: str) -> tuple[str, ...]:
        """Return the models that share engines with a model, and itself."""
        if self._directory.changes != self._groups_state:
            self._groups_state = self._directory.changes
            self._groups.clear()
        group = self._groups.get(model)
        if group is None:
            group = list_group(self._directory, model)
            self._groups[model] = group
        return group

    def observe(self, model: str) -> ObservedGroup:
        """Return the newest plans of the group of a model."""
        return {
            name: self._plans.get(name) for name in self.list_models(model)
        }

    def holds(self, observed: ObservedPlan) -> bool:
        """Return whether this router certainly holds the lease of a model.

        The holder in a restored row may be outdated, as the older copy lacks
        later takeovers.
        """
        return (
            observed.plan is not None
            and observed.plan.holder == self._holder
            and not observed.restored
        )

    def find_takeover_time(
        self, group: ObservedGroup, needed_since: float
    ) -> float:
        """Return when this router may order, ``HELD`` if it may already."""
        return max(
            (
                self._find_takeover_time(next(iter(group)), plan, needed_since)
                for plan in group.values()
                if not self.holds(plan)
            ),
            default=HELD,
        )

    def _find_takeover_time(
        self, first: str, observed: ObservedPlan, needed_since: float
    ) -> float:
        """Return when this router may take over the lease of one model.

        :param first: the first model of the group, by which all routers rank.
        """
        holder = None
        if observed.plan is not None and observed.plan.holder != self._holder:
            holder = f'{ROUTER_PREFIX}{observed.plan.holder}'
        lease = LeaseState(
            needed_since=needed_since,
            held_at=observed.seen_at,
            holder=holder,
            lease_seconds=self.promises.lease_seconds,
        )
        return find_takeover_time(
            first, self._roster.routers, self._roster.key, lease
        )

    async def write(
        self, group: ObservedGroup, plans: Sequence[WeightsPlan]
    ) -> int:
        """Write the rows of some models and return the version of the last.

        More than a commit takes are written in several, all before an order.

        :param group: what was observed of these models.
        :raises ConditionFailed: if another router has written one of them.
        """
        version = 0
        for start in range(0, len(plans), MAX_WRITES):
            part = plans[start : start + MAX_WRITES]
            version = await self._store.write_rows(
                [_build_write(plan, group[plan.model]) for plan in part]
            )
            for plan in part:
                self._plans.apply_plan(plan, version)
        return version


def _build_write(plan: WeightsPlan, observed: ObservedPlan) -> RowWrite:
    return RowWrite(
        FLEET_TABLE,
        f'{PLAN_PREFIX}{plan.model}',
        msgspec.json.encode(plan),
        observed.row_version,
        observed.epoch,
    )
