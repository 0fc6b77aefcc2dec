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

"""The plans for loading new weights into engines, as all routers see them.

Each model has one row: it is the holder's lease, it contains the plan, and its
version is the fencing token of the orders. The holder writes the row before
each batch of orders, on the condition that no other router has written it. So
every router avoids the engines of a batch before the orders reach them.
"""

import dataclasses

import msgspec

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowOrigin
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.intake.decoding import decode_json
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('weights')
PLAN_PREFIX = 'weights/'
# The longest time that the engines of a batch are avoided: a load takes about
# a second, longer if the order was lost and is sent again.
MAX_BUSY_SECONDS = 3.0


class WeightsPlan(msgspec.Struct, frozen=True):
    """The content of a plan's row.

    :ivar holder: the router that holds the lease.
    :ivar version: the version of the weights to load.
    :ivar loading: upstream starts of the batch that is being ordered.
    :ivar loaded: upstream starts that were seen to hold the version.
    """

    holder: str
    model: str
    version: int
    loading: list[str] = []
    loaded: list[str] = []


@dataclasses.dataclass(frozen=True)
class ObservedPlan:
    """A plan, the version of its row and the time it was first seen.

    :ivar epoch: the store's epoch in which the row was seen, or found to be
        missing.
    :ivar restored: the row comes from a restored store. A later plan may
        have been lost whose orders can still reach the engines.
    """

    plan: WeightsPlan | None
    row_version: int
    seen_at: float
    epoch: int = 0
    restored: bool = False


class WeightsView:
    """Follows the plans and updates the directory of upstreams from them."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        clock: Clock,
        refusals: InputRefusals | None = None,
    ) -> None:
        self._directory = directory
        self._refusals = refusals or InputRefusals()
        self._clock = clock
        self._observed: dict[str, ObservedPlan] = {}
        self._epoch = 0
        # When a row of this epoch was first seen. The lease of a missing plan
        # starts then, as the restored store may have lost the plan.
        self._epoch_seen_at = float('-inf')

    def get(self, model: str) -> ObservedPlan:
        """Return the newest plan seen for a model."""
        observed = self._observed.get(model)
        # The rows of an epoch are reported together: a plan that is known
        # only from an earlier epoch is not in the restored store.
        if observed is None or observed.epoch < self._epoch:
            return ObservedPlan(None, NO_ROW, self._epoch_seen_at, self._epoch)
        return observed

    def apply_row(self, row: VersionedRow) -> None:
        """Apply a changed row of the routers' table.

        A row without a valid plan has no holder, but the next holder's write
        must still be conditional on its version.
        """
        if get_epoch(row.version) > self._epoch:
            self._epoch = get_epoch(row.version)
            self._epoch_seen_at = self._clock.monotonic()
        if not row.key.startswith(PLAN_PREFIX):
            return
        model = row.key.removeprefix(PLAN_PREFIX)
        if row.value is None:
            self._note_no_plan(model, row.version, NO_ROW)
            return
        try:
            plan = _decode_plan(model, row.value)
        except ValueError as error:
            self._refusals.report('plans', row.key, error)
            self._note_no_plan(model, row.version, row.version)
            return
        restored = row.origin is not RowOrigin.WRITTEN
        self.apply_plan(plan, row.version, restored=restored)

    def _note_no_plan(
        self, model: str, seen_version: int, row_version: int
    ) -> None:
        if seen_version <= self.get(model).row_version:
            return
        now = self._clock.monotonic()
        epoch = get_epoch(seen_version)
        self._observed[model] = ObservedPlan(None, row_version, now, epoch)
        LOG.warning('weights.no_plan', model=model, fence=row_version)

    def apply_plan(
        self, plan: WeightsPlan, row_version: int, *, restored: bool = False
    ) -> None:
        """Apply a plan unless a newer one is known."""
        if row_version <= self.get(plan.model).row_version:
            return
        now = self._clock.monotonic()
        known = self._observed.get(plan.model)
        self._observed[plan.model] = ObservedPlan(
            plan, row_version, now, get_epoch(row_version), restored
        )
        if known is not None and known.plan == plan:
            # The lease was renewed with those of other models.
            return
        LOG.info(
            'weights.plan',
            model=plan.model,
            version=plan.version,
            holder=plan.holder,
            fence=row_version,
            restored=restored,
            loading=plan.loading,
            loaded=plan.loaded,
        )
        for start in plan.loaded:
            upstream = self._directory.get_start(start)
            if upstream is not None:
                upstream.note_weights(plan.model, plan.version, now)
        for start in plan.loading:
            upstream = self._directory.get_start(start)
            if upstream is None:
                continue
            if upstream.weights.get(plan.model, 0) < plan.version:
                upstream.busy_until = now + MAX_BUSY_SECONDS


def _decode_plan(model: str, value: bytes) -> WeightsPlan:
    plan = decode_json(value, WeightsPlan)
    if plan.model != model:
        raise ValueError(f'the plan is for {plan.model!r}, not {model!r}')
    return plan
