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

"""Leases with paused holders, and load orders that arrive late."""

import datetime
import unittest

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.model import Model
from lifttrestle.internal.configuration.view import build_view
from lifttrestle.internal.orders.decision import compute_order_number
from lifttrestle.internal.orders.decision import find_orders
from lifttrestle.internal.orders.lease import Lease
from lifttrestle.internal.orders.lease import NOT_HELD
from lifttrestle.internal.settings.upstream import UpstreamCapabilities
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
    """Loads weights on order; optionally checks the fencing number."""

    def __init__(self, checks: bool) -> None:
        self.version = 'v0'
        self._checks = checks
        self._highest = 0

    def load(self, version: str, number: int) -> bool:
        if self._checks and number < self._highest:
            return False
        self._highest = max(self._highest, number)
        self.version = version
        return True


class LossyTable(MemoryTable):
    """Can lose the answer to its next transaction, after committing it."""

    loses_answer = False

    async def transact(self, transaction: Transaction) -> int:
        commit = await super().transact(transaction)
        if self.loses_answer:
            self.loses_answer = False
            raise PlatformUnavailable('lost')
        return commit


class TestLease(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.table = LossyTable()
        self.clock = ManualClock(START)
        self.one = self.make_lease('one')
        self.two = self.make_lease('two')

    def make_lease(self, holder: str) -> Lease:
        return Lease(
            self.table, self.clock, 'x', holder, LEASE_SECONDS, CLOCK_ERROR
        )

    async def test_one_holder_at_a_time(self) -> None:
        self.assertEqual(await self.one.acquire(), 1)
        self.assertEqual(await self.two.acquire(), NOT_HELD)
        self.clock.advance(LEASE_SECONDS)
        # By a slower clock the lease may not have expired yet.
        self.assertEqual(await self.two.acquire(), NOT_HELD)
        self.clock.advance(CLOCK_ERROR)
        self.assertEqual(await self.two.acquire(), 2)

    async def test_renewal_keeps_the_fencing_number(self) -> None:
        for _ in range(5):
            self.assertEqual(await self.one.acquire(), 1)
            self.clock.advance(LEASE_SECONDS * 0.6)

    async def test_expired_lease_of_same_holder_gets_a_higher_number(
        self,
    ) -> None:
        await self.one.acquire()
        self.clock.advance(LEASE_SECONDS * 3)
        self.assertEqual(await self.one.acquire(), 2)

    async def test_lost_answer_is_read_back(self) -> None:
        self.table.loses_answer = True
        self.assertEqual(await self.one.acquire(), NOT_HELD)
        self.assertEqual(await self.one.acquire(), 1)

    async def test_paused_holder_cannot_restore_old_weights(self) -> None:
        engine = Engine(checks=True)
        late = compute_order_number(await self.one.acquire(), 7)
        # The first holder is paused between acquiring and sending.
        self.clock.advance(LEASE_SECONDS + CLOCK_ERROR)
        newer = compute_order_number(await self.two.acquire(), 8)
        self.assertTrue(engine.load('v2', newer))
        self.assertFalse(engine.load('v1', late))
        self.assertEqual(engine.version, 'v2')

    async def test_late_order_of_same_holder_is_rejected(self) -> None:
        engine = Engine(checks=True)
        fencing = await self.one.acquire()
        self.assertTrue(engine.load('v2', compute_order_number(fencing, 8)))
        self.assertFalse(engine.load('v1', compute_order_number(fencing, 7)))

    async def test_engine_without_fencing_check_restores_old_weights(
        self,
    ) -> None:
        # This is why such an engine gets no orders.
        engine = Engine(checks=False)
        engine.load('v2', compute_order_number(2, 8))
        engine.load('v1', compute_order_number(1, 7))
        self.assertEqual(engine.version, 'v1')


class TestDecision(unittest.TestCase):
    def find(
        self, report: object, checks: bool = True, data_centre: str = 'silom'
    ) -> list:
        settings = UpstreamSettings(
            'engine',
            UpstreamKind.ENGINE,
            'g',
            data_centre,
            '127.0.0.1:1',
            can=UpstreamCapabilities(
                reports_state=True, checks_fencing=checks
            ),
        )
        upstream = UpstreamState(settings, None, report)  # type: ignore
        document = Document(models={'m': Model('m', 'v2', 'g')})
        return find_orders(build_view(1, document, None), [upstream], 'silom')

    def test_orders_only_what_is_due(self) -> None:
        old = EngineReport('one', {'m': 'v1'})
        self.assertEqual(len(self.find(old)), 1)
        self.assertEqual(self.find(EngineReport('one', {'m': 'v2'})), [])
        self.assertEqual(self.find(NO_REPORT), [])
        self.assertEqual(self.find(old, data_centre='bangna'), [])

    def test_engine_without_fencing_check_gets_no_order(self) -> None:
        old = EngineReport('one', {'m': 'v1'})
        self.assertEqual(self.find(old, checks=False), [])


if __name__ == '__main__':
    unittest.main()
