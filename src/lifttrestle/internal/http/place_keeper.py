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
from lifttrestle.internal.http.server_connection import ServerConnection

Connections = Mapping[asyncio.Task[None], ServerConnection]


class PlaceKeeper:
    """Keeps the connections of a server within their number.

    :ivar leaving: tasks of connections without a place: they were refused, or
        have given it to another.
    :ivar displaced: how many have given it to another.
    """

    def __init__(self) -> None:
        self.leaving: set[asyncio.Task[None]] = set()
        self.displaced = 0

    def is_crowded(self, max_connections: int) -> bool:
        """Return whether as many connections leave as may."""
        return len(self.leaving) >= get_most_leaving(max_connections)

    def make_place(
        self, connections: Connections, max_connections: int
    ) -> bool:
        """Let a connection give its place to a newcomer, if one may."""
        place = choose_place(
            connection.describe_place(task)
            for task, connection in connections.items()
            if task not in self.leaving
        )
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
        self.leaving.add(task)
        return True
