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

"""Operations of the intent API: plan, read, confirm and withdraw."""

import asyncio
import random
import typing

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.keeper import ConfigurationKeeper
from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.configuration.plan import PlanState
from lifttrestle.internal.configuration.planner import make_plan
from lifttrestle.internal.configuration.row_format import Versioned
from lifttrestle.internal.configuration.store import ConfigurationStore
from lifttrestle.internal.configuration.store import Heads
from lifttrestle.internal.operators.outcome import PlanOutcome
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.refusal.kind import ErrorKind

T = typing.TypeVar('T')
PLAN_ID_BITS = 64
POLL_SECONDS = 0.05  # also the pause between the attempts of a write
MAX_ATTEMPTS = 20
RETRY_SECONDS = 2.0


class IntentService:
    """Creates, reads, confirms and withdraws plans.

    Every method may raise ``RequestRefused``. Confirming a plan is
    idempotent: it may be repeated if the answer was lost.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        keeper: ConfigurationKeeper,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self._store = store
        self._keeper = keeper
        self._clock = clock
        self._source = source

    async def plan(self, changes: tuple[Change, ...], made_by: str) -> Plan:
        """Make, store and return a plan based on the accepted revision."""
        try:
            revision, document = await self._store.load_document()
            plan_id = f'{self._source.getrandbits(PLAN_ID_BITS):016x}'
            plan = make_plan(
                plan_id,
                revision,
                document,
                changes,
                made_by,
                self._clock.now(),
            )
            await self._store.save_draft(plan)
        except PlatformUnavailable as error:
            raise _make_table_refusal(error) from None
        return plan

    async def read(self, plan_id: str) -> PlanOutcome:
        """Return a plan and, while it is proposed, who must acknowledge it."""
        try:
            plan = await self._read_plan(plan_id)
            return await self._describe(plan.value)
        except PlatformUnavailable as error:
            raise _make_table_refusal(error) from None

    async def confirm(self, plan_id: str, wait_seconds: float) -> PlanOutcome:
        """Propose a plan; wait up to ``wait_seconds`` for its acceptance."""
        plan = await self._retry(lambda: self._propose(plan_id))
        deadline = self._clock.monotonic() + wait_seconds
        while not self._is_resolved(plan):
            self._keeper.request_poll()
            await asyncio.sleep(POLL_SECONDS)
            try:
                plan = (await self._read_plan(plan_id)).value
            except PlatformUnavailable:
                pass
            if self._clock.monotonic() >= deadline:
                break
        try:
            return await self._describe(plan)
        except PlatformUnavailable:
            return PlanOutcome(plan, {})

    def _is_resolved(self, plan: Plan) -> bool:
        """Return whether a plan is no longer proposed.

        An accepted plan counts only once this router has applied it.
        """
        if plan.state is PlanState.ACCEPTED:
            return self._keeper.view.revision >= plan.revision
        return plan.state is not PlanState.PROPOSED

    async def withdraw(self, plan_id: str) -> PlanOutcome:
        """Withdraw a plan that is not accepted yet."""
        plan = await self._retry(lambda: self._withdraw(plan_id))
        self._keeper.request_poll()
        return PlanOutcome(plan, {})

    async def _propose(self, plan_id: str) -> Plan:
        plan = await self._read_plan(plan_id)
        if plan.value.state in (PlanState.PROPOSED, PlanState.ACCEPTED):
            return plan.value
        if plan.value.state is PlanState.WITHDRAWN:
            raise RequestRefused(
                ErrorKind.PLAN_CONFLICT,
                f'plan {plan_id!r} was withdrawn; make a new plan',
                field='plan_id',
            )
        heads = await self._store.read_heads()
        self._refuse_if_pending(heads)
        if plan.value.base != heads.head.value.revision:
            await self._refuse_stale(plan.value, heads)
        await self._store.propose(plan, heads.head)
        return (await self._read_plan(plan_id)).value

    async def _withdraw(self, plan_id: str) -> Plan:
        plan = await self._read_plan(plan_id)
        if plan.value.state is PlanState.ACCEPTED:
            raise RequestRefused(
                ErrorKind.PLAN_CONFLICT,
                f'plan {plan_id!r} is accepted as revision'
                f' {plan.value.revision}; make a plan that reverts it',
                field='plan_id',
            )
        if plan.value.state is not PlanState.WITHDRAWN:
            heads = await self._store.read_heads()
            await self._store.withdraw(plan, heads.head)
        return (await self._read_plan(plan_id)).value

    async def _retry(
        self, operation: typing.Callable[[], typing.Awaitable[T]]
    ) -> T:
        """Retry an operation on a write conflict or a lost answer.

        Each operation reads first, so a retry sees what has taken effect.
        """
        last_error: Exception | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                return await operation()
            except (ConditionFailed, PlatformUnavailable) as error:
                last_error = error
                await asyncio.sleep(POLL_SECONDS)
        raise RequestRefused(
            ErrorKind.TABLE_UNAVAILABLE,
            f'the table service did not confirm the write: {last_error};'
            ' it may have taken effect; repeating the request is safe',
            ran=Execution.UNKNOWN,
            retry_after=RETRY_SECONDS,
        )

    async def _read_plan(self, plan_id: str) -> Versioned[Plan]:
        plan = await self._store.read_plan(plan_id)
        if plan is None:
            raise RequestRefused(
                ErrorKind.NOT_FOUND,
                f'plan {plan_id!r} does not exist',
                field='plan_id',
            )
        return plan

    def _refuse_if_pending(self, heads: Heads) -> None:
        pending = heads.head.value.plan_id
        if not pending:
            return
        raise RequestRefused(
            ErrorKind.PLAN_PENDING,
            f'plan {pending!r} is already proposed and not accepted yet',
            field='plan_id',
            retry_after=RETRY_SECONDS,
            details={'pending_plan': pending},
        )

    async def _refuse_stale(self, plan: Plan, heads: Heads) -> None:
        fresh = await self.plan(plan.changes, plan.made_by)
        raise RequestRefused(
            ErrorKind.PLAN_CONFLICT,
            f'plan {plan.plan_id!r} is based on revision {plan.base}, but'
            f' revision {heads.head.value.revision} is in force',
            field='base',
            details={'fresh_plan': msgspec.to_builtins(fresh)},
        )

    async def _describe(self, plan: Plan) -> PlanOutcome:
        if plan.state is not PlanState.PROPOSED:
            return PlanOutcome(plan, {})
        progress = await self._keeper.read_progress(plan)
        return PlanOutcome(plan, progress.group_waiting())


def _make_table_refusal(error: PlatformUnavailable) -> RequestRefused:
    return RequestRefused(
        ErrorKind.TABLE_UNAVAILABLE,
        f'the table service is unavailable: {error}',
        retry_after=RETRY_SECONDS,
    )
