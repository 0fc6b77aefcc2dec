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

"""The configuration's rows in the platform's table service."""

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
from lifttrestle.internal.configuration.row_format import Versioned
from lifttrestle.internal.configuration.row_format import write_item
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

LOAD_TRIES = 5


@dataclasses.dataclass(frozen=True)
class Heads:
    """The two rows that every router polls, read as of one commit."""

    head: Versioned[Head]
    members: Versioned[Members]


class ConfigurationStore:
    """Reads and writes plans, revisions and the list of routers.

    Every method may raise ``PlatformUnavailable``; a write may then have
    taken effect, and each of them is harmless to repeat.
    """

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._large_changes = LargeChanges(objects)

    async def read_heads(self) -> Heads:
        """Return the head and the members."""
        rows = await self._table.read((keys.HEAD, keys.MEMBERS))
        return Heads(
            decode_row(rows.get(keys.HEAD), Head),
            decode_row(rows.get(keys.MEMBERS), Members),
        )

    async def read_head(self) -> Versioned[Head]:
        """Return the head alone, which stays small at any size."""
        rows = await self._table.read((keys.HEAD,))
        return decode_row(rows.get(keys.HEAD), Head)

    async def load_document(self) -> tuple[int, Document]:
        """Return the accepted revision and its whole document."""
        for _ in range(LOAD_TRIES):
            before = (await self.read_heads()).head
            rows = await self._table.scan(keys.ITEMS)
            after = (await self.read_heads()).head
            if before.value.revision == after.value.revision:
                return after.value.revision, build_document(rows)
        raise PlatformUnavailable(
            f'the configuration changed during each of {LOAD_TRIES} reads'
        )

    async def read_changes(
        self, after: int, until: int
    ) -> list[AcceptedChange]:
        """Return the changes that made the revisions in between."""
        wanted = tuple(
            keys.name_change(revision)
            for revision in range(after + 1, until + 1)
        )
        rows = await self._table.read(wanted)
        changes = []
        for key in wanted:
            change = decode_existing(rows, key, AcceptedChange)
            changes.append(await self._large_changes.load(change))
        return changes

    async def read_plan(self, plan_id: str) -> Versioned[Plan] | None:
        """Return a plan, or None if there is no such plan."""
        key = keys.name_plan(plan_id)
        rows = await self._table.read((key,))
        if key not in rows:
            return None
        row = rows[key]
        plan = msgspec.json.decode(row.value, type=Plan)
        return Versioned(plan, row.version)

    async def save_draft(self, plan: Plan) -> None:
        """Store a new plan."""
        key = keys.name_plan(plan.plan_id)
        await self._table.transact(
            Transaction((Check(key, ABSENT),), (make_write(key, plan),))
        )

    async def propose(
        self, plan: Versioned[Plan], head: Versioned[Head]
    ) -> None:
        """Make a plan the one proposal.

        :raises ConditionFailed: if the head or the plan has changed.
        """
        key = keys.name_plan(plan.value.plan_id)
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
        """Take a plan back before it is accepted.

        :raises ConditionFailed: if the head or the plan has changed.
        """
        key = keys.name_plan(plan.value.plan_id)
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
        """Record that a router obeys a plan from now on."""
        key = keys.name_acknowledgement(plan_id, instance)
        await self._table.transact(
            Transaction((), (make_write(key, {'plan_id': plan_id}),))
        )

    async def read_acknowledgements(self, plan_id: str) -> set[str]:
        """Return the instances that have acknowledged a plan."""
        prefix = keys.list_acknowledgements(plan_id)
        rows = await self._table.scan(prefix)
        return {row.key.removeprefix(prefix) for row in rows}

    async def accept(
        self,
        plan: Versioned[Plan],
        heads: Heads,
        acknowledged: set[str],
        gone: tuple[Member, ...],
    ) -> int:
        """Put a proposed plan in force and return its revision.

        One transaction checks the head, the plan and the list of routers
        whose acknowledgements were counted.

        :raises ConditionFailed: if any of them has changed since.
        """
        revision = heads.head.value.revision + 1
        plan_id = plan.value.plan_id
        change = await self._large_changes.offload(revision, plan.value)
        accepted = msgspec.structs.replace(
            plan.value, state=PlanState.ACCEPTED, revision=revision
        )
        writes = [
            make_write(keys.HEAD, Head(revision)),
            make_write(keys.name_plan(plan_id), accepted),
            make_write(keys.name_change(revision), change),
            *(write_item(item) for item in plan.value.changes),
            *(
                Write(keys.name_acknowledgement(plan_id, instance), REMOVED)
                for instance in sorted(acknowledged)
            ),
        ]
        if gone:
            instances = {member.instance for member in gone}
            left = heads.members.value.remove(instances)
            writes.append(make_write(keys.MEMBERS, left))
        checks = (
            Check(keys.HEAD, heads.head.version),
            Check(keys.MEMBERS, heads.members.version),
            Check(keys.name_plan(plan_id), plan.version),
        )
        await self._table.transact(Transaction(checks, tuple(writes)))
        return revision

    async def add_member(self, member: Member) -> None:
        """Register a router; repeating it changes nothing."""
        await self._change_members(lambda members: members.add(member))

    async def remove_members(self, instances: set[str]) -> None:
        """Remove routers that have left or whose VM is gone."""
        await self._change_members(lambda members: members.remove(instances))

    async def _change_members(
        self, change: typing.Callable[[Members], Members]
    ) -> None:
        while True:
            known = (await self.read_heads()).members
            wanted = change(known.value)
            if wanted == known.value:
                return
            try:
                await self._table.transact(
                    Transaction(
                        (Check(keys.MEMBERS, known.version),),
                        (make_write(keys.MEMBERS, wanted),),
                    )
                )
            except ConditionFailed:
                continue
            return
