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

"""Selects the aggregator to which a router reports its loads."""

from collections.abc import Callable

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.load_exchange import choose_aggregator
from lifttrestle.internal.fleet.policy.load_exchange import list_aggregators
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('peers')
# If a query is unanswered for this long, another aggregator is chosen. Answers
# take a few ms, and 0.1 s from a busy router.
TIMEOUT_SECONDS = 0.25
# How long a silent aggregator is avoided. A killed router is back after about
# two seconds.
AVOID_SECONDS = 3.0


class AggregatorChoice:
    """Chooses the aggregator of this router and detects its failure.

    :ivar get_allowance: returns by how many seconds other processes may be
        late, as this one is.
    """

    def __init__(self, roster: Roster, clock: Clock) -> None:
        self.get_allowance: Callable[[], float] = lambda: 0.0
        self._roster = roster
        self._clock = clock
        self._chosen = roster.key
        # Monotonic time of the oldest unanswered query, None without one.
        self._query_since: float | None = None
        self._avoided: dict[str, float] = {}
        self._applied_changes = -1
        self._neighbours: list[str] = [roster.key]
        self._candidates: list[str] = []
        self._remote_counts: dict[str, int] = {}

    def choose(self) -> str:
        """Return the router to report to; a silent one is replaced."""
        self._update_groups()
        now = self._clock.monotonic()
        silent = self._is_silent(now)
        if silent and self._chosen != self._roster.key:
            self._avoided[self._chosen] = now + AVOID_SECONDS
            LOG.info('peers.aggregator_silent', router=self._chosen)
        self._avoided = {
            key: until for key, until in self._avoided.items() if until > now
        }
        chosen = choose_aggregator(self._neighbours, self._avoided)
        if chosen != self._chosen or silent:
            self._chosen = chosen
            self._query_since = None
        return chosen

    def _is_silent(self, now: float) -> bool:
        if self._query_since is None:
            return False
        timeout = TIMEOUT_SECONDS + self.get_allowance()
        return now - self._query_since > timeout

    def note_query(self) -> None:
        """Record that a query was sent to the chosen router."""
        if self._query_since is None:
            self._query_since = self._clock.monotonic()

    def note_answer(self, key: str) -> bool:
        """Record an answer; return whether the chosen router sent it."""
        if key != self._chosen:
            return False
        self._query_since = None
        return True

    def count_neighbours(self) -> int:
        """Return the number of routers in this data centre."""
        self._update_groups()
        return len(self._neighbours)

    def list_neighbours(self) -> list[str]:
        """Return the routers of this data centre, including this one."""
        self._update_groups()
        return self._neighbours

    def count_remote_routers(self) -> dict[str, int]:
        """Return the number of routers in each other data centre."""
        self._update_groups()
        return self._remote_counts

    def list_candidates(self) -> list[str]:
        """Return the routers that may be aggregators, of all data centres."""
        self._update_groups()
        return self._candidates

    def _update_groups(self) -> None:
        """Group the routers by data centre if the roster has changed."""
        if self._applied_changes == self._roster.changes:
            return
        self._applied_changes = self._roster.changes
        groups: dict[str, list[str]] = {}
        for key in self._roster.routers:
            data_centre = self._roster.get_data_centre(key)
            if self._roster.get_address(key):
                groups.setdefault(data_centre, []).append(key)
        own = groups.get(self._roster.data_centre, [])
        self._neighbours = own or [self._roster.key]
        self._remote_counts = {
            data_centre: len(group)
            for data_centre, group in groups.items()
            if data_centre != self._roster.data_centre
        }
        self._candidates = [
            key for group in groups.values() for key in list_aggregators(group)
        ]
