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

"""Keeps the view that one router has of the configuration up to date.

The task that runs ``run`` polls the table service. Other tasks read the view,
wait until it changes, or apply what a peer has sent.
"""

import asyncio
import logging

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.configuration.current_view import CurrentView
from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.plan import AcceptedChange
from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.configuration.plan import PlanState
from lifttrestle.internal.configuration.plan_progress import compute_progress
from lifttrestle.internal.configuration.plan_progress import PlanProgress
from lifttrestle.internal.configuration.platform_status import PlatformStatus
from lifttrestle.internal.configuration.row_format import Versioned
from lifttrestle.internal.configuration.store import ConfigurationStore
from lifttrestle.internal.configuration.store import Heads
from lifttrestle.internal.configuration.view import View
from lifttrestle.internal.membership.member import Member
from lifttrestle.internal.membership.member import Members
from lifttrestle.internal.membership.sponsorship import Sponsorship

LOG = logging.getLogger('lifttrestle.configuration')
# While a proposal is pending, the poll interval is multiplied by this.
PROPOSAL_POLL_FACTOR = 0.5
# Without a proposal, one of this many polls reads the list of routers.
POLLS_PER_MEMBERS_READ = 10


class ConfigurationKeeper:
    """Polls the table, acknowledges proposals and accepts complete ones.

    :param member: the entry of this process in the list of routers.
    :param poll_seconds: interval between two polls without a proposal.
    :param sponsorship: unregistered routers that must enforce a proposal
        before this one acknowledges it.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        member: Member,
        poll_seconds: float,
        sponsorship: Sponsorship,
    ) -> None:
        self.platform_status = PlatformStatus()
        self._store = store
        self._member = member
        self._poll_seconds = poll_seconds
        self._sponsorship = sponsorship
        self._current = CurrentView()
        self._registered = False
        self._acknowledged = ''
        self._polls = 0
        self._members: Versioned[Members] = Versioned(Members(), 0)
        self._wake = asyncio.Event()

    @property
    def view(self) -> View:
        """Return the view that applies to new requests."""
        return self._current.view

    @property
    def loaded(self) -> bool:
        """Return whether a configuration was read, from any source."""
        return self._current.loaded

    @property
    def registered(self) -> bool:
        """Return whether this process is in the list of routers."""
        return self._registered

    @property
    def member(self) -> Member:
        """Return the entry of this process in the list of routers."""
        return self._member

    def set_peers_address(self, address: str) -> None:
        """Set the address at which peers reach this process.

        Has to precede the first poll, which registers the address.
        """
        self._member = msgspec.structs.replace(self._member, peers=address)

    def request_poll(self) -> None:
        """Poll without waiting for the interval to elapse."""
        self._wake.set()

    async def wait_for_change(self) -> None:
        """Wait until the view has changed."""
        await self._current.wait_for_change()

    async def run(self) -> None:
        """Poll until the task is cancelled."""
        while True:
            self._wake.clear()
            await self.poll()
            seconds = self._poll_seconds
            if self.view.proposal is not None:
                seconds *= PROPOSAL_POLL_FACTOR
            try:
                async with asyncio.timeout(seconds):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def poll(self) -> bool:
        """Poll the table once; return whether it answered."""
        try:
            await self._register()
            await self._catch_up()
        except ConditionFailed:
            return True
        except PlatformUnavailable as error:
            self.platform_status.record_outage(error)
            return False
        self.platform_status.record_success()
        return True

    async def deregister(self) -> None:
        """Remove this process from the list of routers."""
        try:
            await self._store.remove_members({self._member.instance})
        except PlatformUnavailable as error:
            LOG.warning('configuration: failed to deregister: %s', error)

    def list_changes_after(self, revision: int) -> list[AcceptedChange] | None:
        """Return the accepted changes after ``revision``.

        None if some of them are no longer kept; the peer then needs the whole
        document.
        """
        return self._current.list_changes_after(revision)

    def apply_changes(self, changes: list[AcceptedChange]) -> None:
        """Apply accepted changes in order, ignoring any out of sequence."""
        self._current.apply_changes(changes)

    def apply_document(
        self,
        revision: int,
        document: Document,
        proposal: Plan | None,
        origin: str = 'a peer',
    ) -> None:
        """Apply a document, unless its revision or a later one is loaded.

        :param origin: where the document comes from, for the log.
        """
        self._current.apply_document(revision, document, proposal, origin)

    def apply_proposal(self, plan: Plan) -> None:
        """Enforce a proposal from a peer, without acknowledging it."""
        self._current.apply_proposal(plan)

    async def read_progress(self, plan: Plan) -> PlanProgress:
        """Return which routers have not acknowledged a proposed plan.

        :raises PlatformUnavailable: if the table does not answer.
        """
        heads = await self._store.read_heads()
        acknowledged = await self._store.read_acknowledgements(plan.plan_id)
        return compute_progress(
            plan, heads.members.value, acknowledged, self.platform_status.vms
        )

    async def _register(self) -> None:
        """Add this process to the list of routers, or update its entry.

        This precedes the first read of the configuration, so that no change
        made after it can be accepted before this process acknowledges it.
        The entry is updated when the VM list first shows the VM.
        """
        vms = self.platform_status.vms or {}
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
        if not self.loaded:
            revision, document = await self._store.load_document()
            self.apply_document(revision, document, None, 'the table')
        if head.revision > self.view.revision:
            changes = await self._store.read_changes(
                self.view.revision, head.revision
            )
            self.apply_changes(changes)
        if head.revision < self.view.revision:
            return
        await self._handle_proposal(heads)

    async def _read_heads(self) -> Heads:
        """Return the head and the list of routers, which may be cached.

        The list grows with the number of routers, so it is read only while
        there is a proposal and once every ``POLLS_PER_MEMBERS_READ`` polls.
        """
        self._polls += 1
        head = await self._store.read_head()
        members_due = self._polls % POLLS_PER_MEMBERS_READ == 1
        if not head.value.plan_id and not members_due:
            return Heads(head, self._members)
        heads = await self._store.read_heads()
        self._members = heads.members
        self.platform_status.members = heads.members.value
        if not heads.members.value.contains(self._member.instance):
            # Another router removed this one as gone. Changes accepted since
            # did not wait for its acknowledgement.
            LOG.warning('configuration: no longer in the list of routers')
            self._registered = False
        return heads

    async def _handle_proposal(self, heads: Heads) -> None:
        plan_id = heads.head.value.plan_id
        known = self.view.proposal
        if known is not None and known.plan_id != plan_id:
            # The head doesn't name the plan, and the plan was not accepted,
            # so it was withdrawn.
            self._current.withdraw_proposal(known)
        if not plan_id:
            return
        plan = await self._store.read_plan(plan_id)
        if plan is None or plan.value.state is not PlanState.PROPOSED:
            return
        if self.view.revision != plan.value.base:
            # While the plan was being read, a peer sent a later revision.
            return
        self._current.apply_proposal(plan.value)
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
        progress = compute_progress(
            plan.value,
            heads.members.value,
            acknowledged,
            self.platform_status.vms,
        )
        if not progress.complete:
            return
        revision = await self._store.accept(
            plan, heads, acknowledged, progress.gone
        )
        accepted = AcceptedChange(
            revision, plan.value.plan_id, plan.value.changes
        )
        self.apply_changes([accepted])
