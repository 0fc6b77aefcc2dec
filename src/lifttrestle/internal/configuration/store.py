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

"""Storage of the configuration in the platform's table service."""

import dataclasses
import typing

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.configuration.document import Document
import lifttrestle.internal.configuration.keys as keys
from lifttrestle.internal.configuration.large_changes import LargeChanges
from lifttrestle.internal.configuration.plan import AcceptedChange
from lifttrestle.internal.configuration.plan import Head
from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.configuration.plan import PlanState
from lifttrestle.internal.configuration.row_format import build_document
from lifttrestle.internal.configuration.row_format import decode_existing
from lifttrestle.internal.configuration.row_format import decode_row
from lifttrestle.internal.configuration.row_format import make_item_write
from lifttrestle.internal.configuration.row_format import Versioned
from lifttrestle.internal.membership.member import Member
from lifttrestle.internal.membership.member import Members
from lifttrestle.internal.store.objects import ObjectStore
from lifttrestle.internal.store.row import ABSENT
from lifttrestle.internal.store.row import Check
from lifttrestle.internal.store.row import make_write
from lifttrestle.internal.store.row import REMOVED
from lifttrestle.internal.store.row import Transaction
from lifttrestle.internal.store.row import Write
from lifttrestle.internal.store.table import TableService

LOAD_ATTEMPTS = 5


@dataclasses.dataclass(frozen=True)
class Heads:
    """The head and the list of routers, for the checks of a transaction."""

    head: Versioned[Head]
    members: Versioned[Members]


