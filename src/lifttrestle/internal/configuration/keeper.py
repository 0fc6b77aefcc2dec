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
import dataclasses
import logging

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.plan import AcceptedChange
from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.configuration.plan import PlanState
from lifttrestle.internal.configuration.plan_progress import compute_progress
from lifttrestle.internal.configuration.plan_progress import PlanProgress
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
# Accepted changes kept for peers that lag by a few revisions.
MAX_RECENT_CHANGES = 256
# While a proposal is pending, the poll interval is multiplied by this.
PROPOSAL_POLL_FACTOR = 0.5
# Without a proposal, one of this many polls reads the list of routers.
POLLS_PER_MEMBERS_READ = 10


@dataclasses.dataclass
class PlatformStatus:
    """What the last polls of the platform returned.

    :ivar table_up: whether the last poll of the table succeeded.
    :ivar members: the registered routers, as read last.
    :ivar vms: the VM list, or None until it was read once.
    """

    table_up: bool = False
    members: Members = Members()
    vms: dict[str, Vm] | None = None


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
        self._view = EMPTY_VIEW
        self._loaded = False
        self._registered = False
        self._outage_logged = False
        self._acknowledged = ''
        self._polls = 0
        self._members: Versioned[Members] = Versioned(Members(), 0)
        self._changed = asyncio.Event()
        self._wake = asyncio.Event()
        self._recent: list[AcceptedChange] = []

    @property
    def view(self) -> View:
        """Return the view that applies to new requests."""
        return self._view

    @property
    def loaded(self) -> bool:
        """Return whether a configuration was read, from any source."""
        return self._loaded

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
        await self._changed.wait()

    async def run(self) -> None:
        """Poll until the task is cancelled."""
        while True:
            self._wake.clear()
            await self.poll()
            seconds = self._poll_seconds
            if self._view.proposal is not None:
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
            self._record_outage(error)
            return False
        self._record_success()
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
        newer = [item for item in self._recent if item.revision > revision]
        if len(newer) != self._view.revision - revision:
            return None
        return newer

    def apply_changes(self, changes: list[AcceptedChange]) -> None:
        """Apply accepted changes in order, ignoring any out of sequence."""
        for change in changes:
            if change.revision == self._view.revision + 1:
                self._apply_accepted_change(change)

    def apply_document(
        self,
        revision: int,
        document: Document,
        proposal: Plan | None,
        origin: str = 'a peer',
    ) -> None:
        """Apply a document, unless its revision or a later one is loaded.

        Documents come from the table and from peers. A peer may send a later
        revision while the table is being read, and the earlier one must not
        replace it.

        :param origin: where the document comes from, for the log.
        """
        if self._loaded and revision <= self._view.revision:
            return
        self._loaded = True
        self._set_view(build_view(revision, document, proposal))
        LOG.info('configuration: loaded revision %d from %s', revision, origin)

    def apply_proposal(self, plan: Plan) -> None:
        """Enforce a proposal from a peer, without acknowledging it."""
        if plan.base != self._view.revision or self._view.proposal is not None:
            return
        self._enforce_proposal(plan)

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
        if not self._loaded:
            revision, document = await self._store.load_document()
            self.apply_document(revision, document, None, 'the table')
        if head.revision > self._view.revision:
            changes = await self._store.read_changes(
                self._view.revision, head.revision
            )
            self.apply_changes(changes)
        if head.revision < self._view.revision:
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
        known = self._view.proposal
        if known is not None and known.plan_id != plan_id:
            # The head doesn't name the plan, and the plan was not accepted,
            # so it was withdrawn.
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
            # While the plan was being read, a peer sent a later revision.
            return
        if self._view.proposal is None:
            self._enforce_proposal(plan.value)
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

    def _enforce_proposal(self, plan: Plan) -> None:
        self._set_view(
            build_view(self._view.revision, self._view.accepted, plan)
        )
        LOG.info('configuration: enforcing proposed plan %s', plan.plan_id)

    def _apply_accepted_change(self, change: AcceptedChange) -> None:
        document = self._view.accepted.apply(change.changes)
        self._set_view(build_view(change.revision, document, None))
        self._recent = [*self._recent, change][-MAX_RECENT_CHANGES:]
        LOG.info(
            'configuration: revision %d in force, plan %s',
            change.revision,
            change.plan_id,
        )

    def _set_view(self, view: View) -> None:
        self._view = view
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _record_success(self) -> None:
        if self._outage_logged:
            self._outage_logged = False
            LOG.info('configuration: table service available again')
        self.platform_status.table_up = True

    def _record_outage(self, error: PlatformUnavailable) -> None:
        if not self._outage_logged:
            self._outage_logged = True
            LOG.warning('configuration: table service unavailable: %s', error)
        self.platform_status.table_up = False
