"""A small deployment for the cases of the second review.

The platform's store, replicas and clients are stand-ins that follow the users'
pages; the routers are the project's own program, started as separate processes
with the command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import base64
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'shop.example'
KEY = 'ctnfzs989anu6wsjnban'
OTHER_KEY = 'fqasnmgkcuyj8pjbvk9m'
MODEL = 'daka510000'
KV_TOKENS = 119045
STEP_SECONDS = 0.00379
TOKENS_PER_SECOND = 56_600
# From a store of kept KV cache: 18,432 bytes a token over 26,000 Mbit/s.
FETCHED_PER_SECOND = 26_000e6 / (18_432 * 8)
MISS_SECONDS = 0.001
HEARTBEAT_SECONDS = 1.2
KILLED_SECONDS = 1.5
STAMP = '3e1b.07.5a2.600.0.c9f2a4d1'
Headers = dict[str, str]
# How a connection ends, also when the case does.
ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)


def is_in_trouble() -> bool:
    """Return whether the disruption is played; TROUBLE=0 leaves it out."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """What was sent, answered and run, written to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line, with the seconds since the start."""
        line = f'{time.monotonic() - self._began:8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)


@dataclasses.dataclass
class Message:
    """A request or an answer: first line, headers in lower case, body."""

    line: str
    headers: Headers
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.line.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Read the first line and the headers of a message."""
    data = await reader.readuntil(b'\r\n\r\n')
    line, *rest = data.decode('latin-1').split('\r\n')
    headers = {}
    for item in rest:
        name, separator, value = item.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return line, headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Read a body by its length, its chunks or the end of the connection."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while size := int((await reader.readline()).split(b';')[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', 0)))


