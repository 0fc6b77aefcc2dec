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

"""Tests of the writer of the row that a router keeps of itself."""

import unittest

from lifttrestle.errors import ConditionFailed
from lifttrestle.internal.fleet.state.own_row_writer import OwnRowWriter
from tests.support.memory_rows import MemoryRows

TABLE = 'table'
KEY = 'own'


class TestRestore(unittest.IsolatedAsyncioTestCase):
    async def test_regression_answer_after_a_restore_blocked_all_writes(self):
        rows = MemoryRows()
        writer = OwnRowWriter(rows, TABLE, KEY)
        snapshot = rows.take_snapshot()
        write_row = rows.write_row

        async def answer_late(write):
            version = await write_row(write)
            rows.restore(snapshot)
            writer.begin_epoch(rows.epoch)
            return version

        rows.write_row = answer_late
        await writer.write_own(b'first')
        rows.write_row = write_row
        try:
            await writer.write_own(b'second')
        except ConditionFailed:
            self.fail('its version is of the epoch before')
        self.assertEqual(rows.get(TABLE, KEY).value, b'second')


if __name__ == '__main__':
    unittest.main()
