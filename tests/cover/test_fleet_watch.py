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

"""Tests of the watch of a shared table and of the age of its copy."""

import asyncio
import datetime
import random
import unittest

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.state.rows import RowChanges
from lifttrestle.internal.fleet.state.table_copy import CopyUpdate
from lifttrestle.internal.fleet.state.table_watch import TableWatch
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)


class TestTableWatch(unittest.TestCase):
    def setUp(self):
        self.rows = MemoryRows()
        self.clock = ManualClock(START)
        self.received = []
        self.watch = self.make_watch()

    def make_watch(self, batch_seconds=0.0):
        return TableWatch(
            self.rows,
            't',
            self.clock,
            random.Random(1),
            1.5,
            self.received.append,
            batch_seconds,
        )

    def read_once(self):
        asyncio.run(self.watch.read_once())

    def get_received(self):
        return [(row.key, row.value) for row in self.received]

    def test_rows_and_changes_are_reported_once(self):
        self.rows.put('t', 'a', b'1')
        self.read_once()
        self.rows.put('t', 'a', b'2')
        self.rows.put('t', 'b', b'3')
        self.read_once()
        self.read_once()
        expected = [('a', b'1'), ('a', b'2'), ('b', b'3')]
        self.assertEqual(self.get_received(), expected)

    def test_copy_is_current_as_of_the_time_of_the_request(self):
        self.read_once()
        watch_table = self.rows.watch_table

        async def respond_late(*arguments):
            self.clock.advance(1.5)
            return await watch_table(*arguments)

        self.rows.watch_table = respond_late
        self.read_once()
        self.assertEqual(self.watch.get_age(), 1.5)

    def test_failed_read_does_not_confirm_the_copy(self):
        self.read_once()
        self.clock.advance(1.0)
        self.rows.down = True
        with self.assertRaises(PlatformUnavailable):
            self.read_once()
        self.assertEqual(self.watch.get_age(), 1.0)

    def test_regression_read_after_a_failure_does_not_wait(self):
        # When the reads after a failure wait for a change until they time out,
        # the copy is confirmed late: after a store outage of 8 s the list of
        # upstreams was current only 5.3 s after the store was available again.
        waits = []
        watch_table = self.rows.watch_table

        async def record_wait(table, after, wait_seconds):
            waits.append(wait_seconds)
            return await watch_table(table, after, wait_seconds)

        self.rows.watch_table = record_wait
        self.read_once()
        self.rows.down = True
        self.run_for_reads(2)
        self.rows.down = False
        self.run_for_reads(2)
        self.assertEqual(waits[:4], [1.5, 0.0, 0.0, 1.5])

    def run_for_reads(self, count):
        async def run():
            following = asyncio.create_task(self.watch.run())
            for _ in range(count):
                await self.let_one_read_finish()
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)

        asyncio.run(run())

    async def let_one_read_finish(self):
        for _ in range(20):
            await asyncio.sleep(0)
        self.clock.advance(1.0)

    def test_reads_back_off_while_the_store_is_unavailable(self):
        # Without a growing backoff each watch sent 13 reads a second: 195
        # routers made 55,672 calls in a day in which the store reset all
        # connections for 8 s.
        read_times = []

        async def fail(table, after, wait_seconds):
            read_times.append(self.clock.monotonic())
            raise PlatformUnavailable('reset')

        self.read_once()
        self.rows.watch_table = fail

        async def run():
            following = asyncio.create_task(self.watch.run())
            for _ in range(800):
                for _ in range(10):
                    await asyncio.sleep(0)
                self.clock.advance(0.01)
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)

        asyncio.run(run())
        # The reads are at least 0.25 s apart once the backoff is at its limit.
        self.assertLessEqual(len(read_times), 36)

    def test_changes_in_quick_succession_are_read_in_batches(self):
        reads = []
        watch_table = self.rows.watch_table

        async def record_read(table, after, wait_seconds):
            reads.append(self.clock.monotonic())
            changes = await watch_table(table, after, wait_seconds)
            if not changes.rows:
                await asyncio.Event().wait()
            return changes

        self.rows.watch_table = record_read
        self.watch = self.make_watch(batch_seconds=0.2)
        self.read_once()
        self.rows.put('t', 'a', b'1')

        async def run():
            following = asyncio.create_task(self.watch.run())
            for number in range(20):
                for _ in range(10):
                    await asyncio.sleep(0)
                self.rows.put('t', 'b', b'%d' % number)
                self.clock.advance(0.05)
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)

        asyncio.run(run())
        # There were twenty changes in a second.
        self.assertEqual(len(reads), 5)

    def test_regression_recovery_of_one_watch_restarts_the_others(self):
        # A read of the routers' table waits for up to 10 s. One that was sent
        # just before a short network outage would return nothing until then.
        async def run():
            hanging = asyncio.Event()
            reads = []

            async def hang(table, after, wait_seconds):
                reads.append(table)
                await hanging.wait()

            slow = MemoryRows()
            slow.watch_table = hang
            other = TableWatch(
                slow, 'u', self.clock, random.Random(1), 10.0, print
            )
            other.restart_with(self.watch)
            await self.watch.read_once()
            following = asyncio.create_task(other.run())
            for _ in range(20):
                await asyncio.sleep(0)
            before = len(reads)
            self.rows.down = True
            with self.assertRaises(PlatformUnavailable):
                await self.watch.read_once()
            self.watch._note_lost(PlatformUnavailable('down'))
            self.rows.down = False
            await self.watch.read_once()
            for _ in range(20):
                await asyncio.sleep(0)
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)
            return before, len(reads)

        self.assertEqual(asyncio.run(run()), (1, 2))

    def test_missing_history_causes_a_full_read_with_removals(self):
        self.rows.put('t', 'a', b'1')
        self.rows.put('t', 'b', b'2')
        self.read_once()
        self.rows.put('t', 'a', None)
        self.rows.oldest = self.rows.version + 1
        self.read_once()
        self.rows.oldest = 0
        self.read_once()
        self.assertEqual(self.get_received()[2:], [('a', None)])

    def test_snapshot_older_than_the_copy_is_refused(self):
        self.rows.put('t', 'a', b'1')
        self.read_once()
        self.rows.oldest = self.rows.version + 1
        self.read_once()

        async def return_older(table):
            return RowChanges((), 0)

        self.rows.read_table = return_older
        with self.assertRaises(PlatformUnavailable):
            self.read_once()
        self.assertEqual(self.get_received(), [('a', b'1')])

    def test_restored_store_is_read_again(self):
        self.rows.put('t', 'a', b'1')
        snapshot = self.rows.take_snapshot()
        self.rows.put('t', 'a', b'2')
        self.rows.put('t', 'b', b'3')
        self.read_once()
        self.rows.restore(snapshot)
        self.rows.put('t', 'c', b'4')
        self.read_once()
        self.read_once()
        self.assertEqual(
            self.get_received()[2:], [('a', b'1'), ('c', b'4'), ('b', None)]
        )
        self.rows.put('t', 'c', b'5')
        self.read_once()
        self.assertEqual(self.get_received()[5:], [('c', b'5')])

    def test_relayed_update_without_epoch_does_not_confirm_the_copy(self):
        self.rows.restore(self.rows.take_snapshot())
        self.read_once()
        current_as_of = self.watch.current_as_of
        self.clock.advance(1.0)
        update = CopyUpdate(RowChanges((), 57), False)
        self.watch.apply_relayed(update, self.clock.monotonic(), False)
        self.assertEqual(self.watch.current_as_of, current_as_of)
