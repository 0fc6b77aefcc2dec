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

"""Charges a request to the usage cap of its workspace."""

from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.fleet.usage.ledger import UsageDecision
from lifttrestle.internal.fleet.usage.ledger import UsageLedger


class UsageCharge:
    """Charges a request once for each upstream that may have run it.

    Only the first charge is subject to admission and is refused if the cap is
    exhausted. A retry, or a stream that is resumed at another upstream, is
    charged without admission, since the request has already been accepted. A
    send that the upstream declined, or that was never made, is not charged.

    :param tokens: size of the request, None if it is not known.
    """

    def __init__(
        self, ledger: UsageLedger, workspace: Workspace, tokens: int | None
    ) -> None:
        self._ledger = ledger
        self._workspace = workspace
        cap = workspace.cap
        self._units = cap.count_units(tokens) if cap is not None else 0.0
        # Units that are charged but not yet used by a send.
        self._reserved = 0.0

    def admit(self) -> UsageDecision | None:
        """Charge one run if the cap permits it.

        :returns: the decision, None for a workspace without a cap.
        """
        decision = self._ledger.admit(self._workspace, self._units)
        if decision is not None and decision.retry_seconds is None:
            self._reserved = self._units
        return decision

    def note_sent(self) -> None:
        """Charge a send, unless its units are already reserved."""
        if not self._reserved:
            self._ledger.take(self._workspace, self._units)
        self._reserved = 0.0

    def note_not_run(self) -> None:
        """Reuse the charge of the last send, which did not run."""
        self._reserved = self._units

    def settle(self) -> None:
        """Return the units that no send has used."""
        if self._reserved:
            self._ledger.take(self._workspace, -self._reserved)
        self._reserved = 0.0
