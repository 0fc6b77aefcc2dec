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

"""Minimal reproductions of faults of planned stops that the soak found.

The soak (``test_fleet_stop_soak --regressions``) found a request that was
accepted after the stop signal and then cut, a keep-alive connection that was
closed instead of an answer, and a process that was terminated by a signal
although it had served all requests.
"""

import asyncio
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import unittest

from lifttrestle.internal.fleet.settings import Promises
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until
from tests.support.fleet_store import FleetStoreStandin
from tests.support.soak_records import Record
from tests.support.soak_router import SoakRouter

# Number of short streams, enough to estimate the duration of the next ones.
WARM_UP = 20
ROUTE_SECONDS = 8.0
# Half of it is the notice period, in which connections are kept open.
LONG_GRACE_SECONDS = 4.0
GRACE_SECONDS = 0.4
READ_SECONDS = 0.2
ENGINES = ('e1', 'e2')
HEADERS = (
    b'host: shop.example\r\nrequest-id: %s\r\nauthorization: Token k1\r\n'
)
STREAM = (
    b'POST /essay/x HTTP/1.1\r\n'
    + HEADERS % b'r1'
    + b'model: m\r\ntoken-count: 460,5\r\ncontent-length: 0\r\n\r\n'
)
PLAIN = b'GET /safe/x HTTP/1.1\r\n' + HEADERS % b'r2' + b'\r\n'
EXIT_SECONDS = 20.0
POLL_SECONDS = 0.005


class TestDurationEstimate(unittest.IsolatedAsyncioTestCase):
    async def test_regression_stream_was_accepted_and_then_cut(self) -> None:
        async with run_fleet() as fleet:
            for _ in range(WARM_UP):
                await fleet.generate('essay')
            # An estimate from these streams would be far too short.
            fleet.clock.skip(ROUTE_SECONDS)
            await wait_until(fleet.router.is_ready)
            for name in ENGINES:
                fleet.upstreams[name].released.clear()
            stopping = asyncio.create_task(fleet.router.stop())
            await wait_until(lambda: not fleet.router.is_ready())
            answer = await fleet.generate('essay')
            self.assertTrue(await stopping)
        self.assertEqual(answer.status, 503)


class TestKeepAlive(unittest.IsolatedAsyncioTestCase):
    async def test_regression_pipelined_request_was_not_answered(
        self,
    ) -> None:
        async with run_fleet(
            Promises(grace_seconds=LONG_GRACE_SECONDS)
        ) as fleet:
            for name in ENGINES:
                fleet.upstreams[name].released.clear()
            address = fleet.router.callers_address
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(STREAM)
            await reader.readuntil(b'token 2')
            stopping = asyncio.create_task(fleet.router.stop())
            await wait_until(lambda: not fleet.router.is_ready())
            # The head of the first answer did not announce the close.
            writer.write(PLAIN)
            await asyncio.sleep(READ_SECONDS)
            for name in ENGINES:
                fleet.upstreams[name].released.set()
            answers = await reader.read()
            writer.close()
            await stopping
        self.assertIn(b'token 5', answers)
        self.assertIn(b'HTTP/1.1 ', answers)


# Each signal arrives just after the event loop has removed its handler.
SIGNAL_BETWEEN_HANDLERS = """
import asyncio
import os
import signal

from lifttrestle.internal.cli.signals import HANDLED_SIGNALS
from lifttrestle.internal.cli.signals import ignore_signals


async def main():
    loop = asyncio.get_running_loop()
    for number in HANDLED_SIGNALS:
        loop.add_signal_handler(number, print)
    remove = loop.remove_signal_handler

    def remove_and_send(number):
        remove(number)
        os.kill(os.getpid(), number)

    loop.remove_signal_handler = remove_and_send
    ignore_signals()
    loop.remove_signal_handler = remove


asyncio.run(main())
"""


class TestExit(unittest.IsolatedAsyncioTestCase):
    async def test_regression_signal_at_the_end_changed_the_exit_code(
        self,
    ) -> None:
        codes = [
            await self.stop_with(number)
            for number in (signal.SIGHUP, signal.SIGTERM)
        ]
        self.assertEqual(codes, [0, 0])

    def test_regression_signal_between_two_handlers_ended_the_process(
        self,
    ) -> None:
        done = subprocess.run(
            [sys.executable, '-c', SIGNAL_BETWEEN_HANDLERS], check=False
        )
        self.assertEqual(done.returncode, 0)

    async def stop_with(self, number: signal.Signals) -> int:
        """Stop an idle router, and send signals until it has exited."""
        store = FleetStoreStandin()
        address = await store.start()
        store.put('op', 'config', CONFIGURATION)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            record = Record(GRACE_SECONDS)
            source = random.Random(1)
            router = SoakRouter('r1', path, address, record, source)
            try:
                await router.start()
                router.signal(signal.SIGTERM)
                assert router.process is not None
                async with asyncio.timeout(EXIT_SECONDS):
                    while router.process.process.poll() is None:
                        await asyncio.sleep(POLL_SECONDS)
                        router.signal(number)
            finally:
                router.kill()
                await store.server.stop()
            return router.process.process.returncode


if __name__ == '__main__':
    unittest.main()
