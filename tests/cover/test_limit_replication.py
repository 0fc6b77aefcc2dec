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

"""Tests of the replication of limits and of permits between routers."""

import asyncio
import unittest

import msgspec

from lifttrestle.internal.fleet.limits.allocators import PermitAllocators
from lifttrestle.internal.fleet.limits.messages import LimitItem
from lifttrestle.internal.fleet.limits.messages import LimitUpdate
from lifttrestle.internal.fleet.policy.known_limit import ReportedLimit
from lifttrestle.internal.fleet.state.load_messages import decode_message
from lifttrestle.internal.fleet.state.rows import VersionedRow
from tests.support.entries import make_entry
from tests.support.limit_simulation import LimitScenario
from tests.support.limit_simulation import LimitSimulation
from tests.support.limit_simulation import Permits

ROUTERS = 8
RANK = 5
PROPAGATION_SECONDS = 0.1


class TestLimitReplication(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.simulation = LimitSimulation(
            LimitScenario(ROUTERS, 1.0, 0.0, upstreams=4)
        )

    async def asyncSetUp(self):
        self.design = Permits(self.simulation)
        self.addAsyncCleanup(self.design.close)
        await self.simulation.pass_time(1.0)

    def receive_answer(self, router, rate, upstream=0, seconds_ago=0.05):
        """Have a router receive an answer that reports a limit, or None."""
        now = self.simulation.clock.monotonic()
        self.design.note_answer(router, upstream, rate, now - seconds_ago)

    def count_limited(self, upstream=0):
        return sum(
            self.design.is_limited(router, upstream)
            for router in range(ROUTERS)
        )

    def get_allocator(self):
        """Return the number of the primary allocator."""
        limits = self.design.limits[0]
        allocators: PermitAllocators = limits._replicator._allocators
        return int(allocators.get_primary('a').removeprefix('router/r'))

    def list_others(self):
        return [n for n in range(ROUTERS) if n != self.get_allocator()]

    async def test_limit_that_one_router_receives_is_known_to_all(self):
        self.receive_answer(3, 1.0)
        await self.simulation.pass_time(PROPAGATION_SECONDS)
        self.assertEqual(self.count_limited(), ROUTERS)

    async def test_limit_that_all_receive_at_once_is_broadcast_once(self):
        before = self.simulation.messages
        for router in range(ROUTERS):
            self.receive_answer(router, 1.0)
        await self.simulation.pass_time(PROPAGATION_SECONDS)
        sent = self.simulation.messages - before
        self.assertLessEqual(sent, 3 * ROUTERS)

    async def test_end_that_one_router_receives_starts_recovery_at_all(self):
        self.receive_answer(3, 1.0)
        await self.simulation.pass_time(1.0)
        self.receive_answer(5, None)
        await self.simulation.pass_time(PROPAGATION_SECONDS)
        self.assertEqual(self.count_limited(), ROUTERS)
        await self.simulation.pass_time(9.0)
        self.assertEqual(self.count_limited(), 0)

    async def test_regression_restarted_allocator_skipped_the_recovery(self):
        self.receive_answer(3, 1.0)
        await self.simulation.pass_time(1.0)
        self.receive_answer(5, None)
        await self.simulation.pass_time(PROPAGATION_SECONDS)
        self.design.restart(self.get_allocator())
        await self.simulation.pass_time(PROPAGATION_SECONDS)
        querying = self.list_others()[0]
        granted = sum(
            [await self._request_permit(querying) for _ in range(40)]
        )
        self.assertLessEqual(granted, 8)
        self.assertGreaterEqual(granted, 1)
        self.assertTrue(self.design.is_limited(querying, 0))
        await self.simulation.pass_time(11.0)
        self.assertEqual(self.count_limited(), 0)

    async def test_older_answer_at_another_router_does_not_end_a_limit(self):
        self.receive_answer(3, 1.0)
        await self.simulation.pass_time(1.0)
        self.receive_answer(5, None, seconds_ago=2.0)
        await self.simulation.pass_time(6.0)
        self.assertEqual(self.count_limited(), ROUTERS)

    async def test_older_answer_does_not_restore_an_ended_limit(self):
        self.receive_answer(3, 1.0)
        await self.simulation.pass_time(1.0)
        self.receive_answer(5, None)
        await self.simulation.pass_time(1.0)
        self.receive_answer(6, 1.0, seconds_ago=2.0)
        await self.simulation.pass_time(6.0)
        self.assertEqual(self.count_limited(), 0)

    async def test_new_start_under_the_same_name_is_not_limited(self):
        self.receive_answer(3, 1.0)
        await self.simulation.pass_time(PROPAGATION_SECONDS)
        for directory in self.design.directories:
            known = directory.get('p0')
            entry = make_entry(
                born=known.entry.born + 1, address=known.entry.address
            )
            value = msgspec.json.encode(entry)
            directory.on_ended = self._make_forget(directory)
            directory.apply_row(VersionedRow('p0', value, 2))
        await self.simulation.pass_time(2.0)
        self.assertEqual(self.count_limited(), 0)

    def _make_forget(self, directory):
        number = self.design.directories.index(directory)
        limits = self.design.limits[number]
        return lambda upstream, end: limits.forget(upstream)

    async def test_standby_grants_a_quarter_while_the_primary_is_down(self):
        self.receive_answer(3, 4.0)
        await self.simulation.pass_time(1.0)
        self.simulation.handlers[self.get_allocator()] = lambda data: None
        querying = self.list_others()[0]
        granted = 0
        for _ in range(400):
            granted += await self._request_permit(querying)
        seconds = 400 * 0.05
        self.assertGreaterEqual(granted, 0.6 * seconds)
        self.assertLessEqual(granted, 1.3 * seconds)

    async def _request_permit(self, router):
        """Request a permit, then let a twentieth of a second pass."""
        upstream = self.design.get_upstream(router, 0)
        limits = self.design.limits[router]
        granted = False
        if not limits.is_refused(upstream, RANK):
            request = asyncio.ensure_future(
                limits.request_permit(upstream, RANK)
            )
            while not request.done():
                await self.simulation.pass_time(0.01)
            granted = not request.result().wait
        await self.simulation.pass_time(0.05)
        return granted

    async def test_allocator_that_missed_updates_learns_from_a_query(self):
        allocator = self.get_allocator()
        others = self.list_others()
        self.receive_answer(others[0], 1.0)
        await self.simulation.pass_time(PROPAGATION_SECONDS)
        # As after a restart without an update of the limit.
        upstream = self.design.get_upstream(allocator, 0)
        self.design.limits[allocator].forget(upstream)
        self.assertFalse(self.design.is_limited(allocator, 0))
        await self._request_permit(others[0])
        self.assertTrue(self.design.is_limited(allocator, 0))

    async def test_fault_is_reported_once_and_changes_nothing(self):
        self.receive_answer(3, 1.0)
        limits = self.design.limits[3]
        upstream = self.design.get_upstream(3, 0)
        faults = []
        limits._refusals.report = lambda *fields: faults.append(fields)
        for _ in range(3):
            limits.note_answer(
                upstream, ReportedLimit(fault=ValueError('x')), 0
            )
        self.assertEqual(len(faults), 1)
        self.assertTrue(limits.is_limited(upstream))

    async def test_update_of_an_unknown_start_is_ignored(self):
        item = LimitItem(12345, 1.0, 0.1, 0.1)
        self.design.limits[0]._replicator.handle_update(
            LimitUpdate('r1', [item])
        )
        self.assertEqual(len(self.design.limits[0]), 0)

    async def test_invalid_messages_are_refused(self):
        for rate in (-1.0, float('nan'), float('inf')):
            update = LimitUpdate('r1', [LimitItem(1, rate, 0.0, 0.0)])
            with self.assertRaises(ValueError):
                decode_message(msgspec.msgpack.encode(update))

    async def test_starting_router_is_synced_once_another_answers(self):
        self.receive_answer(3, 1.0)
        await self.simulation.pass_time(PROPAGATION_SECONDS)
        number = self.list_others()[0]
        self.design.restart(number)
        self.assertFalse(self.design.limits[number].is_synced())
        await self.simulation.pass_time(0.05)
        self.assertTrue(self.design.limits[number].is_synced())
        self.assertTrue(self.design.is_limited(number, 0))

    async def test_regression_synced_before_upstreams_were_loaded(
        self,
    ):
        self.receive_answer(3, 1.0)
        await self.simulation.pass_time(PROPAGATION_SECONDS)
        number = self.list_others()[0]
        known = self.design.directories[number]
        self.design.directories[number] = self.design.make_directory(0)
        listed = False
        self.design.restart(number, lambda: listed)
        await self.simulation.pass_time(0.5)
        self.assertFalse(self.design.limits[number].is_synced())
        for upstream in range(self.simulation.scenario.upstreams):
            row = self.design.make_row(upstream)
            self.design.directories[number].apply_row(row)
        listed = True
        self.assertFalse(self.design.limits[number].is_synced())
        await self.simulation.pass_time(0.1)
        self.assertTrue(self.design.limits[number].is_synced())
        self.assertTrue(self.design.is_limited(number, 0))
        self.assertIsNotNone(known.get('p0'))

    async def test_regression_synced_before_busy_routers_answered(self):
        self.receive_answer(3, 1.0)
        await self.simulation.pass_time(PROPAGATION_SECONDS)
        number = self.list_others()[0]
        for other in range(ROUTERS):
            if other != number:
                self._delay_messages(other, 0.5)
        self.design.restart(number)
        while not self.design.limits[number].is_synced():
            await self.simulation.pass_time(0.01)
        self.assertTrue(self.design.is_limited(number, 0))

    def _delay_messages(self, router, seconds):
        handle = self.simulation.handlers[router]
        self.simulation.handlers[router] = lambda data: (
            self.simulation.schedule(seconds, lambda: handle(data))
        )

    async def test_lost_sync_request_is_repeated(self):
        self.receive_answer(3, 1.0)
        await self.simulation.pass_time(PROPAGATION_SECONDS)
        number = self.list_others()[0]
        handlers = dict(self.simulation.handlers)
        for other in range(ROUTERS):
            self.simulation.handlers[other] = lambda data: None
        self.design.restart(number)
        await self.simulation.pass_time(0.1)
        own = self.simulation.handlers[number]
        self.simulation.handlers.update(handlers)
        self.simulation.handlers[number] = own
        await self.simulation.pass_time(0.3)
        self.assertTrue(self.design.limits[number].is_synced())
        self.assertTrue(self.design.is_limited(number, 0))

    async def test_sync_times_out_if_no_router_answers(self):
        for number in range(1, ROUTERS):
            self.simulation.handlers[number] = lambda data: None
        self.design.restart(0)
        await self.simulation.pass_time(0.9)
        self.assertFalse(self.design.limits[0].is_synced())
        await self.simulation.pass_time(0.2)
        self.assertTrue(self.design.limits[0].is_synced())
