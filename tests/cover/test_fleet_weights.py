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

"""Tests of the rollout of weights: lease, delayed orders and restores."""

import asyncio
import dataclasses
import datetime
import unittest
from unittest import mock

from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.loads.engine_control import LoadOrder
from lifttrestle.internal.fleet.loads.engine_control import OrderOutcome
from lifttrestle.internal.fleet.loads.load_tracking import LoadTracker
from lifttrestle.internal.fleet.loads.weights_loader import WeightsLoader
from lifttrestle.internal.fleet.policy.weight_loading import list_outdated
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.router_row import RouterRow
from lifttrestle.internal.fleet.state.row_version import get_epoch
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.table_copy import TableCopy
from lifttrestle.internal.fleet.state.weights_view import ObservedPlan
from tests.support.entries import make_entry
from tests.support.load_fleet import Engines
from tests.support.load_fleet import Router
from tests.support.load_fleet import SleepAdvancingClock
from tests.support.memory_rows import MemoryRows
from tests.support.models import run_model

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)
LEASE_SECONDS = Promises().lease_seconds
ROUTER_ROW = msgspec.json.encode(RouterRow('a'))


class LoaderMachine(stateful.RuleBasedStateMachine):
    """Routers that hear late, lose the store and whose orders are late."""

    loader_class = WeightsLoader
    router_class = Router

    def __init__(self):
        super().__init__()
        self.time = ManualClock(START)
        self.rows = MemoryRows()
        self.engines = Engines(self.time)
        self.routers = [
            self.router_class(
                name, self.time, self.rows, self.engines, self.loader_class
            )
            for name in ('a', 'b', 'c')
        ]
        self.version = 1

    @stateful.rule()
    def name_weights(self):
        self.version += 1
        for router in self.routers:
            router.name(self.version)

    @stateful.rule(index=st.integers(0, 2))
    def hear(self, index):
        self.routers[index].hear()

    @stateful.rule(index=st.integers(0, 2))
    def act(self, index):
        self.routers[index].act()

    @stateful.rule(seconds=st.sampled_from((0.1, 0.7, 1.5, 3.5, 5.0, 9.0)))
    def wait(self, seconds):
        self.time.advance(seconds)

    @stateful.rule(index=st.integers(0, 2), delays=st.booleans())
    def delay_orders(self, index, delays):
        self.routers[index].control.delays = delays

    @stateful.rule(down=st.booleans(), lose=st.booleans())
    def harm_store(self, down, lose):
        self.rows.down = False
        self.rows.lose_answers = lose
        for router in self.routers:
            router.hear()
        self.rows.down = down

    @stateful.precondition(lambda self: self.engines.late)
    @stateful.rule()
    def deliver_late(self):
        instance, order = self.engines.late.pop(0)
        before = self.engines.weights[instance]
        self.engines.take(instance, order)
        # It may still do its work, but never undo newer work.
        assert self.engines.weights[instance] >= before
        self.engines.log.pop()

    @stateful.invariant()
    def holders_do_not_take_turns(self):
        for before, after in zip(self.engines.log, self.engines.log[1:]):
            if before[2].holder != after[2].holder:
                assert after[0] - before[0] >= LEASE_SECONDS, (before, after)

    @stateful.invariant()
    def fences_grow(self):
        fences = [order.fence for _, _, order in self.engines.log]
        assert fences == sorted(fences)
        holders = {
            order.fence: order.holder for _, _, order in self.engines.log
        }
        for _, _, order in self.engines.log:
            assert holders[order.fence] == order.holder


