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

"""Idle connections to one address, kept for reuse."""

import ssl

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.client_connection import ClientConnection

MAX_IDLE = 64
# Upstreams commonly close idle connections after five seconds or more.
IDLE_SECONDS = 4.0


class ClientPool:
    """Opens connections to one address and reuses those that ended well."""

    def __init__(
        self,
        address: Address,
        clock: Clock,
        connect_seconds: float,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.address = address
        self._clock = clock
        self._connect_seconds = connect_seconds
        self._tls = tls
        self._idle: list[tuple[float, ClientConnection]] = []
        self.idle_seconds = IDLE_SECONDS

    @property
    def has_idle(self) -> bool:
        """Return whether a connection is kept that should be of use."""
        if not self._idle:
            return False
        newest, _ = self._idle[-1]
        return newest >= self._clock.monotonic() - self.idle_seconds

    async def take(self, *, fresh: bool = False) -> ClientConnection:
        """Return a connection that no one else uses.

        :param fresh: open a new one. A request that may not be repeated
            needs it: on a reused connection that the other side has just
            closed, no one can tell if the request was read.
        :raises UpstreamConnectFailed: if none could be opened.
        """
        oldest = self._clock.monotonic() - self.idle_seconds
        while self._idle and not fresh:
            kept_at, connection = self._idle.pop()
            if kept_at >= oldest and connection.reusable:
                return connection
            connection.close()
        return await ClientConnection.open(
            self.address, self._connect_seconds, self._tls
        )

    def give_back(self, connection: ClientConnection) -> None:
        """Keep a connection whose answer was read to its end, or close it."""
        if connection.reusable and len(self._idle) < MAX_IDLE:
            self._idle.append((self._clock.monotonic(), connection))
            return
        connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for _, connection in self._idle:
            connection.close()
        self._idle.clear()
