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

"""Keeps one router's view of the configuration up to date.

The task that runs ``run`` owns the view. Others read it, wait for it to
change, or hand it what a peer has told.
"""

import asyncio
import dataclasses
import logging

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.judgement import judge_plan
from lifttrestle.internal.configuration.judgement import Judgement
from lifttrestle.internal.configuration.plan import AcceptedChange
from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.configuration.plan import PlanState
from lifttrestle.internal.configuration.row_format import Versioned
from lifttrestle.internal.configuration.store import ConfigurationStore
from lifttrestle.internal.configuration.store import Heads
from lifttrestle.internal.configuration.view import build_view
from lifttrestle.internal.configuration.view import EMPTY_VIEW
from lifttrestle.internal.configuration.view import View
from lifttrestle.internal.membership.member import Member
from lifttrestle.internal.membership.member import Members
from lifttrestle.internal.membership.sponsorship import Sponsorship
from lifttrestle.internal.store.vm import Vm

LOG = logging.getLogger('lifttrestle.configuration')
# Changes kept for peers that are a little behind.
KEPT_CHANGES = 256
# While the fate of a proposal is open, polls are this much closer.
PROPOSAL_POLL_SHARE = 0.5
# How many polls pass between two readings of the list of routers.
MEMBERS_EVERY_POLLS = 10


@dataclasses.dataclass
class PlatformSight:
    """What the last polls of the platform have shown.

    :ivar table_up: whether the last poll of the table succeeded.
    :ivar vms: the VM list, or None until it was read once.
    """

    table_up: bool = False
    members: Members = Members()
    vms: dict[str, Vm] | None = None


