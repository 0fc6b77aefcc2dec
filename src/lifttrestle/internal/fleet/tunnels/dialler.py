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

"""Opens connections to upstreams through other routers."""

from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.fleet.policy.tunnel_peers import rank_peers
from lifttrestle.internal.fleet.state.relay_messages import encode_frame
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.tunnels.messages import STATUS_BYTES
from lifttrestle.internal.fleet.tunnels.messages import TunnelRequest
from lifttrestle.internal.fleet.tunnels.messages import TunnelStatus
from lifttrestle.internal.fleet.tunnels.staggered import connect_first
from lifttrestle.internal.fleet.tunnels.stream import TunnelStream
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.byte_stream import ByteStream
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.stream import Stream
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('tunnels')
# Includes the time that the other router takes to connect to the upstream.
OPEN_SECONDS = 0.75
# If a router has not answered by then, the next one is asked as well.
STAGGER_SECONDS = 0.25
MAX_PEERS = 4
AVOID_SECONDS = 2.0
DIGEST_BYTES = 64


class TunnelDialler:
    """Opens tunnels and remembers which routers could not provide one."""

    def __init__(self, roster: Roster, clock: Clock) -> None:
        self._roster = roster
        self._clock = clock
        # (router, service) -> monotonic time until which it comes last.
        self._avoided_until: dict[tuple[str, str], float] = {}

    async def open(self, upstream: FleetUpstream) -> ClientConnection:
        """Return a connection to an upstream through another router.

        :raises UpstreamConnectFailed: if none of the routers asked has one.
        """
        first = await connect_first(
            lambda key: self._connect_through(key, upstream),
            self._rank(upstream)[:MAX_PEERS],
            STAGGER_SECONDS,
        )
        for key in first.failures:
            self._avoid(key, upstream.entry.service)
        if first.stream is None:
            reasons = [
                f'{key}: {text}' for key, text in first.failures.items()
            ]
            raise UpstreamConnectFailed(
                f'no other router reaches {upstream.instance}:'
                f' {"; ".join(reasons) or "none is known"}'
            )
        return ClientConnection(
            upstream.pool.address, first.stream, via=first.peer
        )

    def _rank(self, upstream: FleetUpstream) -> list[str]:
        now = self._clock.monotonic()
        self._avoided_until = {
            item: until
            for item, until in self._avoided_until.items()
            if until > now
        }
        service = upstream.entry.service
        avoided = {key for key, name in self._avoided_until if name == service}
        digest = f'{self._roster.key} {upstream.digest}'
        return rank_peers(
            digest.encode()[-DIGEST_BYTES:],
            self._roster.data_centre,
            self._roster.list_tunnel_peers(),
            avoided,
        )

    def _avoid(self, key: str, service: str) -> None:
        until = self._clock.monotonic() + AVOID_SECONDS
        self._avoided_until[key, service] = until

    async def _connect_through(
        self, key: str, upstream: FleetUpstream
    ) -> Stream:
        async with ReadTimeout(OPEN_SECONDS):
            return await self._open_through(key, upstream)

    async def _open_through(
        self, key: str, upstream: FleetUpstream
    ) -> TunnelStream:
        """Return a connection whose other end is connected to the upstream.

        :raises OSError: if the router does not forward it.
        """
        text = self._roster.get_tunnel_address(key)
        if not text:
            raise OSError('it has left')
        stream = await ByteStream.open(parse_address(text))
        try:
            request = TunnelRequest(self._roster.key, upstream.start)
            await stream.write(encode_frame(request))
            answer = await stream.read()
            if not answer:
                raise OSError('it closed the connection')
            # A mark may have arrived beside it.
            status = _decode_status(answer[:STATUS_BYTES])
            if status is not TunnelStatus.CONNECTED:
                raise OSError(status.name.lower())
        except BaseException:
            stream.abort()
            raise
        return TunnelStream(stream, answer[STATUS_BYTES:])


def _decode_status(data: bytes) -> TunnelStatus:
    """Return a decoded status.

    :raises OSError: if it is none.
    """
    try:
        return TunnelStatus(int.from_bytes(data, 'big'))
    except ValueError as error:
        raise OSError('its answer is invalid') from error