class ConfigurationStore:
    """Reads and writes plans, revisions and the list of routers.

    Every method may raise ``PlatformUnavailable``. A write may have taken
    effect by then, but repeating it is harmless.
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._large_changes = LargeChanges(objects)

    async def read_heads(self) -> Heads:
        """Return the head and the list of routers, as of one commit."""
        rows = await self._table.read((keys.HEAD, keys.MEMBERS))
        return Heads(
            decode_row(rows.get(keys.HEAD), Head),
            decode_row(rows.get(keys.MEMBERS), Members),
        )

    async def read_head(self) -> Versioned[Head]:
        """Return only the head, which stays small in any deployment."""
        rows = await self._table.read((keys.HEAD,))
        return decode_row(rows.get(keys.HEAD), Head)

    async def load_document(self) -> tuple[int, Document]:
        """Return the accepted revision and its document.

        Reads the revision before and after the items, and starts again if it
        has changed in between.

        :raises PlatformUnavailable: also if it changed during each of
            ``LOAD_ATTEMPTS`` attempts.
        """
        for _ in range(LOAD_ATTEMPTS):
            before = (await self.read_heads()).head
            rows = await self._table.scan(keys.ITEMS)
            after = (await self.read_heads()).head
            if before.value.revision == after.value.revision:
                return after.value.revision, build_document(rows)
        raise PlatformUnavailable(
            f'the configuration changed during each of {LOAD_ATTEMPTS} reads'
        )

    async def read_changes(
        self, after: int, until: int
    ) -> list[AcceptedChange]:
        """Return the changes of revisions ``after + 1`` to ``until``."""
        wanted = tuple(
            keys.format_change_key(revision)
            for revision in range(after + 1, until + 1)
        )
        rows = await self._table.read(wanted)
        changes = []
        for key in wanted:
            change = decode_existing(rows, key, AcceptedChange)
            changes.append(await self._large_changes.load(change))
        return changes

    async def read_plan(self, plan_id: str) -> Versioned[Plan] | None:
        """Return a plan, or None if it does not exist."""
        key = keys.format_plan_key(plan_id)
        rows = await self._table.read((key,))
        if key not in rows:
            return None
        row = rows[key]
        plan = msgspec.json.decode(row.value, type=Plan)
        return Versioned(plan, row.version)

    async def save_draft(self, plan: Plan) -> None:
        """Store a new plan."""
        key = keys.format_plan_key(plan.plan_id)
        await self._table.transact(
            Transaction((Check(key, ABSENT),), (make_write(key, plan),))
        )

    async def propose(
        self, plan: Versioned[Plan], head: Versioned[Head]
    ) -> None:
        """Make a plan the pending proposal.

        :raises ConditionFailed: if the head or the plan has changed.
        """
        key = keys.format_plan_key(plan.value.plan_id)
        proposed = msgspec.structs.replace(
            plan.value, state=PlanState.PROPOSED
        )
        new_head = Head(head.value.revision, plan.value.plan_id)
        await self._table.transact(
            Transaction(
                (Check(keys.HEAD, head.version), Check(key, plan.version)),
                (make_write(keys.HEAD, new_head), make_write(key, proposed)),
            )
        )

    async def withdraw(
        self, plan: Versioned[Plan], head: Versioned[Head]
    ) -> None:
        """Withdraw a plan that is not accepted.

        :raises ConditionFailed: if the head or the plan has changed.
        """
        key = keys.format_plan_key(plan.value.plan_id)
        withdrawn = msgspec.structs.replace(
            plan.value, state=PlanState.WITHDRAWN
        )
        checks = [Check(key, plan.version)]
        writes = [make_write(key, withdrawn)]
        if head.value.plan_id == plan.value.plan_id:
            checks.append(Check(keys.HEAD, head.version))
            writes.append(make_write(keys.HEAD, Head(head.value.revision)))
        await self._table.transact(Transaction(tuple(checks), tuple(writes)))

    async def acknowledge(self, plan_id: str, instance: str) -> None:
        """Record that a router enforces a plan from now on."""
        key = keys.format_acknowledgement_key(plan_id, instance)
        await self._table.transact(
            Transaction((), (make_write(key, {'plan_id': plan_id}),))
        )

    async def read_acknowledgements(self, plan_id: str) -> set[str]:
        """Return the instances that have acknowledged a plan."""
        prefix = keys.format_acknowledgement_prefix(plan_id)
        rows = await self._table.scan(prefix)
        return {row.key.removeprefix(prefix) for row in rows}

    async def accept(
        self,
        plan: Versioned[Plan],
        heads: Heads,
        acknowledged: set[str],
        gone: tuple[Member, ...],
    ) -> int:
        """Make a proposed plan the accepted revision and return its number.

        :param heads: the head and the list of routers for which the
            acknowledgements were counted.
        :param gone: routers to remove from the list.
        :raises ConditionFailed: if the head, the plan or the list of routers
            has changed since it was read.
        """
        revision = heads.head.value.revision + 1
        plan_id = plan.value.plan_id
        change = await self._large_changes.offload(revision, plan.value)
        accepted = msgspec.structs.replace(
            plan.value, state=PlanState.ACCEPTED, revision=revision
        )
        writes = [
            make_write(keys.HEAD, Head(revision)),
            make_write(keys.format_plan_key(plan_id), accepted),
            make_write(keys.format_change_key(revision), change),
            *(make_item_write(item) for item in plan.value.changes),
            *(
                Write(
                    keys.format_acknowledgement_key(plan_id, instance), REMOVED
                )
                for instance in sorted(acknowledged)
            ),
        ]
        if gone:
            instances = {member.instance for member in gone}
            remaining = heads.members.value.remove(instances)
            writes.append(make_write(keys.MEMBERS, remaining))
        checks = (
            Check(keys.HEAD, heads.head.version),
            Check(keys.MEMBERS, heads.members.version),
            Check(keys.format_plan_key(plan_id), plan.version),
        )
        await self._table.transact(Transaction(checks, tuple(writes)))
        return revision

    async def add_member(self, member: Member) -> None:
        """Register a router. This is idempotent."""
        await self._update_members(lambda members: members.add(member))

    async def remove_members(self, instances: set[str]) -> None:
        """Remove routers that have left or whose VM is gone."""
        await self._update_members(lambda members: members.remove(instances))

    async def _update_members(
        self, update: typing.Callable[[Members], Members]
    ) -> None:
        while True:
            known = (await self.read_heads()).members
            updated = update(known.value)
            if updated == known.value:
                return
            try:
                await self._table.transact(
                    Transaction(
                        (Check(keys.MEMBERS, known.version),),
                        (make_write(keys.MEMBERS, updated),),
                    )
                )
            except ConditionFailed:
                continue
            return
