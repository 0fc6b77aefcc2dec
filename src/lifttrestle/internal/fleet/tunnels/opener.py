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

"""Opens connections to an upstream directly or through other routers."""

from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.tunnels.dialler import TunnelDialler
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.connection_opener import ConnectionOpener


class UpstreamOpener(ConnectionOpener):
    """Uses tunnels while the upstream is reached through other routers.

    :param direct: opens connections without a tunnel.
    """

    def __init__(
        self,
        upstream: FleetUpstream,
        direct: ConnectionOpener,
        dialler: TunnelDialler,
        clock: Clock,
    ) -> None:
        self._upstream = upstream
        self._direct = direct
        self._dialler = dialler
        self._clock = clock

    async def open(self) -> ClientConnection:
        """Return a new connection."""
        if not self._upstream.uses_tunnels:
            connection = await self._direct.open()
            self._upstream.reach.note_reachable(self._clock.monotonic())
            return connection
        try:
            return await self._dialler.open(self._upstream)
        except UpstreamConnectFailed:
            self._upstream.note_tunnel_failed(self._clock.monotonic())
            raise

    def may_reuse(self, connection: ClientConnection) -> bool:
        """Return whether a connection takes the path of new ones."""
        return bool(connection.via) == self._upstream.uses_tunnels
