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

import asyncio
import contextlib
import random
import unittest
from unittest import mock

from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.fleet.state import table_watch
from lifttrestle.internal.fleet.state.table_watch import TableWatch
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import make_router
from tests.support.fleet import PROMISES
from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until
from tests.support.fleet_store import FleetStoreStandin
from tests.support.memory_rows import MemoryRows

# Longer than a call to the store usually may take.
DELAY_SECONDS = 1.2
# Until the first answer that was sent so late.
SETTLING_SECONDS = 3.0
CHECKED_SECONDS = 6.0
CHECK_SECONDS = 0.05
# The read that is late, and one that shows whether only its connection is.
MAX_PENDING_READS = 2
LATE_SECONDS = 0.02
# The users' bound for the return of the service.
RECOVERY_SECONDS = 12.0


class TestSlowStore(unittest.IsolatedAsyncioTestCase):
    async def test_regression_ready_router_refused_all_as_store_was_slow(self):
        async with run_fleet() as fleet:
            fleet.store.delay = DELAY_SECONDS
            await asyncio.sleep(SETTLING_SECONDS)
            checks = []
            for _ in range(round(CHECKED_SECONDS / CHECK_SECONDS)):
                checks.append(fleet.router.is_ready())
                await asyncio.sleep(CHECK_SECONDS)
            answer = await fleet.call('/safe/a')
            self.assertEqual(answer.status, 200)
        self.assertEqual(checks.count(False), 0, f'of {len(checks)} checks')

    async def test_regression_starting_router_never_served_as_store_was_slow(
        self,
    ):
        store = FleetStoreStandin()
        address = await store.start()
        store.put('op', 'config', CONFIGURATION)
        store.delay = DELAY_SECONDS
        router = make_router(address, PROMISES)
        await router.start()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RECOVERY_SECONDS):
                    await wait_until(router.is_ready)
            self.assertTrue(router.is_ready())
        finally:
            await router.stop()
            await store.server.stop()


class SilentStore(MemoryRows):
    """Answers the first read only.

    :ivar pending: number of watches without an answer.
    """

    def __init__(self) -> None:
        super().__init__()
        self.pending = 0

    async def watch_table(self, *arguments):
        """Wait for ever."""
        self.pending += 1
        await asyncio.Event().wait()


class TestSilentStore(unittest.IsolatedAsyncioTestCase):
    async def test_regression_reads_without_an_answer_piled_up(self):
        store = SilentStore()
        watch = TableWatch(
            store, 't', SystemClock(), random.Random(1), 0.0, print
        )
        with mock.patch.object(table_watch, 'LATE_SECONDS', LATE_SECONDS):
            following = asyncio.create_task(watch.run())
            await asyncio.sleep(10 * LATE_SECONDS)
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)
        self.assertLessEqual(store.pending, MAX_PENDING_READS)
