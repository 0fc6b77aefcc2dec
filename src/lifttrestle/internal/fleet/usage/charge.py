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

"""What one request takes of its workspace's cap, and gives back."""

from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.fleet.usage.ledger import UsageDecision
from lifttrestle.internal.fleet.usage.ledger import UsageLedger


class UsageCharge:
    """Counts a request once for each upstream that may have run it.

    The first time is asked for: it is refused when nothing is left. A request
    that is sent again, or a stream that goes on elsewhere, counts again
    without a question, as the caller has been promised to be served. What an
    upstream turned away, or was never sent, counts nothing.
    """

    def __init__(
        self, ledger: UsageLedger, workspace: Workspace, tokens: int | None
    ) -> None:
        self._ledger = ledger
        self._workspace = workspace
        cap = workspace.cap
        self._units = cap.count_units(tokens) if cap is not None else 0.0
        # Units that are taken and not yet used by a send.
        self._taken = 0.0

    def admit(self) -> UsageDecision | None:
        """Take what one run counts, if something is left; tell what decided.

        Nothing is returned for a workspace without a cap.
        """
        facts = self._ledger.admit(self._workspace, self._units)
        if facts is not None and facts.retry_seconds is None:
            self._taken = self._units
        return facts

    def note_sent(self) -> None:
        """Count a send."""
        if not self._taken:
            self._ledger.take(self._workspace, self._units)
        self._taken = 0.0

    def note_not_run(self) -> None:
        """Have the next send count for the last one, which did not run."""
        self._taken = self._units

    def settle(self) -> None:
        """Give back what no send has used."""
        if self._taken:
            self._ledger.take(self._workspace, -self._taken)
        self._taken = 0.0
