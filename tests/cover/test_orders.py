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

"""Leases whose holder is paused, and orders that arrive late."""

import datetime
import unittest

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.model import Model
from lifttrestle.internal.configuration.view import build_view
from lifttrestle.internal.orders.decision import find_orders
from lifttrestle.internal.orders.decision import number_order
from lifttrestle.internal.orders.lease import Lease
from lifttrestle.internal.orders.lease import NOT_HELD
from lifttrestle.internal.settings.upstream import UpstreamAbilities
from lifttrestle.internal.settings.upstream import UpstreamKind
from lifttrestle.internal.settings.upstream import UpstreamSettings
from lifttrestle.internal.store.memory_table import MemoryTable
from lifttrestle.internal.store.row import Transaction
from lifttrestle.internal.upstream.report import EngineReport
from lifttrestle.internal.upstream.report import NO_REPORT
from lifttrestle.internal.upstream.state import UpstreamState

START = datetime.datetime(2026, 12, 6, tzinfo=datetime.timezone.utc)
LEASE_SECONDS = 10.0
CLOCK_ERROR = 1.0


class Engine:
    """Loads weights on order; it may check the fencing number."""

    def __init__(self, checks: bool) -> None:
        self.version = 'v0'
        self._checks = checks
        self._highest = 0

    def take(self, version: str, number: int) -> bool:
        if self._checks and number < self._highest:
            return False
        self._highest = max(self._highest, number)
        self.version = version
        return True


class LossyTable(MemoryTable):
    """Loses the answer to its next transaction, after its effect."""

    loses = False

    async def transact(self, transaction: Transaction) -> int:
        commit = await super().transact(transaction)
        if self.loses:
            self.loses = False
            raise PlatformUnavailable('lost')
        return commit


class TestLease(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.table = LossyTable()
        self.clock = ManualClock(START)
        self.one = self.make('one')
        self.two = self.make('two')

    def make(self, holder: str) -> Lease:
        return Lease(
            self.table, self.clock, 'x', holder, LEASE_SECONDS, CLOCK_ERROR
        )

    async def test_one_holder_at_a_time(self) -> None:
        self.assertEqual(await self.one.hold(), 1)
        self.assertEqual(await self.two.hold(), NOT_HELD)
        self.clock.advance(LEASE_SECONDS)
        # Some clock may still say that it holds.
        self.assertEqual(await self.two.hold(), NOT_HELD)
        self.clock.advance(CLOCK_ERROR)
        self.assertEqual(await self.two.hold(), 2)

    async def test_renewing_keeps_the_number(self) -> None:
        for _ in range(5):
            self.assertEqual(await self.one.hold(), 1)
            self.clock.advance(LEASE_SECONDS * 0.6)

    async def test_own_lapsed_lease_gets_a_higher_number(self) -> None:
        await self.one.hold()
        self.clock.advance(LEASE_SECONDS * 3)
        self.assertEqual(await self.one.hold(), 2)

    async def test_lost_answer_is_read_back(self) -> None:
        self.table.loses = True
        self.assertEqual(await self.one.hold(), NOT_HELD)
        self.assertEqual(await self.one.hold(), 1)

    async def test_paused_holder_cannot_bring_old_weights_back(self) -> None:
        engine = Engine(checks=True)
        late = number_order(await self.one.hold(), 7)
        # Paused between taking the lease and sending the order.
        self.clock.advance(LEASE_SECONDS + CLOCK_ERROR)
        newer = number_order(await self.two.hold(), 8)
        self.assertTrue(engine.take('v2', newer))
        self.assertFalse(engine.take('v1', late))
        self.assertEqual(engine.version, 'v2')

    async def test_late_order_of_one_holder_undoes_nothing(self) -> None:
        engine = Engine(checks=True)
        fencing = await self.one.hold()
        self.assertTrue(engine.take('v2', number_order(fencing, 8)))
        self.assertFalse(engine.take('v1', number_order(fencing, 7)))

    async def test_engine_that_does_not_check_would_be_undone(self) -> None:
        # Why such an engine is sent no order that switches weights.
        engine = Engine(checks=False)
        engine.take('v2', number_order(2, 8))
        engine.take('v1', number_order(1, 7))
        self.assertEqual(engine.version, 'v1')


class TestDecision(unittest.TestCase):
    def find(
        self, report: object, checks: bool = True, place: str = 'silom'
    ) -> list:
        settings = UpstreamSettings(
            'engine',
            UpstreamKind.ENGINE,
            'g',
            place,
            '127.0.0.1:1',
            can=UpstreamAbilities(reports_state=True, checks_fencing=checks),
        )
        upstream = UpstreamState(settings, None, report)  # type: ignore
        document = Document(models={'m': Model('m', 'v2', 'g')})
        return find_orders(build_view(1, document, None), [upstream], 'silom')

    def test_orders_only_what_is_due(self) -> None:
        old = EngineReport('one', {'m': 'v1'})
        self.assertEqual(len(self.find(old)), 1)
        self.assertEqual(self.find(EngineReport('one', {'m': 'v2'})), [])
        self.assertEqual(self.find(NO_REPORT), [])
        self.assertEqual(self.find(old, place='bangna'), [])

    def test_engine_that_does_not_check_gets_no_order(self) -> None:
        old = EngineReport('one', {'m': 'v1'})
        self.assertEqual(self.find(old, checks=False), [])


if __name__ == '__main__':
    unittest.main()
