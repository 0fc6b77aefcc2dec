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

"""The view of a shared table: how current it is; it never goes back."""

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
        self.heard = []
        self.watch = self.make_watch()

    def make_watch(self, batch_seconds=0.0):
        return TableWatch(
            self.rows,
            't',
            self.clock,
            random.Random(1),
            1.5,
            self.heard.append,
            batch_seconds,
        )

    def step(self):
        asyncio.run(self.watch.step())

    def get_heard(self):
        return [(row.key, row.value) for row in self.heard]

    def test_rows_and_changes_are_told_once(self):
        self.rows.put('t', 'a', b'1')
        self.step()
        self.rows.put('t', 'a', b'2')
        self.rows.put('t', 'b', b'3')
        self.step()
        self.step()
        expected = [('a', b'1'), ('a', b'2'), ('b', b'3')]
        self.assertEqual(self.get_heard(), expected)

    def test_proof_counts_from_the_send(self):
        self.step()
        answer = self.rows.watch_table

        async def answer_late(*arguments):
            self.clock.advance(1.5)
            return await answer(*arguments)

        self.rows.watch_table = answer_late
        self.step()
        self.assertEqual(self.watch.get_age(), 1.5)

    def test_failed_read_proves_nothing(self):
        self.step()
        self.clock.advance(1.0)
        self.rows.down = True
        with self.assertRaises(PlatformUnavailable):
            self.step()
        self.assertEqual(self.watch.get_age(), 1.0)

    def test_regression_lost_watch_asks_without_waiting(self):
        # With the store silent for 8 s, each read waited out its time, and
        # the list of upstreams was back 5.3 s after the store (incident on
        # sofia-chimes).
        waits = []
        answer = self.rows.watch_table

        async def note_wait(table, after, wait_seconds):
            waits.append(wait_seconds)
            return await answer(table, after, wait_seconds)

        self.rows.watch_table = note_wait
        self.step()
        self.rows.down = True
        self.run_steps(2)
        self.rows.down = False
        self.run_steps(2)
        self.assertEqual(waits[:4], [1.5, 0.0, 0.0, 1.5])

    def run_steps(self, count):
        async def run():
            following = asyncio.create_task(self.watch.run())
            for _ in range(count):
                await self.let_one_read_pass()
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)

        asyncio.run(run())

    async def let_one_read_pass(self):
        for _ in range(20):
            await asyncio.sleep(0)
        self.clock.advance(1.0)

    def test_store_that_is_away_is_asked_less_and_less_often(self):
        # 195 routers made 55,672 calls in a day in which the store reset all
        # connections for 8 s: each watch asked 13 times a second.
        asked = []

        async def fail(table, after, wait_seconds):
            asked.append(self.clock.monotonic())
            raise PlatformUnavailable('reset')

        self.step()
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
        # At least a quarter of a second apart once the pauses have grown.
        self.assertLessEqual(len(asked), 36)

    def test_changes_that_come_together_cost_one_read(self):
        reads = []
        answer = self.rows.watch_table

        async def note_read(table, after, wait_seconds):
            reads.append(self.clock.monotonic())
            changes = await answer(table, after, wait_seconds)
            if not changes.rows:
                await asyncio.Event().wait()
            return changes

        self.rows.watch_table = note_read
        self.watch = self.make_watch(batch_seconds=0.2)
        self.step()
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
        # Twenty changes in a second.
        self.assertEqual(len(reads), 5)

    def test_regression_return_of_one_watch_restarts_the_others(self):
        # A read of the routers' table waits for 10 s; sent just before a
        # short cut it would tell nothing for as long.
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
            await self.watch.step()
            following = asyncio.create_task(other.run())
            for _ in range(20):
                await asyncio.sleep(0)
            before = len(reads)
            self.rows.down = True
            with self.assertRaises(PlatformUnavailable):
                await self.watch.step()
            self.watch._note_lost(PlatformUnavailable('down'))
            self.rows.down = False
            await self.watch.step()
            for _ in range(20):
                await asyncio.sleep(0)
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)
            return before, len(reads)

        self.assertEqual(asyncio.run(run()), (1, 2))

    def test_dropped_history_is_read_anew_with_what_was_removed(self):
        self.rows.put('t', 'a', b'1')
        self.rows.put('t', 'b', b'2')
        self.step()
        self.rows.put('t', 'a', None)
        self.rows.oldest = self.rows.version + 1
        self.step()
        self.rows.oldest = 0
        self.step()
        self.assertEqual(self.get_heard()[2:], [('a', None)])

    def test_store_that_went_back_is_not_believed(self):
        self.rows.put('t', 'a', b'1')
        self.step()
        self.rows.oldest = self.rows.version + 1
        self.step()

        async def answer_old(table):
            return RowChanges((), 0)

        self.rows.read_table = answer_old
        with self.assertRaises(PlatformUnavailable):
            self.step()
        self.assertEqual(self.get_heard(), [('a', b'1')])

    def test_restored_store_is_read_anew(self):
        self.rows.put('t', 'a', b'1')
        snapshot = self.rows.take_snapshot()
        self.rows.put('t', 'a', b'2')
        self.rows.put('t', 'b', b'3')
        self.step()
        self.rows.restore(snapshot)
        self.rows.put('t', 'c', b'4')
        self.step()
        self.step()
        self.assertEqual(
            self.get_heard()[2:], [('a', b'1'), ('c', b'4'), ('b', None)]
        )
        self.rows.put('t', 'c', b'5')
        self.step()
        self.assertEqual(self.get_heard()[5:], [('c', b'5')])

    def test_relayed_news_without_epoch_proves_nothing(self):
        self.rows.restore(self.rows.take_snapshot())
        self.step()
        current_as_of = self.watch.current_as_of
        self.clock.advance(1.0)
        news = CopyUpdate(RowChanges((), 57), False)
        self.watch.take_relayed(news, self.clock.monotonic(), False)
        self.assertEqual(self.watch.current_as_of, current_as_of)