class ConfigurationKeeper:
    """Polls the table, acknowledges proposals and accepts complete ones."""

    def __init__(
        self,
        store: ConfigurationStore,
        member: Member,
        poll_seconds: float,
        sponsorship: Sponsorship,
    ) -> None:
        self.sight = PlatformSight()
        self._store = store
        self._member = member
        self._poll_seconds = poll_seconds
        self._sponsorship = sponsorship
        self._view = EMPTY_VIEW
        self._loaded = False
        self._registered = False
        self._outage_told = False
        self._acknowledged = ''
        self._polls = 0
        self._members: Versioned[Members] = Versioned(Members(), 0)
        self._changed = asyncio.Event()
        self._wake = asyncio.Event()
        self._recent: list[AcceptedChange] = []

    @property
    def view(self) -> View:
        """Return the view that requests obey now."""
        return self._view

    @property
    def loaded(self) -> bool:
        """Return whether a whole configuration was read from anywhere."""
        return self._loaded

    @property
    def registered(self) -> bool:
        """Return whether this process stands in the list of routers."""
        return self._registered

    @property
    def member(self) -> Member:
        """Return this process as it stands in the list of routers."""
        return self._member

    def set_peers_address(self, address: str) -> None:
        """Set where peers reach this process, before the first poll."""
        self._member = msgspec.structs.replace(self._member, peers=address)

    def poll_soon(self) -> None:
        """Poll without waiting for the period to end."""
        self._wake.set()

    async def wait_for_change(self) -> None:
        """Return when the view has changed."""
        await self._changed.wait()

    async def run(self) -> None:
        """Poll until the task is cancelled."""
        while True:
            self._wake.clear()
            await self.poll()
            seconds = self._poll_seconds
            if self._view.proposal is not None:
                seconds *= PROPOSAL_POLL_SHARE
            try:
                async with asyncio.timeout(seconds):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def poll(self) -> bool:
        """Catch up with the table once; return whether it answered."""
        try:
            await self._register()
            await self._catch_up()
        except ConditionFailed:
            return True
        except PlatformUnavailable as error:
            self._note_outage(error)
            return False
        self._note_table()
        return True

    async def leave(self) -> None:
        """Take this process off the list of routers."""
        try:
            await self._store.remove_members({self._member.instance})
        except PlatformUnavailable as error:
            LOG.warning('configuration: not taken off the list: %s', error)

    def list_changes_after(self, revision: int) -> list[AcceptedChange] | None:
        """Return the changes a peer lacks, or None if it needs the whole."""
        newer = [item for item in self._recent if item.revision > revision]
        if len(newer) != self._view.revision - revision:
            return None
        return newer

    def take_changes(self, changes: list[AcceptedChange]) -> None:
        """Apply accepted changes that a peer knows, in order."""
        for change in changes:
            if change.revision == self._view.revision + 1:
                self._apply_change(change)

    def take_document(
        self,
        revision: int,
        document: Document,
        proposal: Plan | None,
        origin: str = 'a peer',
    ) -> None:
        """Take a whole configuration, if it is newer than what is known.

        While the table is read a peer may tell of a later revision, so this
        is the only way in for both.
        """
        if self._loaded and revision <= self._view.revision:
            return
        self._loaded = True
        self._set_view(build_view(revision, document, proposal))
        LOG.info('configuration: revision %d from %s', revision, origin)

    def take_proposal(self, plan: Plan) -> None:
        """Obey a proposal that a peer knows, without acknowledging it."""
        if plan.base != self._view.revision or self._view.proposal is not None:
            return
        self._obey(plan)

    async def judge(self, plan: Plan) -> Judgement:
        """Return who has not acknowledged a proposed plan."""
        heads = await self._store.read_heads()
        acknowledged = await self._store.read_acknowledgements(plan.plan_id)
        return judge_plan(
            plan, heads.members.value, acknowledged, self.sight.vms
        )

    async def _register(self) -> None:
        """Stand in the list before anything is read.

        So no change can be accepted without being acknowledged here.
        """
        vms = self.sight.vms or {}
        listed = self._member.listed or self._member.vm in vms
        if self._registered and listed == self._member.listed:
            return
        member = msgspec.structs.replace(self._member, listed=listed)
        await self._store.add_member(member)
        self._member = member
        self._registered = True

    async def _catch_up(self) -> None:
        heads = await self._read_heads()
        head = heads.head.value
        if not self._loaded:
            revision, document = await self._store.load_document()
            self.take_document(revision, document, None, 'the table')
        if head.revision > self._view.revision:
            changes = await self._store.read_changes(
                self._view.revision, head.revision
            )
            self.take_changes(changes)
        if head.revision < self._view.revision:
            return
        await self._follow_proposal(heads)

    async def _read_heads(self) -> Heads:
        """Return the head, and the list of routers where it matters.

        The list grows with the routers, so it is not read at each poll: only
        while there is a proposal, and now and then.
        """
        self._polls += 1
        head = await self._store.read_head()
        due = self._polls % MEMBERS_EVERY_POLLS == 1
        if not head.value.plan_id and not due:
            return Heads(head, self._members)
        heads = await self._store.read_heads()
        self._members = heads.members
        self.sight.members = heads.members.value
        if not heads.members.value.contains(self._member.instance):
            # Taken for gone: what was accepted since did not wait for us.
            LOG.warning('configuration: not on the list any more')
            self._registered = False
        return heads

    async def _follow_proposal(self, heads: Heads) -> None:
        plan_id = heads.head.value.plan_id
        known = self._view.proposal
        if known is not None and known.plan_id != plan_id:
            # The table says so itself: the plan was withdrawn.
            self._set_view(
                build_view(self._view.revision, self._view.accepted, None)
            )
            LOG.info('configuration: plan %s was withdrawn', known.plan_id)
        if not plan_id:
            return
        plan = await self._store.read_plan(plan_id)
        if plan is None or plan.value.state is not PlanState.PROPOSED:
            return
        if self._view.revision != plan.value.base:
            # A peer has told meanwhile that it is decided.
            return
        if self._view.proposal is None:
            self._obey(plan.value)
        await self._acknowledge(plan_id)
        await self._accept_if_complete(plan, heads)

    async def _acknowledge(self, plan_id: str) -> None:
        if self._acknowledged == plan_id:
            return
        if not self._sponsorship.all_enforce(plan_id):
            return
        await self._store.acknowledge(plan_id, self._member.instance)
        self._acknowledged = plan_id
        LOG.info('configuration: acknowledged plan %s', plan_id)

    async def _accept_if_complete(
        self, plan: Versioned[Plan], heads: Heads
    ) -> None:
        acknowledged = await self._store.read_acknowledgements(
            plan.value.plan_id
        )
        judgement = judge_plan(
            plan.value, heads.members.value, acknowledged, self.sight.vms
        )
        if not judgement.complete:
            return
        revision = await self._store.accept(
            plan, heads, acknowledged, judgement.gone
        )
        accepted = AcceptedChange(
            revision, plan.value.plan_id, plan.value.changes
        )
        self.take_changes([accepted])

    def _obey(self, plan: Plan) -> None:
        self._set_view(
            build_view(self._view.revision, self._view.accepted, plan)
        )
        LOG.info('configuration: obeying plan %s as well', plan.plan_id)

    def _apply_change(self, change: AcceptedChange) -> None:
        document = self._view.accepted.apply(change.changes)
        self._set_view(build_view(change.revision, document, None))
        self._recent = [*self._recent, change][-KEPT_CHANGES:]
        LOG.info(
            'configuration: revision %d in force, plan %s',
            change.revision,
            change.plan_id,
        )

    def _set_view(self, view: View) -> None:
        self._view = view
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _note_table(self) -> None:
        if self._outage_told:
            self._outage_told = False
            LOG.info('configuration: the table service answers')
        self.sight.table_up = True

    def _note_outage(self, error: PlatformUnavailable) -> None:
        if not self._outage_told:
            self._outage_told = True
            LOG.warning('configuration: no table service: %s', error)
        self.sight.table_up = False
