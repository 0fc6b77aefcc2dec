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

"""Pools of idle HTTP connections to one address."""

import ssl

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.connection_opener import ConnectionOpener
from lifttrestle.internal.http.connection_opener import DirectOpener

MAX_IDLE = 64
# Below the idle timeouts of common servers, which are five seconds or more.
IDLE_SECONDS = 4.0


class ClientPool:
    """Opens connections to one address and reuses idle ones.

    :ivar opener: opens its connections; the owner may replace it.
    :ivar idle_seconds: how long an idle connection may be reused.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        connect_seconds: float,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.address = address
        self._clock = clock
        self._direct = DirectOpener(address, connect_seconds, tls)
        self.opener: ConnectionOpener = self._direct
        self._idle: list[tuple[float, ClientConnection]] = []
        self.idle_seconds = IDLE_SECONDS

    @property
    def has_idle(self) -> bool:
        """Return whether an idle connection has not yet expired."""
        if not self._idle:
            return False
        newest, _ = self._idle[-1]
        return newest >= self._clock.monotonic() - self.idle_seconds

    async def take(
        self, *, fresh: bool = False, tag: str = ''
    ) -> ClientConnection:
        """Return a connection for the exclusive use of the caller.

        :param tag: of the request that is sent on it; no connection carries
            two requests with one tag.
        :param fresh: always open a new one. Required for requests that may
            not be repeated: if the server has just closed a reused
            connection, it is unknown whether it read the request.
        :raises UpstreamConnectFailed: if no connection could be opened.
        """
        kept = None if fresh else self._pop_idle(self.opener, tag)
        connection = kept or await self.opener.open()
        connection.tags.add(tag)
        return connection

    async def take_direct(self) -> ClientConnection:
        """Return a connection that no other router forwards.

        :raises UpstreamConnectFailed: if none could be opened.
        """
        return self._pop_idle(self._direct) or await self._direct.open()

    def _pop_idle(
        self, opener: ConnectionOpener, tag: str = ''
    ) -> ClientConnection | None:
        """Return the newest usable idle connection, closing unusable ones.

        Those that have carried a request with the tag remain idle.
        """
        oldest = self._clock.monotonic() - self.idle_seconds
        carriers = []
        found = None
        while self._idle and found is None:
            idle_since, connection = self._idle.pop()
            if idle_since < oldest or not _may_reuse(opener, connection):
                connection.close()
            elif tag in connection.tags:
                carriers.append((idle_since, connection))
            else:
                found = connection
        self._idle.extend(reversed(carriers))
        return found

    async def open_direct(self) -> ClientConnection:
        """Return a new connection that no other router forwards.

        :raises UpstreamConnectFailed: if it could not be opened.
        """
        return await self._direct.open()

    def prune(self) -> None:
        """Close the idle connections that may not be reused."""
        kept = []
        for item in self._idle:
            if _may_reuse(self.opener, item[1]):
                kept.append(item)
            else:
                item[1].close()
        self._idle = kept

    def give_back(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it if not reusable.

        It is also closed if ``MAX_IDLE`` connections are idle already.
        """
        reusable = _may_reuse(self.opener, connection)
        if reusable and len(self._idle) < MAX_IDLE:
            self._idle.append((self._clock.monotonic(), connection))
            return
        connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for _, connection in self._idle:
            connection.close()
        self._idle.clear()


def _may_reuse(opener: ConnectionOpener, connection: ClientConnection) -> bool:
    return connection.reusable and opener.may_reuse(connection)
