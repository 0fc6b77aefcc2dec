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

"""Relays this router's copies of the shared tables to other routers."""

import asyncio
import dataclasses

from lifttrestle.errors import InputRefused
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.state.relay_messages import build_update
from lifttrestle.internal.fleet.state.relay_messages import build_wait_notice
from lifttrestle.internal.fleet.state.relay_messages import encode_frame
from lifttrestle.internal.fleet.state.relay_messages import MAX_REQUEST_BYTES
from lifttrestle.internal.fleet.state.relay_messages import read_frame
from lifttrestle.internal.fleet.state.relay_messages import SubscribeRequest
from lifttrestle.internal.fleet.state.table_watch import TableWatch
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.connection_listener import ConnectionListener
from lifttrestle.internal.intake.decoding import decode_msgpack
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('relay')
# A follower with more unread bytes than this is disconnected and connects
# again. All tables of the known deployments together are a fifth of that.
MAX_UNREAD_BYTES = 512 * 1024
# A relay has some 30 followers, more while other relays are unavailable.
MAX_FOLLOWERS = 100
# Interval of telling followers that there is nothing to tell yet.
WAITING_SECONDS = 0.4


@dataclasses.dataclass(eq=False)
class Follower:
    """A connected router that receives updates.

    :ivar request: its last request, or None before the first.
    :ivar requested_at: when that request arrived, by this router's clock.
    :ivar versions: the newest version of each table that it has or was sent.
    """

    writer: asyncio.StreamWriter
    request: SubscribeRequest | None = None
    requested_at: float = 0.0
    versions: dict[str, int] = dataclasses.field(default_factory=dict)


class RelayServer:
    """Sends an update to each follower after each update of a copy.

    :param watches: of all tables; while the first one does not reach the
        store, followers are told that this router waits for it.
    """

    def __init__(self, watches: list[TableWatch], clock: Clock) -> None:
        self._primary_watch = watches[0]
        self._watches = {watch.table: watch for watch in watches}
        self._clock = clock
        self._followers: set[Follower] = set()
        self._listener = ConnectionListener(self._serve)
        for watch in watches:
            watch.add_observer(self._send_to_all)

    @property
    def followers(self) -> int:
        """Return the number of connected followers."""
        return len(self._followers)

    async def start(self, address: Address) -> Address:
        """Listen at an address and return the bound one."""
        return await self._listener.start(address)

    async def close(self) -> None:
        """Stop listening and disconnect every follower."""
        await self._listener.close()

    async def run(self, ticker: Ticker) -> None:
        """Tell followers that this router waits, until cancelled."""
        while True:
            await ticker.wait(WAITING_SECONDS)
            watch = self._primary_watch
            if watch.lost or not watch.copy.loaded:
                for follower in self._followers:
                    self._tell_waiting(follower)

    def _tell_waiting(self, follower: Follower) -> None:
        if follower.request is None:
            return
        watch = self._primary_watch
        message = build_wait_notice(
            follower.request.number, watch.table, watch.copy.version
        )
        follower.writer.write(encode_frame(message))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        follower = Follower(writer)
        if len(self._followers) >= MAX_FOLLOWERS:
            writer.transport.abort()
            return
        self._followers.add(follower)
        try:
            while True:
                data = await read_frame(reader, MAX_REQUEST_BYTES)
                self._handle_request(follower, data)
        except (OSError, InputRefused) as error:
            LOG.info('relay.follower_left', reason=str(error))
        finally:
            self._followers.discard(follower)
            writer.transport.abort()

    def _handle_request(self, follower: Follower, data: bytes) -> None:
        request = decode_msgpack(data, SubscribeRequest)
        follower.requested_at = self._clock.monotonic()
        follower.request = request
        follower.versions = dict(request.versions)
        for watch in self._watches.values():
            self._send_update(follower, watch)
        if not self._primary_watch.copy.loaded:
            self._tell_waiting(follower)

    def _send_to_all(self, watch: TableWatch) -> None:
        for follower in list(self._followers):
            self._send_update(follower, watch)

    def _send_update(self, follower: Follower, watch: TableWatch) -> None:
        if follower.request is None or not watch.copy.loaded:
            return
        transport = follower.writer.transport
        if transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            LOG.warning('relay.follower_too_slow')
            transport.abort()
            return
        table = watch.table
        update = watch.copy.list_since(follower.versions.get(table, 0))
        message = build_update(
            follower.request.number,
            table,
            update,
            watch.current_as_of - follower.requested_at,
            watch.lost,
        )
        follower.versions[table] = max(
            follower.versions.get(table, 0), watch.copy.version
        )
        follower.writer.write(encode_frame(message))
