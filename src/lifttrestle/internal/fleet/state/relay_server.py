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

"""Passes what this router knows of the shared tables on to other routers."""

import asyncio
import dataclasses

from lifttrestle.errors import InputRefused
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.relay_messages import build_news
from lifttrestle.internal.fleet.state.relay_messages import encode_frame
from lifttrestle.internal.fleet.state.relay_messages import MAX_QUESTION_BYTES
from lifttrestle.internal.fleet.state.relay_messages import Question
from lifttrestle.internal.fleet.state.relay_messages import read_frame
from lifttrestle.internal.fleet.state.table_watch import TableWatch
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.byte_stream import set_tcp_timeouts
from lifttrestle.internal.http.connection_tasks import ConnectionTasks
from lifttrestle.internal.intake.decoding import decode_msgpack
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('relay')
# A follower that leaves more than this unread is cut off; it asks anew. All
# tables of the known deployments together are a fifth of that.
MAX_UNREAD_BYTES = 512 * 1024
# Followers of one router: some 30, more while relays are gone.
MAX_FOLLOWERS = 100


@dataclasses.dataclass(eq=False)
class Follower:
    """A router that wants to be told.

    :ivar question: its last one, or None before the first.
    :ivar asked_at: when that arrived, by this router's clock.
    :ivar versions: what it has of each table.
    """

    writer: asyncio.StreamWriter
    question: Question | None = None
    asked_at: float = 0.0
    versions: dict[str, int] = dataclasses.field(default_factory=dict)


class RelayServer:
    """Tells followers each proof and each change as it becomes known."""

    def __init__(self, watches: list[TableWatch], clock: Clock) -> None:
        self._watches = {watch.table: watch for watch in watches}
        self._clock = clock
        self._followers: set[Follower] = set()
        self._tasks = ConnectionTasks()
        self._server: asyncio.Server | None = None
        for watch in watches:
            watch.tell(self._tell_all)

    @property
    def followers(self) -> int:
        """Return how many routers are told."""
        return len(self._followers)

    async def start(self, address: Address) -> Address:
        """Listen at an address and return the one in force."""
        self._server = await asyncio.start_server(
            self._accept, address.host, address.port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def close(self) -> None:
        """Stop listening and cut every follower off."""
        if self._server is not None:
            self._server.close()
        await self._tasks.cancel()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.start(self._serve(reader, writer), writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        set_tcp_timeouts(writer.transport)
        follower = Follower(writer)
        if len(self._followers) >= MAX_FOLLOWERS:
            writer.transport.abort()
            return
        self._followers.add(follower)
        try:
            while True:
                data = await read_frame(reader, MAX_QUESTION_BYTES)
                self._take_question(follower, data)
        except (OSError, InputRefused) as error:
            LOG.info('relay.follower_left', reason=str(error))
        finally:
            self._followers.discard(follower)
            writer.transport.abort()

    def _take_question(self, follower: Follower, data: bytes) -> None:
        question = decode_msgpack(data, Question)
        follower.asked_at = self._clock.monotonic()
        follower.question = question
        follower.versions = dict(question.versions)
        for watch in self._watches.values():
            self._tell(follower, watch)

    def _tell_all(self, watch: TableWatch) -> None:
        for follower in list(self._followers):
            self._tell(follower, watch)

    def _tell(self, follower: Follower, watch: TableWatch) -> None:
        if follower.question is None or not watch.copy.loaded:
            return
        transport = follower.writer.transport
        if transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            LOG.warning('relay.follower_too_slow')
            transport.abort()
            return
        table = watch.table
        news = watch.copy.list_since(follower.versions.get(table, 0))
        message = build_news(
            follower.question.number,
            table,
            news,
            watch.proved_at - follower.asked_at,
            watch.lost,
        )
        follower.versions[table] = max(
            follower.versions.get(table, 0), watch.copy.version
        )
        follower.writer.write(encode_frame(message))
