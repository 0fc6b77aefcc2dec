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

"""Which routers give out the permits for the upstreams of a data centre."""

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.permit_allocators import rank_allocators
from lifttrestle.internal.fleet.policy.permit_allocators import SHARES
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('limits')
# A router that did not answer is asked again after this: one that was killed
# is back after some two seconds.
AVOID_SECONDS = 1.0


class PermitAllocators:
    """The routers that may be asked, by data centre."""

    def __init__(self, roster: Roster, clock: Clock) -> None:
        self._roster = roster
        self._clock = clock
        self._seen: tuple[int, int] | None = None
        self._ranked: dict[str, list[str]] = {}
        self._avoided: dict[str, float] = {}

    def list_all(self, data_centre: str) -> list[str]:
        """Return the keys of those that may give permits, the first first."""
        seen = (self._roster.changes, self._roster.live)
        if seen != self._seen:
            self._seen = seen
            self._ranked = {}
        ranked = self._ranked.get(data_centre)
        if ranked is None:
            ranked = rank_allocators(self._list_routers(data_centre))
            self._ranked[data_centre] = ranked
        return ranked

    def _list_routers(self, data_centre: str) -> list[str]:
        own = self._roster.key
        routers = [
            key
            for key in self._roster.routers
            if key == own or self._roster.get_address(key)
        ]
        near = [key for key in routers if self._find_place(key) == data_centre]
        return near or routers

    def _find_place(self, key: str) -> str:
        if key == self._roster.key:
            return self._roster.data_centre
        return self._roster.get_data_centre(key)

    def list_everywhere(self) -> set[str]:
        """Return those of all data centres."""
        routers = self._roster.routers
        places = {self._find_place(key) for key in routers}
        return {key for place in places for key in self.list_all(place)}

    def is_first(self, data_centre: str) -> bool:
        """Return whether this router gives permits while it is there."""
        return self.get_first(data_centre) == self._roster.key

    def list_sound(self, data_centre: str) -> list[str]:
        """Return those that have not failed to answer lately."""
        now = self._clock.monotonic()
        return [
            key
            for key in self.list_all(data_centre)
            if self._avoided.get(key, now) <= now
        ]

    def get_first(self, data_centre: str) -> str:
        """Return the router that gives permits while it is there."""
        return self.list_all(data_centre)[0]

    def get_share(self, data_centre: str) -> float:
        """Return the part of a limit that this router gives, or zero."""
        ranked = self.list_all(data_centre)
        if self._roster.key not in ranked:
            return 0.0
        return SHARES[ranked.index(self._roster.key)]

    def avoid(self, key: str) -> None:
        """Ask others for a while; this one did not answer."""
        self._avoided[key] = self._clock.monotonic() + AVOID_SECONDS
        LOG.info('limits.allocator_silent', router=key)
