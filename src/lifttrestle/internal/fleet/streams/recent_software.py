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

"""The software versions of each service that may have begun a stream."""

import collections
from collections.abc import Callable
from collections.abc import Mapping

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.upstream import FleetUpstream


class RecentSoftware:
    """Lists the versions of the upstreams that are listed, or recently were.

    :param get_life_seconds: returns for how long after the end of an upstream
        a stream that it began may be resumed.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        clock: Clock,
        get_life_seconds: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._get_life_seconds = get_life_seconds
        # Service and version -> when the last such upstream ended.
        self._ended_at: dict[tuple[str, str | None], float] = {}
        # The counts by service, and the state that they were made in.
        self._listed: dict[str, collections.Counter[str | None]] = {}
        self._listed_state: tuple[int, Catalogue | None] = (-1, None)

    def note_ended(self, upstream: FleetUpstream) -> None:
        """Record that an upstream is no longer listed."""
        entry = upstream.entry
        key = (entry.service, entry.software_version)
        self._ended_at[key] = self._clock.monotonic()

    def count_listed(self, service: str) -> Mapping[str | None, int]:
        """Return the number of upstreams that serve now, by their version.

        The version None stands for unknown.
        """
        state = (self._directory.changes, self._directory.get_catalogue())
        if state != self._listed_state:
            self._listed_state = state
            self._listed = self._count_all()
        return self._listed.get(service, {})

    def list_recent(self, service: str) -> set[str | None]:
        """Return the versions that serve or did; None stands for unknown."""
        self._drop_expired()
        ended = {
            version for name, version in self._ended_at if name == service
        }
        return ended.union(self.count_listed(service))

    def _count_all(self) -> dict[str, collections.Counter[str | None]]:
        listed: dict[str, collections.Counter[str | None]] = {}
        for upstream in self._directory:
            entry = upstream.entry
            counts = listed.setdefault(entry.service, collections.Counter())
            counts[entry.software_version] += 1
        return listed

    def _drop_expired(self) -> None:
        oldest = self._clock.monotonic() - self._get_life_seconds()
        self._ended_at = {
            key: ended_at
            for key, ended_at in self._ended_at.items()
            if ended_at >= oldest
        }
