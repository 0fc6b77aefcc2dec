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

"""Which connections of a server leave, and which give their place away."""

import asyncio
from collections.abc import Mapping

from lifttrestle.internal.http.places import choose_place
from lifttrestle.internal.http.places import get_most_leaving
from lifttrestle.internal.http.places import Occupation
from lifttrestle.internal.http.places import Place
from lifttrestle.internal.http.server_connection import ServerConnection

Connections = Mapping[asyncio.Task[None], ServerConnection]


# After nobody could give a place, all are not looked at again for so long.
SCAN_SECONDS = 0.1


class PlaceKeeper:
    """Keeps the connections of a server within their number.

    :ivar leaving: tasks of connections without a place: they were refused, or
        have given it to another.
    :ivar displaced: how many have given it to another.
    """

    def __init__(self) -> None:
        self.leaving: set[asyncio.Task[None]] = set()
        self.displaced = 0
        # Tasks of connections without a complete head, the oldest first.
        # Crowds are found here, without a look at all connections.
        self._silent: dict[asyncio.Task[None], None] = {}
        self._scan_at = 0.0

    def is_crowded(self, max_connections: int) -> bool:
        """Return whether as many connections leave as may."""
        return len(self.leaving) >= get_most_leaving(max_connections)

    def note_accepted(
        self, task: asyncio.Task[None], *, has_place: bool
    ) -> None:
        """Note a new connection."""
        if has_place:
            self._silent[task] = None
        else:
            self.leaving.add(task)

    def note_request(self, task: asyncio.Task[None]) -> None:
        """Note that a connection has sent a complete head."""
        self._silent.pop(task, None)

    def note_ended(self, task: asyncio.Task[None]) -> None:
        """Forget a connection."""
        self._silent.pop(task, None)
        self.leaving.discard(task)

    def make_place(
        self, connections: Connections, max_connections: int
    ) -> bool:
        """Let a connection give its place to a newcomer, if one may."""
        place = self._find_silent(connections) or self._scan(connections)
        if place is None:
            return False
        task = place.holder
        if place.is_owed_answer and not self.is_crowded(max_connections):
            connections[task].give_place()
        else:
            # What arrives from now on is not read, so that the caller is told
            # by a reset.
            connections[task].pause_reading()
            task.cancel()
        self.displaced += 1
        self._silent.pop(task, None)
        self.leaving.add(task)
        return True

    def _find_silent(
        self, connections: Connections
    ) -> Place[asyncio.Task[None]] | None:
        for task in self._silent:
            if task not in connections:
                # Neither this one nor those after it have begun.
                return None
            place = connections[task].describe_place(task)
            if place.occupation is Occupation.NO_REQUEST:
                return place
        return None

    def _scan(
        self, connections: Connections
    ) -> Place[asyncio.Task[None]] | None:
        now = asyncio.get_running_loop().time()
        if now < self._scan_at:
            return None
        place = choose_place(
            connection.describe_place(task)
            for task, connection in connections.items()
            if task not in self.leaving
        )
        if place is None:
            self._scan_at = now + SCAN_SECONDS
        return place
