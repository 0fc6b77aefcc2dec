"""A replica of a service: runs requests, and reports and takes orders."""

import asyncio
import dataclasses
import json
import time

from . import wire
from .deployment import Record
from .store import Store

STAMP = '3e1b.07.5a2.600.0.c9f2a4d1'


@dataclasses.dataclass
class Run:
    """One run of a request."""

    request_id: str
    instance: str
    at: float
    target: str


class Replica:
    """A sound replica; cases override how it treats single requests.

    :ivar models: version of each model's weights; empty for a plain service.
    :ivar runs: what it ran, in order.
    :ivar rejected: how many requests it turned away.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        *,
        slots: int = 6,
        queue: int = 24,
        work_seconds: float = 0.015,
        models: dict[str, int] | None = None,
        version: str = 'a1',
    ) -> None:
        self.instance = instance
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_seconds = work_seconds
        self.models = dict(models or {})
        self.version = version
        self.runs: list[Run] = []
        self.rejected = 0
        self.orders: list[tuple[float, dict]] = []
        self.address = ''
        self.record = record
        self._queue = queue
        self._places = asyncio.Semaphore(slots)
        self._present = 0
        self._store = store
        self._born = int(time.time() * 1000)
        self._accepted = 0
        self._busy = False
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen at a free port and register."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=wire.HEAD_LIMIT
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.register()
        self._beat = asyncio.create_task(self._run_beats())

    def register(self, state: str = 'ready') -> None:
        """Write the entry in the list of replicas."""
        entry: dict[str, object] = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': state,
            'cold_left_ms': 0,
            'seq_no': self._accepted,
            'born': self._born,
        }
        if self.models:
            entry['stage'] = 'combined'
            entry['models'] = self._list_models()
        self._store.put('servers', self.instance, entry)

    async def _run_beats(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            if self.models:
                self.register()

    async def stop(self) -> None:
        """Stop at once."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()

    def _list_models(self) -> list[dict]:
        return [
            {'name': name, 'version': version, 'adapters': []}
            for name, version in self.models.items()
        ]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await wire.read_message(reader)) is not None:
                if request.target == '/report':
                    await self._report(writer)
                elif request.target == '/order':
                    await self._take_order(request, writer)
                elif not await self.handle(request, reader, writer):
                    return
        except OSError:
            pass
        finally:
            writer.close()

    async def handle(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve a request; return whether the connection is kept."""
        if request.headers.get('expect-instance', '') != self.instance:
            answer = self.build_rejection(request, 421)
            await wire.send(writer, answer)
            return True
        if self._present >= self.slots + self._queue:
            self.rejected += 1
            await wire.send(writer, self.build_rejection(request, 503))
            return True
        self._present += 1
        try:
            async with self._places:
                await self.run(request, writer)
        finally:
            self._present -= 1
        return True

    def note_run(self, request: wire.Message) -> None:
        """Record that a request runs."""
        request_id = request.headers.get('request-id', '')
        self.runs.append(
            Run(request_id, self.instance, time.monotonic(), request.target)
        )
        self.record.note(f'{self.instance} runs {request_id} {request.first}')

    async def run(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request and answer it."""
        self.note_run(request)
        await asyncio.sleep(self.work_seconds)
        await wire.send(writer, self.build_good(request))

    def build_good(self, request: wire.Message) -> bytes:
        """Return a good answer."""
        headers = {
            'Request-Id': request.headers.get('request-id', ''),
            'Server-Stamp': STAMP,
        }
        return wire.build('HTTP/1.1 200 OK', headers, b'done' * 200)

    def build_rejection(self, request: wire.Message, status: int) -> bytes:
        """Return an answer that says that a request was not run."""
        headers = {
            'Request-Id': request.headers.get('request-id', ''),
            'Not-Executed': '1',
        }
        if status == 421:
            headers['Instance-Id'] = self.instance
        return wire.build(f'HTTP/1.1 {status} X', headers)

    async def _report(self, writer: asyncio.StreamWriter) -> None:
        content = {
            'stage': 'combined',
            'models': self._list_models(),
            'busy': self._busy,
            'seq_no': self._accepted,
            'waiting': 0,
            'running': 0,
            'kv_used': 0,
            'kv_total': 90000,
            'handles': 0,
            'born': self._born,
        }
        await wire.send(writer, wire.build_json(200, content))

    async def _take_order(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        order = json.loads(request.body)
        self.orders.append((time.monotonic(), order))
        status = self._judge_order(request, order)
        self.record.note(f'{self.instance} got order {order} -> {status}')
        if status == 202:
            self._accepted += 1
            self._busy = True
            asyncio.get_running_loop().call_later(0.8, self._finish, order)
        await wire.send(writer, wire.build_json(status, {}))

    def _judge_order(self, request: wire.Message, order: dict) -> int:
        if request.headers.get('expect-instance', '') != self.instance:
            return 421
        if self.models.get(order['model'], 0) >= order['version']:
            return 200
        if self._busy or order.get('expected', 0) != self._accepted:
            return 409
        return 202

    def _finish(self, order: dict) -> None:
        self._busy = False
        self.models[order['model']] = order['version']
        self.register()