def build_message(line: str, headers: Headers, body: bytes = b'') -> bytes:
    """Return the bytes of a message with a length."""
    lines = [line, *(f'{name}: {value}' for name, value in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


def pick_subnet() -> str:
    """Return the first three numbers of loopback addresses of this run."""
    return f'127.{random.randint(64, 250)}.{random.randint(1, 250)}'


def find_port(host: str) -> int:
    """Return a free port."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Store:
    """The platform's store: rows, transactions and feeds."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self.rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self.ver = 0
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.is_down = False
        # Parts that the store of kept KV cache has, by salt and id.
        self.kept: set[tuple[str, str]] = set()
        self.on_write: Callable[[str, str, bytes | None], None] = (
            lambda table, key, value: None
        )

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close everything."""
        assert self._server is not None
        self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def go_down(self) -> None:
        """Reset all connections, and each new one that carries a call."""
        self.is_down = True
        self.reset_all()

    def come_back(self) -> None:
        """Serve again."""
        self.is_down = False

    def put(self, table: str, key: str, content: object) -> int:
        """Write a row as the operator or a replica does."""
        return self._apply([(table, key, json.dumps(content).encode())])

    def remove(self, table: str, key: str) -> int:
        """Remove a row."""
        return self._apply([(table, key, None)])

    def _apply(self, writes: list[tuple[str, str, bytes | None]]) -> int:
        self.ver += 1
        for table, key, value in writes:
            self.rows[table, key] = (value, self.ver)
            self.on_write(table, key, value)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.ver

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if self.is_down:
                    break
                status, content = await self._answer(line, body)
                if self.is_down:
                    break
                content['now_ms'] = int(time.monotonic() * 1000)
                answer = build_message(
                    f'HTTP/1.1 {status} X',
                    {'Content-Type': 'application/json', 'Store-Era': '1'},
                    json.dumps(content).encode(),
                )
                writer.write(answer)
                await writer.drain()
        except ENDS:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self, line: str, body: bytes
    ) -> tuple[int, dict[str, object]]:
        await asyncio.sleep(0.004)
        method, target, _ = line.split(' ')
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == '/rows-get':
            return self._get(query)
        if url.path == '/rows-feed':
            return await self._feed(query)
        if url.path == '/rows-tx' and method == 'POST':
            return self._commit(json.loads(body))
        return 404, {}

    def _get(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        found = sorted(
            (key, value, ver)
            for (table, key), (value, ver) in self.rows.items()
            if table == query['table']
            and value is not None
            and key >= query.get('from', '')
        )
        page = found[: int(query.get('limit', 500))]
        rows = [
            self._encode(query['table'], key, value, ver)
            for key, value, ver in page
        ]
        return 200, {
            'rows': rows,
            'more_pages': len(found) > len(page),
            'ver': self.ver,
        }

    async def _feed(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, object]]:
        until = time.monotonic() + int(query['wait_ms']) / 1000
        while not (rows := self._list(query)) and not self.is_down:
            left = until - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        return 200, {'rows': rows, 'ver': self.ver}

    def _list(self, query: dict[str, str]) -> list[dict[str, object]]:
        found = sorted(
            (ver, key, value)
            for (table, key), (value, ver) in self.rows.items()
            if table == query['table'] and ver > int(query['after'])
        )
        return [
            self._encode(query['table'], key, value, ver)
            for ver, key, value in found
        ]

    @staticmethod
    def _encode(
        table: str, key: str, value: bytes | None, ver: int
    ) -> dict[str, object]:
        row: dict[str, object] = {
            'table': table,
            'part': '',
            'key': key,
            'ver': ver,
        }
        if value is None:
            row['tombstone'] = True
        else:
            row['value'] = base64.b64encode(value).decode()
        return row

    def _commit(
        self, call: dict[str, list[dict[str, object]]]
    ) -> tuple[int, dict[str, object]]:
        for row in call.get('expected', ()):
            name = (str(row['table']), str(row['key']))
            value, ver = self.rows.get(name, (None, 0))
            if (0 if value is None else ver) != row['ver']:
                return 412, {'rows': []}
        writes: list[tuple[str, str, bytes | None]] = []
        for row in call.get('put', ()):
            value = base64.b64decode(str(row['value']))
            writes.append((str(row['table']), str(row['key']), value))
        for row in call.get('remove', ()):
            writes.append((str(row['table']), str(row['key']), None))
        return 200, {'ver': self._apply(writes)}


class Replica:
    """A replica of a service; with ``is_engine`` one that serves a model.

    :ivar runs: id and target of each request that it has run.
    :ivar arrivals: ids of the requests that reached it.
    :ivar work_seconds: time before the first byte of an answer.
    :ivar reads_prompts: that time depends on what it has to read of a prompt.
    :ivar events: number of events of a stream.
    :ivar event_seconds: pause before each event but the first.
    """

    def __init__(
        self, store: Store, host: str, service: str, *, is_engine: bool
    ) -> None:
        self.store = store
        self.host = host
        self.port = find_port(host)
        self.instance = f'i-{random.randrange(16**10):010x}'
        self.service = service
        self.is_engine = is_engine
        self.software = 'v1'
        self.born = int(time.time() * 1000)
        self.runs: list[tuple[str, str]] = []
        self.arrivals: list[str] = []
        self.orders: list[tuple[float, dict[str, object]]] = []
        self.version = 1
        self.work_seconds = 0.02
        # An engine reads the parts of a prompt that it has not cached.
        self.reads_prompts = False
        self.cached: set[tuple[str, str]] = set()
        self.events = 10
        self.event_seconds = 0.02
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and write the entry each heartbeat."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**20
        )
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        written = None
        while True:
            entry = self.build_entry()
            if not self.store.is_down and entry != written:
                self.store.put('servers', self.instance, entry)
                written = entry
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def build_entry(self) -> dict[str, object]:
        """Return what it writes to the store about itself."""
        entry: dict[str, object] = {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': 'lozenets-hall',
            'version': self.software,
            'slots': 64 if self.is_engine else 6,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq_no': len(self.orders),
            'born': self.born,
        }
        if self.is_engine:
            entry['stage'] = 'combined'
            entry['models'] = self._list_models()
        return entry

    def _list_models(self) -> list[dict[str, object]]:
        return [{'name': MODEL, 'version': self.version, 'adapters': []}]

    def crash(self) -> None:
        """End at once, with all connections."""
        assert self._server is not None and self._beats is not None
        self._server.close()
        self._beats.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def start_again(self, software: str) -> None:
        """Start under the same id and address; nothing of before is known."""
        self.software = software
        self.born = int(time.time() * 1000)
        self.orders = []
        self.cached = set()
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self._handle(line, headers, body, writer)
        except ENDS:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle(
        self,
        line: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        target = line.split(' ')[1]
        if headers.get('expect-instance', self.instance) != self.instance:
            self._reply(writer, 421, {'Instance-Id': self.instance})
        elif target == '/report':
            content = {
                'stage': 'combined',
                'models': self._list_models(),
                'busy': False,
                'seq_no': len(self.orders),
                'waiting': 0,
                'running': 0,
                'kv_used': 0,
                'kv_total': KV_TOKENS,
                'handles': 0,
                'born': self.born,
            }
            self._reply_json(writer, 200, content)
        elif target == '/order':
            self._take_order(writer, json.loads(body))
        elif target == '/health':
            self._reply(writer, 200, {'Instance-Id': self.instance})
        else:
            await self._take_request(target, headers, writer)
        await writer.drain()

    def _take_order(
        self, writer: asyncio.StreamWriter, order: dict[str, object]
    ) -> None:
        if order.get('expected', len(self.orders)) != len(self.orders):
            self._reply_json(writer, 409, {})
            return
        self.orders.append((time.monotonic(), order))
        self.version = int(str(order['version']))
        self._reply_json(writer, 202, {})

    async def _take_request(
        self, target: str, headers: Headers, writer: asyncio.StreamWriter
    ) -> None:
        request_id = headers.get('request-id', '')
        self.arrivals.append(request_id)
        echo = {'Request-Id': request_id}
        wanted = headers.get('expect-version', str(self.version))
        if wanted != str(self.version):
            named = {**echo, 'Instance-Id': self.instance}
            self._reply(writer, 421, {**named, 'Not-Executed': '1'})
            return
        if self.is_engine and self._is_too_large(headers):
            self._reply(writer, 503, {**echo, 'Not-Executed': '1'})
            return
        await asyncio.sleep(self._read_prompt(headers))
        self.runs.append((request_id, target))
        echo['Server-Stamp'] = STAMP
        if self.is_engine:
            await self._stream(headers, echo, writer)
        else:
            answer = f'ran {request_id}'.encode()
            writer.write(build_message('HTTP/1.1 200 OK', echo, answer))

    def _read_prompt(self, headers: Headers) -> float:
        """Return the seconds to the first byte, by the sheet of the site.

        Two steps, and what is read of a prompt: a part that is cached under
        the salt is not read again if all parts before it are cached too. What
        the store keeps is fetched from there.
        """
        if not self.reads_prompts:
            return self.work_seconds
        salt = headers.get('cache-salt', '')
        seconds = 2 * STEP_SECONDS
        is_cached = True
        for item in headers.get('prompt-prefix', '').split(','):
            part, _, tokens = item.partition(':')
            is_cached = is_cached and (salt, part) in self.cached
            if is_cached:
                continue
            if 'kv-fetch' in headers and (salt, part) in self.store.kept:
                seconds += int(tokens) / FETCHED_PER_SECOND
            else:
                seconds += int(tokens) / TOKENS_PER_SECOND
                seconds += MISS_SECONDS if 'kv-fetch' in headers else 0.0
            self.cached.add((salt, part))
            if 'kv-save' in headers:
                self.store.kept.add((salt, part))
        return seconds

    def _is_too_large(self, headers: Headers) -> bool:
        """Return whether a request exceeds its memory, as if it were full."""
        counts = headers.get('token-count', '0').split(',')
        return sum(int(count) for count in counts) > KV_TOKENS

    async def _stream(
        self, headers: Headers, echo: Headers, writer: asyncio.StreamWriter
    ) -> None:
        head = {
            **echo,
            'Content-Type': 'text/event-stream',
            'Weight-Versions': str(self.version),
            'Transfer-Encoding': 'chunked',
        }
        lines = [f'{name}: {value}' for name, value in head.items()]
        text = '\r\n'.join(('HTTP/1.1 200 OK', *lines, '', ''))
        writer.write(text.encode())
        first = int(headers.get('last-event-id', '0')) + 1
        for number in range(first, self.events + 1):
            if number > first:
                await asyncio.sleep(self.event_seconds)
            event = f'id: {number}\ndata: {number} {self.software}\n\n'
            data = event.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(data), data))
            await writer.drain()
        writer.write(b'0\r\n\r\n')

    def _reply(
        self, writer: asyncio.StreamWriter, status: int, headers: Headers
    ) -> None:
        writer.write(build_message(f'HTTP/1.1 {status} X', headers))

    def _reply_json(
        self, writer: asyncio.StreamWriter, status: int, content: object
    ) -> None:
        headers = {'Content-Type': 'application/json'}
        body = json.dumps(content).encode()
        writer.write(build_message(f'HTTP/1.1 {status} X', headers, body))


def build_config(keep_address: str) -> dict[str, object]:
    """Return a config like that of a small deployment.

    :param keep_address: of the store of kept KV cache.
    """
    stream: dict[str, object] = {
        'name': 'r-classify',
        'host': HOST,
        'prefix': '/lepu270/',
        'route_type': 'stream',
        'timeout_ms': 5000,
        'target_latency_ms': 600,
        'priority': 1,
        'service': 'huvo11a',
        'max_attempts': 1,
        'auth_exempt': False,
        'sticky': True,
        'can_resume': False,
        'gap_aim_ms': 500,
    }
    note = {
        **stream,
        'name': 'r-note',
        'prefix': '/xapu221/ny95/',
        'timeout_ms': 15000,
        'target_latency_ms': 500,
        'priority': 0,
        'max_attempts': 2,
        'can_resume': True,
    }
    order = {
        'name': 'r-strike',
        'host': HOST,
        'prefix': '/fiti832/ti23/',
        'route_type': 'non_idempotent',
        'timeout_ms': 3000,
        'target_latency_ms': 400,
        'priority': 2,
        'service': 'kafi81c',
        'max_attempts': 1,
        'auth_exempt': False,
        'sticky': False,
        'can_resume': False,
    }
    engine = {
        'slots': 64,
        'kv_capacity_tokens': KV_TOKENS,
        'kv_token_bytes': 18432,
        'link_mbps': 370000.0,
        'moves': True,
        'backups': True,
        'stride': 5,
        'max_concurrent': 12,
        'pin_ms': 4000.0,
        'hold_ms': 2000.0,
        'handle_s': 5.0,
        'models': [{'name': MODEL}],
    }
    shared = {'health_path': '/health', 'protocol': 'h1', 'tls': False}
    return {
        'version': 7,
        'routes': [stream, note, order],
        'services': [
            {'name': 'huvo11a', 'max_conns': 360, 'engine': engine, **shared},
            {'name': 'kafi81c', 'max_conns': 96, **shared},
            {
                'name': 'wuno96b',
                'kv_store_addr': keep_address,
                'zone': 'lozenets-hall',
                'kv_capacity_tokens': 959358,
                'link_mbps': 26000.0,
                'max_concurrent': 12,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 'sese880',
                'api_keys': [KEY],
                'priority': 1,
                'isolated': False,
            },
            {
                'name': 'lodu114',
                'api_keys': [OTHER_KEY],
                'priority': 1,
                'isolated': False,
            },
        ],
    }


class Router:
    """One router process on a machine of its own.

    :ivar exits: exit codes of processes that ended by themselves.
    """

    def __init__(
        self, store: Store, host: str, name: str, folder: pathlib.Path
    ) -> None:
        self.store = store
        self.host = host
        self.name = name
        self.folder = folder
        self.front_port = find_port(host)
        self.ready_port = find_port(host)
        self.exits: list[int] = []
        self.process: asyncio.subprocess.Process | None = None
        self.memory_mb = 300
        self._watch: asyncio.Task[None] | None = None
        self._stopping = False
        self._internal = find_port(host)
        self._starting = False
        self.restart_seconds = 0.5

    def _build_settings(self) -> dict[str, object]:
        return {
            'node_name': self.name,
            'role': 'router',
            'machine_class': 'front',
            'serves': ['front'],
            'ip': self.host,
            'zone': 'lozenets-hall',
            'region': 'sofia',
            'zones': {'lozenets-hall': 'sofia'},
            'listen': {
                'front': f'{self.host}:{self.front_port}',
                'ready': f'{self.host}:{self.ready_port}',
            },
            'internal_ports': [self._internal, self._internal + 15],
            'seeds': [],
            'first_start': True,
            'failure_counted': False,
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': self.memory_mb,
                'fd_limit': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeat_ms': 1200,
            'fault_tolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'contract_params': {
                'seed_lag_s': 3,
                'addr_reuse_s': 2,
                'contact_ms': 3000,
                'ack_ms': 4000,
                'sync_s': 4,
                'drain_ms': 2000,
                'grace_s': 8,
                'loss_slack_ms': 200,
                'config_apply_ms': 2000,
                'rollback_slack_ms': 250,
                'unsettled_slack_ms': 5000,
                'revoke_strict': True,
                'revoke_ms': 5000,
                'retry_budget_ratio': 0.2,
                'budget_window_s': 10,
                'retry_slack': 52,
                'recover_s': 12,
                'transit_ms': 120,
                'again_s': 10,
                'fencing_required': False,
                'lease_ms': 3000,
                'thaw_slack_ms': 300,
                'version_ms': 10000,
                'version_all_ms': 14000,
            },
            'platform': {
                'address': f'{self.store.host}:{self.store.port}',
                'form': 'table',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'tx_ms': 8.0,
                'part_writes_s': 150,
                'row_bytes': 65536,
                'across': False,
                'history_s': 20,
                'blob_bytes': 8388608,
                'blob_ms': 25.0,
                'blob_mb_s': 80.0,
            },
        }

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['router']['run'])
        settings = self.folder / f'{self.name}.json'
        settings.write_text(json.dumps(self._build_settings()))
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment['LIFTTRESTLE_NODE_FILE'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        log = (self.folder / f'{self.name}.log').open('ab')
        self._starting = True
        try:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        finally:
            self._starting = False
            log.close()
        self._watch = asyncio.create_task(self._restart_when_ended())

    async def _restart_when_ended(self) -> None:
        """Restart the process as the platform does, after a short delay."""
        assert self.process is not None
        code = await self.process.wait()
        if self._stopping:
            return
        self.exits.append(code)
        await asyncio.sleep(self.restart_seconds)
        if not self._stopping:
            await self.start()

    def get_memory_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        assert self.process is not None
        try:
            status = pathlib.Path(f'/proc/{self.process.pid}/status')
            text = status.read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def kill(self) -> None:
        """Kill the process; it is started again after a short delay."""
        assert self.process is not None
        self.process.send_signal(signal.SIGKILL)
        self.restart_seconds = KILLED_SECONDS

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            answer = await call(self.host, self.ready_port, 'GET', '/ready')
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return answer.status == 200

    async def stop(self) -> None:
        """End the process."""
        self._stopping = True
        while self._starting:
            # Its process would outlast the case.
            await asyncio.sleep(0.01)
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        if self._watch is not None:
            self._watch.cancel()


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: Headers | None = None,
    body: bytes = b'',
    timeout: float = 20.0,
) -> Message:
    """Send one request on a new connection and return the whole answer."""
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            sent = {'Host': HOST, 'Connection': 'close', **(headers or {})}
            writer.write(
                build_message(f'{method} {target} HTTP/1.1', sent, body)
            )
            line, answer = await read_head(reader)
            return Message(line, answer, await read_body(reader, answer))
        finally:
            writer.transport.abort()


class Fleet:
    """A store, replicas and routers."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.subnet = pick_subnet()
        self.store = Store(f'{self.subnet}.1')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='lifttrestle-'))
        self.engines: list[Replica] = []
        self.plain: list[Replica] = []
        self.routers: list[Router] = []
        self._ids = 0

    async def start(self, routers: int, engines: int, plain: int) -> None:
        """Start all, and wait until the routers are ready.

        :raises RuntimeError: if they are not within 30 s.
        """
        await self.store.start()
        keep = await asyncio.start_server(
            lambda reader, writer: None, f'{self.subnet}.2', 0
        )
        port = keep.sockets[0].getsockname()[1]
        config = build_config(f'{self.subnet}.2:{port}')
        self.store.put('op', 'config', config)
        name = f'version/{MODEL}'
        self.store.put('op', name, {'model': MODEL, 'version': 1})
        for number in range(engines):
            host = f'{self.subnet}.{11 + number}'
            replica = Replica(self.store, host, 'huvo11a', is_engine=True)
            self.engines.append(replica)
            await replica.start()
        for number in range(plain):
            host = f'{self.subnet}.{31 + number}'
            replica = Replica(self.store, host, 'kafi81c', is_engine=False)
            self.plain.append(replica)
            await replica.start()
        for number in range(routers):
            host = f'{self.subnet}.{51 + number}'
            self.routers.append(
                Router(self.store, host, f'front-{number + 1}', self.folder)
            )
        for router in self.routers:
            await router.start()
        async with asyncio.timeout(30):
            for router in self.routers:
                while not await router.is_ready():
                    await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        self.record.write(
            f'{routers} routers, {engines} engines and {plain} plain replicas'
            ' are ready'
        )

    def make_id(self) -> str:
        """Return a new request id."""
        self._ids += 1
        return f'{random.randrange(16**10):010x}{self._ids:06x}'

    async def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for router in self.routers:
            await router.stop()
        for replica in (*self.engines, *self.plain):
            with contextlib.suppress(AssertionError):
                replica.crash()
        self.store.stop()
        if os.environ.get('KEEP'):
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(
    folder: str, play: Callable[[Fleet], 'asyncio.Future[bool]']
) -> None:
    """Run a case and exit with 1 if it broke the rule, 0 if not, 2 if it
    could not run.
    """
    record = Record(pathlib.Path(folder).resolve().parent)

    async def run() -> int:
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(110):
                return int(await play(fleet))
        except Exception as error:
            record.write(f'could not run: {error!r}')
            return 2
        finally:
            await fleet.stop()

    code = asyncio.run(run())
    record.write(f'exit code {code}')
    sys.exit(code)
