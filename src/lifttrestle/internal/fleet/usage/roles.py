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

"""Determines whether this router aggregates usage or uses an aggregator."""

from lifttrestle.internal.fleet.policy.load_exchange import uses_aggregation
from lifttrestle.internal.fleet.state.aggregator_choice import AggregatorChoice
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.usage.ledger import UsageLedger


class UsageRoles:
    """Configures the ledger by the roster and the choice of aggregators."""

    def __init__(
        self, ledger: UsageLedger, roster: Roster, choice: AggregatorChoice
    ) -> None:
        self._ledger = ledger
        self._roster = roster
        self._choice = choice
        self._applied: tuple[int, int, bool] | None = None
        self.update(roster.key)

    def update(self, aggregator: str) -> None:
        """Apply the current roster and aggregator to the ledger.

        :param aggregator: key of the aggregator of this router; only relevant
            in a large fleet.
        """
        live = self._roster.live
        uses_aggregator = (
            uses_aggregation(live) and aggregator != self._roster.key
        )
        # Until the roster is loaded this router is limited to its share.
        uses_aggregator = uses_aggregator or not self._roster.loaded
        state = (self._roster.changes, live, uses_aggregator)
        if state == self._applied:
            return
        self._applied = state
        if uses_aggregator:
            self._ledger.use_aggregator(live)
        else:
            self._ledger.use_groups(self._list_groups(live))

    def _list_groups(self, live: int) -> dict[str, int]:
        if not uses_aggregation(live):
            return dict.fromkeys(self._roster.list_others(), 1)
        groups = dict.fromkeys(self._choice.list_neighbours(), 1)
        groups.pop(self._roster.key, None)
        groups.update(self._choice.count_remote_routers())
        return groups
