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

"""One router of a soak: a real process that is stopped and started again."""

import asyncio
import itertools
import os
import pathlib
import random
import signal
import socket
import time

import msgspec

from lifttrestle.internal.http.address import Address
from tests.support.process import ManagedProcess
from tests.support.soak_records import Record
from tests.support.soak_records import RouterStart

READY_SECONDS = 30.0
POLL_SECONDS = 0.01
PAUSED_SHARE = 0.3
HANGUP_SHARE = 0.4
SECOND_SHARE = 0.2
# Below the ports that the system gives to connections, which could otherwise
# hold a router's own while it is away.
_PORTS = itertools.count(20_000 + os.getpid() * 61 % 9_000)


def find_address() -> Address:
    """Return a loopback address that nobody listens at."""
    for port in _PORTS:
        with socket.socket() as trial:
            if trial.connect_ex(('127.0.0.1', port)):
                return Address('127.0.0.1', port)
    raise AssertionError('no port is free')


class SoakRouter:
    """Runs one process after the other at the same address.

    :ivar signals_share: of the grace, for which it is sent further signals.
    :ivar slack: seconds from the end of the grace until it is killed, unless
        it was paused; then it is killed at once.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store: Address,
        record: Record,
        source: random.Random,
    ) -> None:
        self.name = name
        self.address = find_address()
        self.current_start = RouterStart(f'{name}#0')
        self.signals_share = 0.0
        self.slack = 0.0
        self.logs: dict[str, list[str]] = {}
        self._probe = find_address()
        self._peers = find_address()
        self._path = folder / f'{name}.yaml'
        self._store = store
        self._record = record
        self._source = source
        self.process: ManagedProcess | None = None

    async def start(self) -> None:
        """Start a process and return once it is ready."""
        self._write_settings()
        self.current_start = RouterStart(f'{self.name}#{len(self.logs) + 1}')
        self._record.starts.append(self.current_start)
        self.process = ManagedProcess(
            ['fleet-router', str(self._path)], own_group=True
        )
        self.logs[self.current_start.name] = self.process.lines
        async with asyncio.timeout(READY_SECONDS):
            while b' 200 ' not in await self._ask_ready():
                await asyncio.sleep(POLL_SECONDS)
        self.current_start.ready = time.monotonic()
        self._record.log_event(f'{self.current_start.name} ready')

    async def stop(self) -> None:
        """Tell it to stop, disturb it perhaps, and wait until it is gone."""
        life = self.current_start
        life.signalled = time.monotonic()
        self.signal(signal.SIGTERM)
        work = [
            asyncio.create_task(self._note_announced(life)),
            asyncio.create_task(self._disturb(life)),
        ]
        await self._wait_gone(life)
        await asyncio.gather(*work)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if number is signal.SIGHUP:
            self._write_settings()
        if self._is_running():
            assert self.process is not None
            self.process.send_signal(number)
            self._record.log_event(f'{self.current_start.name} {number.name}')

    def kill(self) -> None:
        """End the process if it still runs."""
        if self.process is not None:
            self.process.kill()

    async def _disturb(self, life: RouterStart) -> None:
        source = self._source
        grace = self._record.grace
        latest = grace * self.signals_share
        plan: list[tuple[float, signal.Signals]] = []
        if source.random() < PAUSED_SHARE:
            life.paused = True
            at = source.uniform(0.0, grace * 0.4)
            plan.append((at, signal.SIGSTOP))
            plan.append((at + source.uniform(0.1, 0.6), signal.SIGCONT))
        if source.random() < HANGUP_SHARE:
            plan.append((source.uniform(0.0, latest), signal.SIGHUP))
        if source.random() < SECOND_SHARE:
            plan.append((source.uniform(0.0, latest), signal.SIGTERM))
        assert life.signalled is not None
        for at, number in sorted(plan):
            await asyncio.sleep(life.signalled + at - time.monotonic())
            self.signal(number)

    async def _wait_gone(self, life: RouterStart) -> None:
        assert self.process is not None and life.signalled is not None
        end = life.signalled + self._record.grace
        while self._is_running():
            if time.monotonic() > end + (not life.paused) * self.slack:
                life.killed = True
                self.signal(signal.SIGKILL)
            await asyncio.sleep(POLL_SECONDS)
        life.exited = time.monotonic()
        life.code = self.process.process.returncode
        # It is gone; this reads the rest of its log.
        await asyncio.to_thread(self.process.kill)
        self._record.log_event(f'{life.name} gone with {life.code}')

    async def _note_announced(self, life: RouterStart) -> None:
        while self._is_running():
            if b' 503 ' in await self._ask_ready():
                life.announced = time.monotonic()
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _ask_ready(self) -> bytes:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self._probe.host, self._probe.port
                )
                writer.write(b'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n')
                line = await reader.readline()
                writer.transport.abort()
                return line
        except (OSError, TimeoutError):
            return b''

    def _is_running(self) -> bool:
        process = self.process
        return process is not None and process.process.poll() is None

    def _write_settings(self) -> None:
        content = {
            'node_name': self.name,
            'ip': '127.0.0.1',
            'zone': 'a',
            'region': 'r',
            'listen': {'front': str(self.address), 'ready': str(self._probe)},
            'platform': {'address': str(self._store)},
            'internal_ports': [self._peers.port] * 2,
            'contract_params': {
                'grace_s': self._record.grace,
                'retry_slack': self._source.randint(100, 200),
            },
        }
        new = self._path.with_suffix('.new')
        new.write_bytes(msgspec.yaml.encode(content))
        new.replace(self._path)