class TableCopyRouter(Router):
    """Reads the table through a copy, which marks restored rows."""

    def __init__(self, name, time, rows, engines, loader_class):
        super().__init__(name, time, rows, engines, loader_class)
        self.table_copy = TableCopy(FLEET_TABLE, time, self.plans.apply_row)

    def hear(self):
        if self.rows.down:
            return
        after = self.table_copy.version
        if self.table_copy.loaded and get_epoch(after) == self.rows.epoch:
            read = self.rows.watch_table(FLEET_TABLE, after, 0)
            self.table_copy.apply_changes(asyncio.run(read), 0.0)
            return
        read = self.rows.read_table(FLEET_TABLE)
        self.table_copy.apply_snapshot(asyncio.run(read), 0.0)


class RestoredStoreMachine(LoaderMachine):
    """Also restores the store from an older copy."""

    router_class = TableCopyRouter

    def __init__(self):
        super().__init__()
        for router in self.routers:
            self.rows.put(FLEET_TABLE, router.roster.key, ROUTER_ROW)
            router.hear()
        self.snapshots = [self.rows.take_snapshot()]
        self.name_weights()

    @stateful.rule(index=st.integers(0, 2))
    def act(self, index):
        self.snapshots.append(self.rows.take_snapshot())
        super().act(index)

    @stateful.rule(index=st.integers(0, 2))
    def take_lease_over(self, index):
        self.name_weights()
        for seconds in (9.0, 0.0):
            self.wait(seconds)
            self.hear(index)
            self.act(index)

    @stateful.rule(index=st.integers(0, 2))
    def name_hear_and_act(self, index):
        self.name_weights()
        self.hear(index)
        self.act(index)

    @stateful.rule(age=st.integers(1, 6))
    def restore_store(self, age):
        snapshot = self.snapshots[-min(age, len(self.snapshots))]
        self.snapshots = [snapshot]
        self.rows.restore(snapshot)


class EarlyTakeoverLoader(WeightsLoader):
    """Injected fault: takes the lease over before it has expired."""

    def _may_order(self, model, held, now):
        return True


class IgnoredEpochLoader(WeightsLoader):
    """Injected fault: creates a missing row in any epoch."""

    async def _write_plans(self, model, held, loading):
        held = {
            name: dataclasses.replace(plan, epoch=None)
            for name, plan in held.items()
        }
        return await super()._write_plans(model, held, loading)


class UncheckedWriteLoader(WeightsLoader):
    """Injected fault: writes with the version of a row it has not checked."""

    async def _load_next(self, model, held, loads, outdated):
        held = {
            name: ObservedPlan(
                plan.plan, self._get_version(name), plan.seen_at
            )
            for name, plan in held.items()
        }
        await super()._load_next(model, held, loads, outdated)

    def _get_version(self, model):
        rows = self.lease._store
        return rows.get(FLEET_TABLE, f'weights/{model}').version


def run_machine(loader_class, machine=LoaderMachine):
    fields = {'loader_class': loader_class}
    run_model(type('Machine', (machine,), fields), 300, 30)


class TestLoader(unittest.TestCase):
    def test_orders_of_two_routers_are_a_lease_apart(self):
        run_machine(WeightsLoader)

    def test_orders_of_two_routers_are_a_lease_apart_after_a_restore(self):
        run_machine(WeightsLoader, RestoredStoreMachine)

    def test_planted_write_in_any_epoch_is_found(self):
        with self.assertRaises(AssertionError):
            run_machine(IgnoredEpochLoader, RestoredStoreMachine)

    def test_planted_early_takeover_is_found(self):
        with self.assertRaises(AssertionError):
            run_machine(EarlyTakeoverLoader)

    def test_planted_unchecked_write_is_found(self):
        with self.assertRaises(AssertionError):
            run_machine(UncheckedWriteLoader)


