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

"""A stand-in for an upstream of the platform, engine or plain service."""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import enum
import time

import msgspec

from lifttrestle.errors import CallerGone
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.http.server_connection import ServerConnection

EVENTS = 5
STAMP = '3e1b.07'


class Behaviour(enum.Enum):
    """How one request is treated; the default is a good answer."""

    GOOD = enum.auto()
    DECLINE = enum.auto()
    FAIL = enum.auto()
    REJECT = enum.auto()
    LIE_BUSY = enum.auto()
    LOSE = enum.auto()
    SILENT = enum.auto()
    CUT_IN_EVENT = enum.auto()
    CUT_IN_HEAD = enum.auto()
    FOREIGN_FIRST = enum.auto()
    UNSTAMPED = enum.auto()
    ENCODED = enum.auto()


STATUSES = {
    Behaviour.FAIL: 500,
    Behaviour.LIE_BUSY: 503,
    Behaviour.REJECT: 413,
}


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that was run."""

    head: RequestHead
    body: bytes


@dataclasses.dataclass(frozen=True)
class HeadCut:
    """How an upstream stops inside the head of its answer.

    :ivar framing: header that declares where the body ends, or empty.
    :ivar size: bytes of the head that it sends.
    :ivar before: bytes that it sends before the head.
    :ivar line_end: what ends each line of the head.
    :ivar closes: whether it then closes the connection.
    """

    framing: str = ''
    size: int = 0
    before: bytes = b''
    line_end: str = '\r\n'
    closes: bool = True


def build_head(cut: HeadCut, headers: Iterable[Header]) -> bytes:
    """Return the complete head of an answer."""
    lines = ['HTTP/1.1 200 OK', *(f'{n}: {value}' for n, value in headers)]
    if cut.framing:
        lines.append(cut.framing)
    return cut.line_end.join((*lines, '', '')).encode()


class FleetUpstreamStandin:
    """Runs requests as its script says, then well.

    :ivar runs: the requests that it ran.
    :ivar arrivals: the requests that reached it.
    :ivar peers: the connections that they came over.
    :ivar silenced: those of them that are answered no more, nor closed.
    :ivar left: ids of requests whose caller closed the connection.
    :ivar released: streams go on after their second event once it is set.
    :ivar limit: what its answers name as the rate that it takes, or None.
    :ivar max_rejections: what its answers name as the rejections a second that
        it tolerates, or None.
    :ivar leaving: what its answers say of its end, ``1`` or nothing.
    :ivar retry_after: named with each request that it declines.
    :ivar room: how many requests it takes at once, or None for any number.
    :ivar work_seconds: how long each of them takes.
    :ivar rejected_at: when it had no room for a request, monotonic seconds.
    :ivar software_version: named in each event, unless it is empty.
    :ivar born: named in its reports, unless it is None.
    :ivar event_seconds: pause before each event of a stream.
    :ivar arrived_at: when each of the arrivals came, monotonic seconds.
    :ivar head_cut: how it ends inside the head of an answer.
    """

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.script: collections.deque[Behaviour] = collections.deque()
        self.runs: list[Run] = []
        self.arrivals: list[RequestHead] = []
        self.left: list[str] = []
        self.peers: set[str] = set()
        self.silenced: set[str] = set()
        self.weights = 1
        self.orders: list[dict[str, object]] = []
        self.released = asyncio.Event()
        self.released.set()
        self.limit: str | None = None
        self.max_rejections: str | None = None
        self.leaving = self.retry_after = ''
        self.room: int | None = None
        self.work_seconds = 0.0
        self.rejected_at: list[float] = []
        self.software_version = ''
        self.born: int | None = None
        self.event_seconds = 0.0
        self._working = 0
        self.arrived_at: list[float] = []
        self.head_cut = HeadCut()
        limits = HttpLimits(idle_seconds=3600)
        self._server = HttpServer(self._handle, limits)
        self.address = Address('', 0)

    async def start(self) -> None:
        """Listen at a free port."""
        self.address = await self._server.start(Address('127.0.0.1', 0))

    async def stop(self) -> None:
        """Stop at once."""
        await self._server.stop(0)

    async def _handle(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        body = await connection.read_body()
        if head.path == '/report':
            await self._report(connection)
            return
        if head.path == '/order':
            await self._take_order(connection, msgspec.json.decode(body))
            return
        self.arrivals.append(head)
        self.arrived_at.append(time.monotonic())
        self.peers.add(connection.peer)
        behaviour = self.script.popleft() if self.script else Behaviour.GOOD
        if connection.peer in self.silenced:
            behaviour = Behaviour.SILENT
        if behaviour is Behaviour.DECLINE or not self._is_meant(head):
            await self._decline(connection, head)
            return
        if self.room is not None and self._working >= self.room:
            self.rejected_at.append(time.monotonic())
            await self._decline(connection, head)
            return
        self.runs.append(Run(head, body))
        watch = asyncio.create_task(connection.wait_disconnected())
        watch.add_done_callback(lambda task: self._note_left(task, head))
        self._working += 1
        try:
            if self.work_seconds:
                await asyncio.sleep(self.work_seconds)
            await self._run(connection, head, behaviour)
        finally:
            self._working -= 1
            watch.cancel()
            await asyncio.gather(watch, return_exceptions=True)

    def _note_left(
        self, task: 'asyncio.Task[None]', head: RequestHead
    ) -> None:
        if not task.cancelled():
            self.left.append(head.get_header('request-id'))

    def _is_meant(self, head: RequestHead) -> bool:
        wanted = head.get_header('expect-version')
        return head.get_header('expect-instance') == self.instance and (
            not wanted or int(wanted) == self.weights
        )

    async def _decline(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        status = 503 if self._is_meant(head) else 421
        headers: tuple[Header, ...] = (
            ('not-executed', '1'),
            *self._echo(head),
        )
        if status == 421:
            headers += (('instance-id', self.instance),)
        elif self.retry_after:
            headers += (('retry-after', self.retry_after),)
        await connection.start_answer(
            status, (*headers, ('content-length', '0'))
        )
        await connection.end_answer()

    async def _run(
        self,
        connection: ServerConnection,
        head: RequestHead,
        behaviour: Behaviour,
    ) -> None:
        if behaviour is Behaviour.LOSE:
            connection.abort()
            raise CallerGone('cut by the script')
        if behaviour is Behaviour.SILENT:
            await asyncio.Event().wait()
        if behaviour is Behaviour.CUT_IN_HEAD:
            await self._cut_head(connection, head)
        if behaviour is Behaviour.FOREIGN_FIRST:
            await self._send_foreign(connection)
        if head.get_header('model'):
            await self._stream(connection, head, behaviour)
            return
        headers = list(self._echo(head))
        if behaviour is not Behaviour.UNSTAMPED:
            headers.append(('server-stamp', STAMP))
        if behaviour is Behaviour.ENCODED:
            headers.append(('content-encoding', 'gzip'))
        status = STATUSES.get(behaviour, 200)
        body = f'ran at {self.instance}'.encode()
        headers.append(('content-length', str(len(body))))
        await connection.start_answer(status, tuple(headers))
        await connection.send_part(body)
        await connection.end_answer()

    async def _cut_head(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        cut = self.head_cut
        headers = (
            *self._echo(head),
            ('server-stamp', STAMP),
            ('weight-versions', str(self.weights)),
            ('content-type', 'text/event-stream'),
        )
        writer = connection._stream._protocol
        writer.write(cut.before + build_head(cut, headers)[: cut.size])
        await writer.drain()
        if not cut.closes:
            await asyncio.Event().wait()
        writer.close()
        raise CallerGone('cut by the script')

    async def _send_foreign(self, connection: ServerConnection) -> None:
        # What a second answer to an earlier request looks like on the wire.
        raw = (
            b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: x\r\n'
            b'Content-Length: 7\r\n\r\nforeign'
        )
        connection._stream._protocol.write(raw)

    async def _stream(
        self,
        connection: ServerConnection,
        head: RequestHead,
        behaviour: Behaviour,
    ) -> None:
        await self._start_stream(connection, head)
        first = int(head.get_header('last-event-id', '0')) + 1
        for number in range(first, EVENTS + 1):
            event = self._make_event(number)
            if self.event_seconds:
                await asyncio.sleep(self.event_seconds)
            if number == first + 2 and behaviour is Behaviour.CUT_IN_EVENT:
                await connection.send_part(event[: len(event) // 2])
                connection.abort()
                raise CallerGone('cut by the script')
            if number == first + 2:
                await self.released.wait()
            await connection.send_part(event)
        await connection.end_answer()

    async def _start_stream(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        headers = (
            *self._echo(head),
            ('server-stamp', STAMP),
            ('content-type', 'text/event-stream'),
            ('weight-versions', str(self.weights)),
        )
        await connection.start_answer(200, headers)

    def _make_event(self, number: int) -> bytes:
        text = f'token {number} {self.software_version}'.rstrip()
        return f'id: {number}\ndata: {text}\n\n'.encode()

    def _echo(self, head: RequestHead) -> tuple[tuple[str, str], ...]:
        echoed = ('request-id', head.get_header('request-id'))
        return (echoed, *self._name_state())

    def _name_state(self) -> tuple[Header, ...]:
        named = (
            ('server-limit', self.limit),
            ('server-brittle', self.max_rejections),
            ('server-leaving', self.leaving),
        )
        return tuple((name, value) for name, value in named if value)

    async def _report(self, connection: ServerConnection) -> None:
        content: dict[str, object] = {
            'models': [{'name': 'm', 'version': self.weights}],
            'busy': False,
            'seq_no': len(self.orders),
        }
        if self.born is not None:
            content['born'] = self.born
        await self._send_json(connection, content)

    async def _send_json(
        self,
        connection: ServerConnection,
        content: dict[str, object],
        status: int = 200,
    ) -> None:
        headers = (('content-type', 'application/json'), *self._name_state())
        body = msgspec.json.encode(content)
        await connection.send_answer(Answer(status, headers, body))

    async def _take_order(
        self, connection: ServerConnection, order: dict[str, object]
    ) -> None:
        if order['expected'] != len(self.orders):
            await self._send_json(connection, {}, 409)
            return
        self.orders.append(order)
        self.weights = int(str(order['version']))
        await self._send_json(connection, {}, 202)
