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

"""Ages and timeouts of a router after a suspension of the machine.

CLOCK_MONOTONIC does not advance while the machine is suspended. A router that
measured ages by it treated stale data as current after a resume: revoked keys,
its lease on loading weights, the loads that other routers had reported, and
the remaining time of its callers.
"""

import asyncio
import datetime
import time
import unittest
from unittest import mock

from lifttrestle.internal.clock.elapsed import run_main
from lifttrestle.internal.clock.guarded import GuardedClock
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.loads.weights_loader import WeightsLoader
from lifttrestle.internal.fleet.state.load_messages import LoadReport
from lifttrestle.internal.fleet.state.load_messages import UpstreamLoad
from tests.cover.test_fleet_weights import Engines
from tests.cover.test_fleet_weights import Router
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import Fleet
from tests.support.fleet import make_router
from tests.support.fleet import PROMISES
from tests.support.fleet import wait_until
from tests.support.fleet_store import FleetStoreStandin
from tests.support.fleet_upstream import Behaviour
from tests.support.fleet_upstream import FleetUpstreamStandin
from tests.support.memory_rows import MemoryRows
from tests.support.shifted_clock import ShiftedClock
from tests.support.suspension import simulate_machine

SUSPENSIONS = (1.0, 5.0, 30.0)


class TestClock(unittest.TestCase):
    def test_regression_monotonic_time_includes_suspensions(self):
        for seconds in SUSPENSIONS:
            with self.subTest(seconds=seconds), simulate_machine() as machine:
                clock = SystemClock()
                before = clock.monotonic()
                machine.suspend(seconds)
                self.assertGreaterEqual(clock.monotonic(), before + seconds)

    def test_wall_time_after_a_suspension_is_not_capped(self):
        # Otherwise an embargo ends late by the length of the suspension.
        with simulate_machine() as machine:
            clock = SystemClock()
            wall = clock.now()
            guarded = GuardedClock(clock, bound_seconds=0.5)
            machine.suspend(30.0)
            later = wall + datetime.timedelta(seconds=30.2)
            with mock.patch.object(
                clock, 'now', autospec=True, return_value=later
            ):
                self.assertEqual(guarded.now(), later)

    def test_forward_step_of_wall_time_is_still_capped(self):
        with simulate_machine():
            clock = SystemClock()
            wall = clock.now()
            guarded = GuardedClock(clock, bound_seconds=0.5)
            later = wall + datetime.timedelta(seconds=30.2)
            with mock.patch.object(
                clock, 'now', autospec=True, return_value=later
            ):
                self.assertLess(guarded.now(), later)


class TestLoop(unittest.TestCase):
    def run_suspended(self, work):
        """Run ``work`` with a machine, in the event loop of the programs."""
        with simulate_machine() as machine:
            return run_main(work(machine))

    def test_timeout_that_expires_in_a_suspension_ends_on_resume(self):
        async def work(machine):
            started_at = time.monotonic()
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(30.0):
                    machine.suspend(30.0)
                    while True:
                        # Stands for the other timers of a router.
                        await asyncio.sleep(0.01)
            return time.monotonic() - started_at

        # Seconds of CLOCK_MONOTONIC: the timeout was not waited for again.
        self.assertLess(self.run_suspended(work), 15.0)

    def test_sleep_that_expires_in_a_suspension_ends_on_resume(self):
        async def work(machine):
            sleeping = asyncio.create_task(SystemClock().sleep(30.0))
            await asyncio.sleep(0)
            machine.suspend(30.0)
            await asyncio.sleep(0.01)
            await asyncio.sleep(0)
            return sleeping.done()

        self.assertTrue(self.run_suspended(work))

    def test_loop_and_clock_return_the_same_time(self):
        async def work(machine):
            machine.suspend(5.0)
            loop = asyncio.get_running_loop()
            return loop.time() - SystemClock().monotonic()

        self.assertAlmostEqual(self.run_suspended(work), 0.0, delta=1.0)

    def test_ticker_returns_the_delay_of_a_suspension(self):
        async def work(machine):
            ticker = Ticker(SystemClock())
            waiting = asyncio.create_task(ticker.wait(0.1))
            await asyncio.sleep(0)
            machine.suspend(5.0)
            return await waiting

        self.assertGreater(self.run_suspended(work), 4.0)