class TestSteps(unittest.TestCase):
    def setUp(self):
        self.time = ManualClock(START)
        self.rows = MemoryRows()
        self.engines = Engines(self.time)

    def make_router(self, name):
        return Router(name, self.time, self.rows, self.engines, WeightsLoader)

    def test_two_of_five_engines_load_at_a_time_and_all_load(self):
        router = self.make_router('a')
        router.name(2)
        router.act()
        self.assertEqual(len(self.engines.log), 2)
        for _ in range(8):
            self.time.advance(1.0)
            router.act()
        self.assertEqual(set(self.engines.weights.values()), {2})

    def test_intermediate_versions_are_not_loaded(self):
        router = self.make_router('a')
        for version in (2, 3, 4):
            router.name(version)
        router.act()
        versions = {order.version for _, _, order in self.engines.log}
        self.assertEqual(versions, {4})

    def test_plan_is_written_before_the_orders(self):
        router = self.make_router('a')
        other = self.make_router('b')
        router.name(2)
        router.act()
        other.hear()
        now = self.time.monotonic()
        busy = [item for item in other.directory if item.busy_until > now]
        ordered = {instance for _, instance, _ in self.engines.log}
        self.assertEqual({item.instance for item in busy}, ordered)

    def test_regression_router_with_a_conflicting_write_sends_no_orders(self):
        # Both routers read that the lease was free. The second overwrote the
        # row that the first had just written, and both sent orders.
        first = self.make_router('a')
        second = self.make_router('b')
        for router in (first, second):
            router.name(2)
        self.time.advance(60.0)
        for router in (first, second):
            router.act()
        self.time.advance(60.0)
        held = second.loader.lease.observe('m')
        first.act()
        second.hear()
        loads = second.loader._get_loads('m')
        outdated = list_outdated(second.directory, 'm', {'m': 2})
        with self.assertRaises(ConditionFailed):
            asyncio.run(second.loader._load_next('m', held, loads, outdated))
        holders = {order.holder for _, _, order in self.engines.log}
        self.assertEqual(len(holders), 1)

    def test_regression_all_routers_took_the_lease_over_at_once(self):
        # All routers wrote the row as soon as the lease had expired, and five
        # writes within 0.3 s got no answer.
        routers = [self.make_router(name) for name in ('a', 'b', 'c')]
        for router in routers:
            for name in ('router/a', 'router/b', 'router/c'):
                router.roster.apply_row(VersionedRow(name, ROUTER_ROW, 1))
            router.name(2)
            router.loader._needed_since['m'] = 0.0
        self.time.advance(60.0)
        routers[0].act()
        for router in routers:
            router.hear()
        held = routers[1].loader.lease.observe('m')
        takeover_times = sorted(
            router.loader.lease.find_takeover_time(held, 0.0)
            for router in routers[1:]
        )
        seen_at = held['m'].seen_at
        self.assertGreater(takeover_times[0], seen_at + LEASE_SECONDS)
        gaps = [
            after - before
            for before, after in zip(takeover_times, takeover_times[1:])
        ]
        self.assertGreaterEqual(min(gaps), 0.2)

    def test_regression_order_without_an_answer_is_sent_again_soon(self):
        # The router waited for a load that had not started, and sent the
        # engine no requests for four seconds.
        router = self.make_router('a')
        router.name(2)
        router.control.delays = True
        router.act()
        lost = {instance for instance, _ in self.engines.late}
        router.control.delays = False
        self.time.advance(0.9)
        router.act()
        ordered = {instance for _, instance, _ in self.engines.log}
        self.assertEqual(ordered, lost)
        for instance, order in self.engines.late:
            outcome = self.engines.take(instance, order)
            self.assertIs(outcome, OrderOutcome.OTHER_ORDER)

    def test_silent_engines_count_as_unavailable_for_the_load_limit(self):
        router = self.make_router('a')
        router.name(2)
        self.time.advance(5.0)
        for name in ('e4', 'e5'):
            router.directory.get(name).note_sent(1, 1.0)
        router.act()
        self.assertEqual(len(self.engines.log), 1)

    def test_regression_engine_that_asked_for_a_pause_was_called(self):
        router = self.make_router('a')
        router.name(2)
        engine = router.directory.get('e1')
        engine.rejections.note_requested(3.0, self.time.monotonic())
        for _ in range(2):
            router.act()
            self.time.advance(1.0)
        ordered = {instance for _, instance, _ in self.engines.log}
        self.assertNotIn('e1', ordered)
        for _ in range(8):
            self.time.advance(1.0)
            router.act()
        self.assertEqual(set(self.engines.weights.values()), {2})

    def test_regression_order_was_sent_after_a_pause_had_begun(self):
        router = self.make_router('a')
        router.name(2)
        engines = list(router.directory)
        write = self.rows.write_rows

        async def write_then_pause(writes):
            for engine in engines:
                engine.rejections.note_requested(3.0, self.time.monotonic())
            return await write(writes)

        self.rows.write_rows = write_then_pause
        router.act()
        self.assertEqual(self.engines.log, [])


