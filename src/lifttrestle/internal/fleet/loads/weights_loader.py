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

"""Rolls the newest weights out to the engines, a few at a time.

Only the holder of the leases of all models that share engines sends load
orders to them (see ``group_lease``). A holder keeps a lease; another router
takes it over only after its row has been unchanged for so long that no order
of the last holder can be in transit. Every order carries the version of the
rows as fencing token and the number of orders that the engine has accepted, so
that a delayed order has no effect.
"""

import asyncio
import random

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.loads.engine_control import EngineControl
from lifttrestle.internal.fleet.loads.engine_control import EngineState
from lifttrestle.internal.fleet.loads.engine_control import LoadOrder
from lifttrestle.internal.fleet.loads.engine_control import OrderOutcome
from lifttrestle.internal.fleet.loads.group_lease import GroupLease
from lifttrestle.internal.fleet.loads.group_lease import ObservedGroup
from lifttrestle.internal.fleet.loads.load_tracking import LoadTracker
from lifttrestle.internal.fleet.policy.weight_loading import count_loadable
from lifttrestle.internal.fleet.policy.weight_loading import list_engines
from lifttrestle.internal.fleet.policy.weight_loading import list_outdated
from lifttrestle.internal.fleet.policy.weight_loading import ORDER_SECONDS
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.operator_view import OperatorView
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.weights_view import WeightsPlan
from lifttrestle.internal.fleet.state.weights_view import WeightsView
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('weights')
POLL_SECONDS = 0.1
# No version of a model was named.
NO_VERSION = 0
# All routers have read which engines completed a rollout within this time.
SETTLING_SECONDS = 2.0
NEVER = float('-inf')
# All routers have read the row of a batch within this time of its write.
PROPAGATION_SECONDS = 0.03


