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

"""Which routers add up loads, as one router sees it."""

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.load_paths import choose_aggregator
from lifttrestle.internal.fleet.policy.load_paths import list_aggregators
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('peers')
# An answer takes some ms, 0.1 s from a router that is busy; when a question
# has had none for this long, another router is asked.
SILENT_SECONDS = 0.25
# A router that was killed is back after some two seconds.
AVOID_SECONDS = 3.0


class AggregatorChoice:
    """Chooses whom to tell loads, and notices when there is no answer."""

    def __init__(self, roster: Roster, clock: Clock) -> None:
        self._roster = roster
        self._clock = clock
        self._chosen = roster.key
        # Since when a question is open, None while there is none.
        self._open_since: float | None = None
        self._avoided: dict[str, float] = {}
        self._seen_changes = -1
        self._neighbours: list[str] = [roster.key]
        self._all: list[str] = []
        self._elsewhere: dict[str, int] = {}

    def choose(self) -> str:
        """Return the router that is to be told now."""
        self._look_again()
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
            self._open_since = None
        return chosen

    def _is_silent(self, now: float) -> bool:
        if self._open_since is None:
            return False
        return now - self._open_since > SILENT_SECONDS

    def note_query(self) -> None:
        """Note a question to the chosen router."""
        if self._open_since is None:
            self._open_since = self._clock.monotonic()

    def note_answer(self, key: str) -> bool:
        """Note a sum; return whether it is that of the chosen router."""
        if key != self._chosen:
            return False
        self._open_since = None
        return True

    def count_neighbours(self) -> int:
        """Return how many routers the own data centre has."""
        self._look_again()
        return len(self._neighbours)

    def list_neighbours(self) -> list[str]:
        """Return the routers of the own data centre, this one among them."""
        self._look_again()
        return self._neighbours

    def count_remote_routers(self) -> dict[str, int]:
        """Return how many routers each other data centre has."""
        self._look_again()
        return self._elsewhere

    def list_candidates(self) -> list[str]:
        """Return those that are likely to add up in any data centre."""
        self._look_again()
        return self._all

    def _look_again(self) -> None:
        """Group the routers anew if the roster has changed."""
        if self._seen_changes == self._roster.changes:
            return
        self._seen_changes = self._roster.changes
        groups: dict[str, list[str]] = {}
        for key in self._roster.routers:
            data_centre = self._roster.get_data_centre(key)
            if self._roster.get_address(key):
                groups.setdefault(data_centre, []).append(key)
        own = groups.get(self._roster.data_centre, [])
        self._neighbours = own or [self._roster.key]
        self._elsewhere = {
            data_centre: len(group)
            for data_centre, group in groups.items()
            if data_centre != self._roster.data_centre
        }
        self._all = [
            key for group in groups.values() for key in list_aggregators(group)
        ]
