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

"""The configuration that applies to new requests, and its recent changes."""

import asyncio
import logging

from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.plan import AcceptedChange
from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.configuration.view import build_view
from lifttrestle.internal.configuration.view import EMPTY_VIEW
from lifttrestle.internal.configuration.view import View

LOG = logging.getLogger('lifttrestle.configuration')
# Accepted changes kept for peers that lag by a few revisions.
MAX_RECENT_CHANGES = 256


class CurrentView:
    """Applies documents, accepted changes and proposals to the view.

    :ivar view: the view that applies to new requests.
    :ivar loaded: whether a configuration was read, from any source.
    """

    def __init__(self) -> None:
        self.view: View = EMPTY_VIEW
        self.loaded = False
        self._changed = asyncio.Event()
        self._recent: list[AcceptedChange] = []

    async def wait_for_change(self) -> None:
        """Wait until the view has changed."""
        await self._changed.wait()

    def list_changes_after(self, revision: int) -> list[AcceptedChange] | None:
        """Return the accepted changes after ``revision``.

        None if some of them are no longer kept.
        """
        newer = [item for item in self._recent if item.revision > revision]
        if len(newer) != self.view.revision - revision:
            return None
        return newer

    def apply_changes(self, changes: list[AcceptedChange]) -> None:
        """Apply accepted changes in order, ignoring any out of sequence."""
        for change in changes:
            if change.revision == self.view.revision + 1:
                self._apply_accepted_change(change)

    def apply_document(
        self,
        revision: int,
        document: Document,
        proposal: Plan | None,
        origin: str,
    ) -> None:
        """Apply a document, unless its revision or a later one is loaded.

        Documents come from the table and from peers. A peer may send a later
        revision while the table is being read, and the earlier one must not
        replace it.

        :param origin: where the document comes from, for the log.
        """
        if self.loaded and revision <= self.view.revision:
            return
        self.loaded = True
        self._set_view(build_view(revision, document, proposal))
        LOG.info('configuration: loaded revision %d from %s', revision, origin)

    def apply_proposal(self, plan: Plan) -> None:
        """Enforce a proposal for the loaded revision, unless there is one."""
        if plan.base != self.view.revision or self.view.proposal is not None:
            return
        self._set_view(
            build_view(self.view.revision, self.view.accepted, plan)
        )
        LOG.info('configuration: enforcing proposed plan %s', plan.plan_id)

    def withdraw_proposal(self, plan: Plan) -> None:
        """Stop enforcing the proposal, which was withdrawn.

        :param plan: the proposal of the view.
        """
        self._set_view(
            build_view(self.view.revision, self.view.accepted, None)
        )
        LOG.info('configuration: plan %s was withdrawn', plan.plan_id)

    def _apply_accepted_change(self, change: AcceptedChange) -> None:
        document = self.view.accepted.apply(change.changes)
        self._set_view(build_view(change.revision, document, None))
        self._recent = [*self._recent, change][-MAX_RECENT_CHANGES:]
        LOG.info(
            'configuration: revision %d in force, plan %s',
            change.revision,
            change.plan_id,
        )

    def _set_view(self, view: View) -> None:
        self.view = view
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
