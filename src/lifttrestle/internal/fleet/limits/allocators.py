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

"""Selects the routers that grant permits for a data centre's upstreams."""

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.permit_allocators import rank_allocators
from lifttrestle.internal.fleet.policy.permit_allocators import SHARES
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('limits')
# A router that did not answer is queried again after this time. A killed one
# is back after about two seconds.
AVOID_SECONDS = 1.0


class PermitAllocators:
    """Ranked permit allocators of each data centre.

    The first is the primary; the next ones are standbys, which grant a
    smaller share of a limit each.
    """

    def __init__(self, roster: Roster, clock: Clock) -> None:
        self._roster = roster
        self._clock = clock
        self._ranked_for: tuple[int, int] | None = None
        self._ranked: dict[str, list[str]] = {}
        self._avoided: dict[str, float] = {}

    def list_ranked(self, data_centre: str) -> list[str]:
        """Return the keys of the allocators, the primary first."""
        ranked_for = (self._roster.changes, self._roster.live)
        if ranked_for != self._ranked_for:
            self._ranked_for = ranked_for
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
        local = [
            key for key in routers if self._get_data_centre(key) == data_centre
        ]
        return local or routers

    def _get_data_centre(self, key: str) -> str:
        if key == self._roster.key:
            return self._roster.data_centre
        return self._roster.get_data_centre(key)

    def list_all(self) -> set[str]:
        """Return the keys of the allocators of all data centres."""
        routers = self._roster.routers
        data_centres = {self._get_data_centre(key) for key in routers}
        return {
            key
            for data_centre in data_centres
            for key in self.list_ranked(data_centre)
        }

    def is_primary(self, data_centre: str) -> bool:
        """Return whether this router is the primary allocator."""
        return self.get_primary(data_centre) == self._roster.key

    def list_responsive(self, data_centre: str) -> list[str]:
        """Return the allocators that have not failed to answer recently."""
        now = self._clock.monotonic()
        return [
            key
            for key in self.list_ranked(data_centre)
            if self._avoided.get(key, now) <= now
        ]

    def get_primary(self, data_centre: str) -> str:
        """Return the key of the primary allocator."""
        return self.list_ranked(data_centre)[0]

    def get_share(self, data_centre: str) -> float:
        """Return the fraction of a limit that this router grants, or zero."""
        ranked = self.list_ranked(data_centre)
        if self._roster.key not in ranked:
            return 0.0
        return SHARES[ranked.index(self._roster.key)]

    def avoid(self, key: str) -> None:
        """Skip an allocator for ``AVOID_SECONDS``, as it did not answer."""
        self._avoided[key] = self._clock.monotonic() + AVOID_SECONDS
        LOG.info('limits.allocator_silent', router=key)
