"""Starts routers with the commands of the deploy file, and ends them."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
import tomllib

from . import wire
from .store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
MEGABYTE = 1 << 20
MAX_PORT = 65_000


# Where the deploy file has each router serve its metrics.
METRICS_PORT = 9464


def find_host(number: int) -> str:
    """Return a loopback address at which no other router is."""
    while True:
        first, last = random.randrange(20, 200), random.randrange(1, 255)
        host = f'127.{first}.{number}.{last}'
        with socket.socket() as free, contextlib.suppress(OSError):
            free.bind((host, METRICS_PORT))
            return host


def find_port(host: str, taken: set[int]) -> int:
    """Return a port that is free at an address, and take it and the next."""
    while True:
        with socket.socket() as free:
            free.bind((host, 0))
            port = free.getsockname()[1]
        if not taken & {port, port + 1} and port < MAX_PORT:
            taken |= {port, port + 1}
            return port


class Record:
    """Writes what happens to record.txt, with seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began_at = time.monotonic()
        trouble = os.environ.get('TROUBLE', '1')
        self.note(f'TROUBLE={trouble}')

    def note(self, text: str) -> None:
        """Write a line."""
        seconds = time.monotonic() - self._began_at
        self._file.write(f'{seconds:8.3f} {text}\n')
        self._file.flush()


def is_troubled() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get('TROUBLE', '1') != '0'


class StoreLink:
    """A router's way to the store, which can be partitioned."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._server: asyncio.Server | None = None
        self._whole = asyncio.Event()
        self._whole.set()
        self.address = ''

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def cut(self) -> None:
        """Let no more bytes through, in either direction."""
        self._whole.clear()

    def heal(self) -> None:
        """Let bytes through again."""
        self._whole.set()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._whole.wait()
        host, _, port = self._store.address.rpartition(':')
        try:
            inner = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._pass(reader, inner[1]), self._pass(inner[0], writer)
            )
        except OSError:
            writer.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                await self._whole.wait()
                await wire.send(writer, data)
        finally:
            writer.close()


class Router:
    """One router process on a loopback address of its own."""

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        store: Store,
        record: Record,
        zones: list[str],
        memory_mb: int,
        retry_slack: int,
    ) -> None:
        taken = {METRICS_PORT}
        self.name = f'front-{number}'
        self.host = find_host(number)
        self.zone = zones[(number - 1) % len(zones)]
        self.port = find_port(self.host, taken)
        self.ready_port = find_port(self.host, taken)
        self.memory_mb = memory_mb
        self._retry_slack = retry_slack
        self._internal = find_port(self.host, taken)
        self._zones = zones
        self._folder = folder
        self.link = StoreLink(store)
        self._record = record
        self.process: asyncio.subprocess.Process | None = None

    def _write_settings(self) -> pathlib.Path:
        path = self._folder / f'{self.name}.json'
        settings = {
            'node_name': self.name,
            'role': 'router',
            'machine_class': 'front',
            'serves': ['front'],
            'ip': self.host,
            'zone': self.zone,
            'region': 'r',
            'zones': dict.fromkeys(self._zones, 'r'),
            'listen': {
                'front': f'{self.host}:{self.port}',
                'ready': f'{self.host}:{self.ready_port}',
            },
            'internal_ports': [self._internal, self._internal + 15],
            'first_start': True,
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
                'retry_slack': self._retry_slack,
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
                'address': self.link.address,
                'form': 'table',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'tx_ms': 8.0,
                'part_writes_s': 150,
                'row_bytes': 65536,
                'across': False,
                'history_s': 20,
            },
        }
        path.write_text(json.dumps(settings))
        return path

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['router']['run'].split()
        settings = str(self._write_settings())
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['LIFTTRESTLE_NODE_FILE'] = settings
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.note(f'{self.name} started, pid {self.process.pid}')

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until it says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ready_port
                )
                writer.write(wire.build('GET /ready HTTP/1.1', {'Host': 'x'}))
                answer = await wire.read_message(reader)
                writer.close()
                if answer is not None and answer.status == 200:
                    self._record.note(f'{self.name} is ready')
                    return
            await asyncio.sleep(0.1)
        for line in self.read_log()[-30:]:
            self._record.note(f'{self.name} logged {line[:500]}')
        raise TimeoutError(f'{self.name} is not ready after {seconds} s')

    def read_memory_mb(self) -> float:
        """Return the resident memory, zero once the process has ended."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        path = pathlib.Path('/', 'proc', str(self.process.pid), 'statm')
        try:
            text = path.read_text()
        except OSError:
            return 0.0
        pages = int(text.split()[1])
        return pages * os.sysconf('SC_PAGE_SIZE') / MEGABYTE

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    async def stop(self) -> None:
        """End the process."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.terminate()
            try:
                await asyncio.wait_for(self.process.wait(), 10)
            except TimeoutError:
                self.kill()
        await self.process.wait()

    def read_log(self) -> list[str]:
        """Return the lines that it has logged."""
        path = self._folder / f'{self.name}.log'
        return path.read_text(errors='replace').splitlines()


class Deployment:
    """A store and some routers in a temporary folder."""

    def __init__(
        self,
        case: pathlib.Path,
        routers: int,
        zones: list[str] | None = None,
        memory_mb: int = 300,
        retry_slack: int = 52,
    ) -> None:
        self.record = Record(case)
        self.store = Store()
        self.routers: list[Router] = []
        self._count = routers
        self._zones = zones or ['za', 'zb', 'zc', 'zd']
        self._memory_mb = memory_mb
        self._retry_slack = retry_slack
        self._folder = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> 'Deployment':
        """Start the store; the routers are started by ``start_routers``."""
        await self.store.start('127.0.0.1')
        return self

    async def start_routers(self) -> None:
        """Start the routers and wait until they are ready."""
        for number in range(1, self._count + 1):
            router = Router(
                number,
                pathlib.Path(self._folder.name),
                self.store,
                self.record,
                self._zones,
                self._memory_mb,
                self._retry_slack,
            )
            self.routers.append(router)
            await router.link.start()
            await router.start()
        for router in self.routers:
            await router.wait_ready()

    async def __aexit__(self, *exc: object) -> None:
        """End all processes."""
        await asyncio.gather(*(router.stop() for router in self.routers))
        for router in self.routers:
            for line in router.read_log():
                if '"level":"critical"' in line or 'Traceback' in line:
                    self.record.note(f'{router.name} logged {line[:2000]}')
            router.link.close()
        self.store.close()
        self._folder.cleanup()