class TestRestoredStore(unittest.TestCase):
    """After a restore, two routers must not send orders within one lease."""

    def setUp(self):
        self.time = ManualClock(START)
        self.rows = MemoryRows()
        self.engines = Engines(self.time)
        self.routers = [self.make_router(name) for name in ('a', 'b')]
        for router in self.routers:
            self.rows.put(FLEET_TABLE, router.roster.key, ROUTER_ROW)
        for router in self.routers:
            router.hear()
        self.snapshot = self.rows.take_snapshot()

    def make_router(self, name):
        return TableCopyRouter(
            name, self.time, self.rows, self.engines, WeightsLoader
        )

    def list_holders(self):
        return [order.holder for _, _, order in self.engines.log]

    def act_until_lease_expires(self, router, version):
        """Request a version; act at once and again after the lease expires."""
        router.name(version)
        for seconds in (0.0, 9.0):
            self.time.advance(seconds)
            router.hear()
            router.act()

    def test_regression_restored_row_renewed_a_lost_lease(self):
        first, second = self.routers
        self.act_until_lease_expires(first, 2)
        snapshot = self.rows.take_snapshot()
        self.act_until_lease_expires(second, 3)
        self.assertEqual(self.list_holders()[-1], 'b')
        order_count = len(self.engines.log)
        self.rows.restore(snapshot)
        first.name(3)
        first.hear()
        first.act()
        self.assertEqual(len(self.engines.log), order_count)
        self.act_until_lease_expires(first, 4)
        before, after = self.engines.log[order_count - 1 : order_count + 1]
        self.assertEqual(after[2].holder, 'a')
        self.assertGreaterEqual(after[0] - before[0], LEASE_SECONDS)
        self.assertGreater(after[2].fence, before[2].fence)

    def test_regression_lost_plan_was_replaced_by_another_router(self):
        first, second = self.routers
        first.name(2)
        first.act()
        order_count = len(self.engines.log)
        self.rows.restore(self.snapshot)
        second.name(2)
        # The second router has not read the restored store yet.
        second.act()
        self.assertEqual(len(self.engines.log), order_count)
        second.hear()
        second.act()
        self.assertEqual(set(self.list_holders()), {'a'})

    def test_regression_restarted_router_trusted_a_restored_plan(self):
        first, second = self.routers
        self.act_until_lease_expires(first, 2)
        snapshot = self.rows.take_snapshot()
        self.act_until_lease_expires(second, 3)
        order_count = len(self.engines.log)
        self.rows.restore(snapshot)
        restarted = self.make_router('a')
        restarted.name(3)
        restarted.hear()
        restarted.act()
        self.assertEqual(len(self.engines.log), order_count)
        self.act_until_lease_expires(restarted, 4)
        self.assertEqual(self.list_holders()[-1], 'a')

    def load_after_restores(self, count):
        for _ in range(count):
            self.rows.restore(self.snapshot)
            for router in self.routers:
                router.hear()
        for _ in range(20):
            for router in self.routers:
                router.name(3)
                router.hear()
                router.act()
            self.time.advance(1.0)
        return set(self.engines.weights.values())

    def test_regression_second_restore_without_a_plan_stopped_all_loads(self):
        for router in self.routers:
            router.name(2)
            router.act()
            router.hear()
        self.routers[0].hear()
        self.assertEqual(self.load_after_restores(2), {3})

    def test_lost_plan_that_its_holder_never_read_does_not_stop_loads(self):
        self.routers = self.routers[:1]
        self.routers[0].name(2)
        self.routers[0].act()
        self.assertEqual(self.load_after_restores(1), {3})