class TestRouter(unittest.TestCase):
    """Rules that depend on an age, after a suspension of the machine."""

    def run_router(self, work):
        async def run_case(machine):
            store = FleetStoreStandin()
            address = await store.start()
            store.put('op', 'config', CONFIGURATION)
            router = make_router(address, PROMISES, clock=SystemClock())
            await router.start()
            try:
                await wait_until(router.is_ready)
                fleet = Fleet(store, router, {}, ShiftedClock())
                return await work(machine, fleet)
            finally:
                await router.stop()
                await store.server.stop()

        with simulate_machine() as machine:
            return run_main(run_case(machine))

    def test_view_from_before_a_suspension_accepts_no_key(self):
        async def work(machine, fleet):
            before = await fleet.call('/safe/a')
            # The store sends nothing; its last message is 30 s old.
            fleet.store.silenced = fleet.store.peers
            machine.suspend(30.0)
            after = await fleet.call('/safe/a')
            return before, after, fleet.router.is_ready()

        before, after, ready = self.run_router(work)
        # No upstream is listed, so both answers are a 503.
        self.assertIn(b'no_upstream', before.body)
        self.assertIn(b'not_configured', after.body)
        self.assertFalse(ready)

    def test_loads_reported_before_a_suspension_are_discarded(
        self,
    ):
        async def work(machine, fleet):
            upstream = FleetUpstreamStandin('p1')
            await upstream.start()
            fleet.put_upstream('plain', upstream)
            router = fleet.router
            await wait_until(lambda: router.directory.get('p1'))
            known = router.directory.get('p1')
            load = UpstreamLoad(known.digest, 5, 0)
            router._peer_loads.apply_report(LoadReport('other', 1, [load]))
            machine.suspend(5.0)
            router._peer_loads._ledger.rebuild()
            await upstream.stop()
            return known.peers_in_flight

        self.assertEqual(self.run_router(work), 0)

    def test_suspension_counts_against_the_deadline_of_a_request(self):
        async def work(machine, fleet):
            upstream = FleetUpstreamStandin('p1')
            upstream.script.append(Behaviour.SILENT)
            await upstream.start()
            fleet.put_upstream('plain', upstream)
            await wait_until(lambda: fleet.router.directory.get('p1'))
            calling = asyncio.create_task(fleet.call('/open/a'))
            await wait_until(lambda: upstream.runs)
            machine.suspend(30.0)
            answer = await calling
            await upstream.stop()
            return answer.status

        self.assertEqual(self.run_router(work), 504)


class RealTimeClock(SystemClock):
    """The system's clock with the interface of a manual one."""

    def advance(self, seconds):
        """Do nothing: the test does not depend on sleeps."""


class TestLease(unittest.TestCase):
    def count_orders(self, seconds):
        """Suspend the machine after the plan is written; count the orders."""
        with simulate_machine() as machine:
            engines = Engines(RealTimeClock())
            rows = MemoryRows()
            router = Router('a', RealTimeClock(), rows, engines, WeightsLoader)
            write_rows = rows.write_rows

            async def write_and_suspend(writes):
                version = await write_rows(writes)
                machine.suspend(seconds)
                return version

            rows.write_rows = write_and_suspend
            router.name(2)
            router.loader._needed_since['m'] = float('-inf')
            router.act()
        return len(engines.log)

    def test_no_order_is_sent_after_the_lease_has_expired(self):
        self.assertGreater(self.count_orders(0.0), 0)
        for seconds in SUSPENSIONS:
            with self.subTest(seconds=seconds):
                self.assertEqual(self.count_orders(seconds), 0)