class WeightsLoader:
    """Loads weights of models whose lease this router holds.

    :ivar lease: decides when this router may order.
    """

    def __init__(
        self,
        store: RowStore,
        control: EngineControl,
        view: OperatorView,
        directory: UpstreamDirectory,
        plans: WeightsView,
        roster: Roster,
        promises: Promises,
        clock: Clock,
        source: random.Random,
        holder: str,
    ) -> None:
        self._control = control
        self._view = view
        self._directory = directory
        self._plans = plans
        self.lease = GroupLease(
            store, directory, plans, roster, promises, holder
        )
        self._clock = clock
        self._source = source
        self._holder = holder
        self._needed_since: dict[str, float] = {}
        self._loads: dict[str, LoadTracker] = {}
        # The rollout state in which all engines had loaded a model's weights.
        self._complete_states: dict[str, tuple[int, ...]] = {}
        # When the last rollout of a model was found to be complete.
        self._completed_at: dict[str, float] = {}

    async def run(self, ticker: Ticker) -> None:
        """Load missing weights, forever."""
        while True:
            await ticker.wait(POLL_SECONDS)
            for model in list(self._view.target_weights):
                try:
                    await self.advance_rollout(model)
                except (PlatformUnavailable, ConditionFailed) as error:
                    LOG.info('weights.not_now', model=model, reason=str(error))
                    await self._clock.sleep(
                        self._source.uniform(POLL_SECONDS, 4 * POLL_SECONDS)
                    )

    async def advance_rollout(self, model: str) -> None:
        """Take the next step of rolling out the newest weights of a model."""
        version = self._view.target_weights[model].version
        state = self._get_rollout_state(version)
        if self._complete_states.get(model) == state:
            # Otherwise each router would list all engines ten times a second.
            return
        loads = self._get_loads(model)
        await loads.poll()
        outdated = list_outdated(
            list_engines(self._directory, model), model, self._list_versions()
        )
        now = self._clock.monotonic()
        if not outdated:
            await self._publish_completion(model)
            if self._needed_since.pop(model, None) is not None:
                self._completed_at[model] = now
            self._complete_states[model] = state
            return
        self._needed_since.setdefault(model, now)
        # Read before the check: a write by another router in between makes
        # the conditional write of this row fail.
        group = self.lease.observe(model)
        if self._may_order(model, group, now):
            await self._load_next(model, group, loads, outdated)

    def _list_versions(self) -> dict[str, int]:
        return {
            model: target.version
            for model, target in self._view.target_weights.items()
        }

    def _get_rollout_state(self, version: int) -> tuple[int, ...]:
        """Return the versions that decide which engines are outdated."""
        catalogue = self._view.catalogue
        configuration = catalogue.version if catalogue is not None else 0
        return version, self._directory.changes, configuration

    def _get_loads(self, model: str) -> LoadTracker:
        loads = self._loads.get(model)
        if loads is None:
            loads = LoadTracker(
                model, self._control, self._directory, self._clock
            )
            self._loads[model] = loads
        return loads

    def _may_order(self, model: str, group: ObservedGroup, now: float) -> bool:
        needed_since = self._needed_since[model]
        return now >= self.lease.find_takeover_time(group, needed_since)

    async def _load_next(
        self,
        model: str,
        group: ObservedGroup,
        loads: LoadTracker,
        outdated: list[FleetUpstream],
    ) -> None:
        engines = list_engines(self._directory, model)
        allowed = count_loadable(engines, self._clock.monotonic()) - len(loads)
        version = self._view.target_weights[model].version
        batch: list[tuple[FleetUpstream, EngineState]] = []
        for upstream in outdated:
            if len(batch) >= allowed:
                break
            if upstream.start in loads:
                continue
            if not upstream.may_take_orders(self._clock.monotonic()):
                continue
            state = await loads.read_state(upstream)
            if state is None:
                upstream.reach.note_unreachable(self._clock.monotonic())
                continue
            loaded_version = upstream.weights.get(model, 0)
            if loaded_version < version and not state.loading:
                batch.append((upstream, state))
        if not batch:
            return
        requested_at = self._clock.monotonic()
        loading = [
            *loads.starts,
            *(upstream.start for upstream, _ in batch),
        ]
        fence = await self._write_plans(model, group, loading)
        await self._clock.sleep(PROPAGATION_SECONDS)
        if self.lease.list_models(model) != tuple(group):
            # An engine was listed that has other models too.
            LOG.info('weights.group_changed', model=model)
            return
        orders = [
            LoadOrder(
                model,
                version,
                self._holder,
                fence,
                state.orders_accepted,
            )
            for _, state in batch
        ]
        upstreams = [upstream for upstream, _ in batch]
        answered = await asyncio.gather(
            *(
                self._send_order(upstream, order, requested_at)
                for upstream, order in zip(upstreams, orders)
            )
        )
        for upstream, order, answer in zip(upstreams, orders, answered):
            loads.add(upstream, order, answer)

    async def _write_plans(
        self, model: str, group: ObservedGroup, loading: list[str]
    ) -> int:
        """Write the plans of a group, which renews their leases.

        :param loading: the engines that load the weights of the model.
        """
        plans = [
            self._build_plan(name, loading)
            if name == model
            else self._renew_plan(name)
            for name in group
        ]
        return await self.lease.write(group, plans)

    def _renew_plan(self, model: str) -> WeightsPlan:
        """Return the plan of another model, without what nobody needs."""
        loads = self._loads.get(model)
        target = self._view.target_weights.get(model)
        if loads is None or target is None:
            version = NO_VERSION if target is None else target.version
            return WeightsPlan(self._holder, model, version)
        completed_at = self._completed_at.get(model, NEVER)
        settled_at = self._clock.monotonic() - SETTLING_SECONDS
        if model not in self._needed_since and completed_at < settled_at:
            return WeightsPlan(self._holder, model, target.version)
        return self._build_plan(model, loads.starts)

    def _build_plan(self, model: str, loading: list[str]) -> WeightsPlan:
        target = self._view.target_weights[model]
        loaded = [
            upstream.start
            for upstream in self._directory
            if upstream.weights.get(model, 0) >= target.version
        ]
        return WeightsPlan(
            self._holder, model, target.version, loading, loaded
        )

    async def _send_order(
        self, upstream: FleetUpstream, order: LoadOrder, requested_at: float
    ) -> bool:
        """Send an order; return whether the engine has answered it."""
        now = self._clock.monotonic()
        if now - requested_at > ORDER_SECONDS:
            LOG.warning('weights.lease_ran_out', instance=upstream.instance)
            return False
        # An order to one start of an engine must not reach a later one.
        gone = self._directory.get_start(upstream.start) is None
        if gone or upstream.rejections.get_requested_seconds(now):
            LOG.info('weights.kept', instance=upstream.instance, gone=gone)
            return False
        try:
            outcome = await self._control.send_load(upstream, order)
        except PlatformUnavailable as error:
            LOG.info(
                'weights.order_unanswered',
                instance=upstream.instance,
                reason=str(error),
            )
            outcome = OrderOutcome.UNKNOWN
        LOG.info(
            'weights.ordered',
            instance=upstream.instance,
            model=order.model,
            version=order.version,
            fence=order.fence,
            orders_accepted=order.orders_accepted,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.ALREADY_LOADED:
            upstream.note_weights(
                order.model, order.version, self._clock.monotonic()
            )
        if outcome is OrderOutcome.OTHER_INSTANCE:
            upstream.misdirected = True
        return outcome is not OrderOutcome.UNKNOWN

    async def _publish_completion(self, model: str) -> None:
        """Publish to the other routers that the last engines have loaded."""
        observed = self._plans.get(model)
        plan = observed.plan
        if plan is None or not self.lease.holds(observed) or not plan.loading:
            return
        await self.lease.write(
            {model: observed}, [self._build_plan(model, [])]
        )
