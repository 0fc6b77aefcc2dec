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

"""How a pool opens its connections."""

import abc
import ssl

from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.client_connection import ClientConnection


class ConnectionOpener(abc.ABC):
    """Opens connections to one upstream or service."""

    @abc.abstractmethod
    async def open(self) -> ClientConnection:
        """Return a new connection.

        :raises UpstreamConnectFailed: if none could be opened.
        """

    @abc.abstractmethod
    def may_reuse(self, connection: ClientConnection) -> bool:
        """Return whether an idle connection may carry another request."""


class DirectOpener(ConnectionOpener):
    """Connects to an address."""

    def __init__(
        self,
        address: Address,
        connect_seconds: float,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._address = address
        self._connect_seconds = connect_seconds
        self._tls = tls

    async def open(self) -> ClientConnection:
        """Return a new connection."""
        return await ClientConnection.open(
            self._address, self._connect_seconds, self._tls
        )

    def may_reuse(self, connection: ClientConnection) -> bool:
        """Return whether no other router forwards a connection."""
        return not connection.via
