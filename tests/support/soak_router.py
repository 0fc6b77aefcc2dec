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

"""A router process of a soak that is repeatedly stopped and started."""

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
PAUSE_SHARE = 0.3
SIGHUP_SHARE = 0.4
SECOND_SIGTERM_SHARE = 0.2
# Below the ephemeral ports of the system. An outgoing connection could
# otherwise occupy the port of a router while its process is not running.
_PORTS = itertools.count(20_000 + os.getpid() * 61 % 9_000)


def find_free_address() -> Address:
    """Return a loopback address that no socket listens at."""
    for port in _PORTS:
        with socket.socket() as probe:
            if probe.connect_ex(('127.0.0.1', port)):
                return Address('127.0.0.1', port)
    raise AssertionError('no port is free')


class SoakRouter:
    """Runs one process after the other at the same address.

    :ivar signals_share: fraction of the grace period in which a stopping
        process is sent further SIGHUP and SIGTERM signals.
    :ivar slack: seconds from the end of the grace period until a process that
        has not exited is killed; 0 for one that was paused.
    :ivar logs: output lines by the name of the start.
    :ivar promises: settings of guarantees that differ from those of a soak.
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
        self.address = find_free_address()
        self.current_start = RouterStart(f'{name}#0')
        self.signals_share = 0.0
        self.slack = 0.0
        self.logs: dict[str, list[str]] = {}
        self.promises: dict[str, float] = {}
        self._readiness_address = find_free_address()
        self._peer_address = find_free_address()
        self._path = folder / f'{name}.yaml'
        self._store = store
        self._record = record
        self._source = source
        self.process: ManagedProcess | None = None

    async def start(self) -> None:
        """Start a process and wait until it is ready."""
        self._write_settings()
        self.current_start = RouterStart(f'{self.name}#{len(self.logs) + 1}')
        self._record.starts.append(self.current_start)
        self.process = ManagedProcess(
            ['fleet-router', str(self._path)], own_group=True
        )
        self.logs[self.current_start.name] = self.process.lines
        async with asyncio.timeout(READY_SECONDS):
            while b' 200 ' not in await self._request_readiness():
                await asyncio.sleep(POLL_SECONDS)
        self.current_start.ready = time.monotonic()
        self._record.log_event(f'{self.current_start.name} ready')

    async def stop(self) -> None:
        """Send SIGTERM and perhaps other signals, and wait for the exit."""
        start = self.current_start
        start.signalled = time.monotonic()
        self.signal(signal.SIGTERM)
        tasks = [
            asyncio.create_task(self._record_announced(start)),
            asyncio.create_task(self._send_random_signals(start)),
        ]
        await self._wait_exited(start)
        await asyncio.gather(*tasks)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs.

        SIGHUP is preceded by a change of the settings file.
        """
        if number is signal.SIGHUP:
            self._write_settings()
        if self._is_running():
            assert self.process is not None
            self.process.send_signal(number)
            self._record.log_event(f'{self.current_start.name} {number.name}')

    def kill(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None:
            self.process.kill()

    async def _send_random_signals(self, start: RouterStart) -> None:
        source = self._source
        grace = self._record.grace
        latest = grace * self.signals_share
        plan: list[tuple[float, signal.Signals]] = []
        if source.random() < PAUSE_SHARE:
            start.paused = True
            at = source.uniform(0.0, grace * 0.4)
            plan.append((at, signal.SIGSTOP))
            plan.append((at + source.uniform(0.1, 0.6), signal.SIGCONT))
        if source.random() < SIGHUP_SHARE:
            plan.append((source.uniform(0.0, latest), signal.SIGHUP))
        if source.random() < SECOND_SIGTERM_SHARE:
            plan.append((source.uniform(0.0, latest), signal.SIGTERM))
        assert start.signalled is not None
        for at, number in sorted(plan):
            await asyncio.sleep(start.signalled + at - time.monotonic())
            self.signal(number)

    async def _wait_exited(self, start: RouterStart) -> None:
        assert self.process is not None and start.signalled is not None
        end = start.signalled + self._record.grace
        while self._is_running():
            if time.monotonic() > end + (not start.paused) * self.slack:
                start.killed = True
                self.signal(signal.SIGKILL)
            await asyncio.sleep(POLL_SECONDS)
        start.exited = time.monotonic()
        start.exit_code = self.process.process.returncode
        # The process has exited; this reads the rest of its log.
        await asyncio.to_thread(self.process.kill)
        self._record.log_event(f'{start.name} exited with {start.exit_code}')

    async def _record_announced(self, start: RouterStart) -> None:
        while self._is_running():
            if b' 503 ' in await self._request_readiness():
                start.announced = time.monotonic()
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _request_readiness(self) -> bytes:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self._readiness_address.host, self._readiness_address.port
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
            'listen': {
                'front': str(self.address),
                'ready': str(self._readiness_address),
            },
            'platform': {'address': str(self._store)},
            'internal_ports': [self._peer_address.port] * 2,
            'contract_params': {
                'grace_s': self._record.grace,
                'retry_slack': self._source.randint(100, 200),
                **self.promises,
            },
        }
        new = self._path.with_suffix('.new')
        new.write_bytes(msgspec.yaml.encode(content))
        new.replace(self._path)