class TestCompletedRollout(unittest.TestCase):
    """After a complete rollout only a change causes orders."""

    def setUp(self):
        self.time = ManualClock(START)
        self.engines = Engines(self.time)
        self.router = Router(
            'a', self.time, MemoryRows(), self.engines, WeightsLoader
        )
        self.router.name(2)
        for _ in range(12):
            self.router.act()
            self.time.advance(1.0)
        self.assertEqual(set(self.engines.weights.values()), {2})

    def put_entry(self, weights, **fields):
        entry = make_entry(
            models=[{'name': 'm', 'version': weights}], **fields
        )
        self.engines.weights['e1'] = weights
        self.router.directory.apply_row(
            VersionedRow('e1', msgspec.json.encode(entry), 9)
        )

    def count_orders(self):
        before = len(self.engines.log)
        for _ in range(3):
            self.router.act()
            self.time.advance(1.0)
        return len(self.engines.log) - before

    def test_no_orders_are_sent_while_all_engines_have_the_weights(self):
        self.assertEqual(self.count_orders(), 0)

    def test_engine_that_lists_older_weights_again_is_ordered_to_load(self):
        self.put_entry(1)
        self.assertEqual(self.count_orders(), 1)

    def test_new_start_with_older_weights_is_ordered_to_load(self):
        self.put_entry(1, born=1_767_225_600_000)
        self.assertEqual(self.count_orders(), 1)

    def test_newer_target_version_is_ordered(self):
        self.router.name(3)
        self.assertGreater(self.count_orders(), 0)


class TestTracking(unittest.TestCase):
    """Lost orders and unreachable engines end the tracking of a load."""

    def setUp(self):
        self.time = ManualClock(START)
        self.engines = Engines(self.time)
        router = Router(
            'a', self.time, MemoryRows(), self.engines, WeightsLoader
        )
        self.control = router.control
        self.engine = router.directory.get('e1')
        self.loads = LoadTracker(
            'm', self.control, router.directory, SleepAdvancingClock(self.time)
        )
        self.order = LoadOrder('m', 2, 'a', 1, 0)

    def _poll(self, seconds):
        self.time.advance(seconds)
        asyncio.run(self.loads.poll())

    def test_regression_engine_is_polled_soon_after_an_unanswered_order(self):
        # The engine was polled only after 0.7 s, as if it were loading, so
        # each lost order kept requests from it for 1.2 s.
        self.loads.add(self.engine, self.order, answered=False)
        self._poll(0.25)
        self.assertNotIn('e1', self.loads)
        self.loads.add(self.engine, self.order, answered=True)
        self._poll(0.25)
        self.assertIn('e1', self.loads)

    def test_regression_unreachable_engine_is_not_counted_as_loading(self):
        # An engine that crashed while loading counted as loading for four
        # seconds, and delayed the loads of the others.
        self.loads.add(self.engine, self.order, answered=True)
        self.engine.reach.note_unreachable(0.0)
        self._poll(0.1)
        self.assertNotIn('e1', self.loads)

    def test_regression_engine_that_asked_for_a_pause_was_polled(self):
        self.loads.add(self.engine, self.order, answered=False)
        now = self.time.monotonic()
        self.engine.rejections.note_requested(3.0, now)
        for expected in (0, 1):
            with mock.patch.object(
                self.control, 'read_state', wraps=self.control.read_state
            ) as read_state:
                self._poll(1.6)
            self.assertEqual(read_state.call_count, expected)
