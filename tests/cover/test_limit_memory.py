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

"""Tests of what routers tell each other of limits, and whom they ask."""

import asyncio
import unittest

import msgspec

from lifttrestle.internal.fleet.limits.allocators import PermitAllocators
from lifttrestle.internal.fleet.limits.messages import LimitItem
from lifttrestle.internal.fleet.limits.messages import LimitNews
from lifttrestle.internal.fleet.policy.limit_belief import ReportedLimit
from lifttrestle.internal.fleet.state.load_messages import read_message
from lifttrestle.internal.fleet.state.rows import VersionedRow
from tests.support.entries import make_entry
from tests.support.played_limits import LimitPlay
from tests.support.played_limits import Permits
from tests.support.played_limits import PlayedLimits

ROUTERS = 8
NEEDY = 5
KNOWN_SECONDS = 0.1


class TestLimitsOfRouters(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.play = PlayedLimits(LimitPlay(ROUTERS, 1.0, 0.0, upstreams=4))

    async def asyncSetUp(self):
        self.design = Permits(self.play)
        self.addAsyncCleanup(self.design.close)
        await self.play.pass_time(1.0)

    def answer(self, router, rate, upstream=0, seconds_ago=0.05):
        """Have one router hear an answer that names a limit, or none."""
        now = self.play.clock.monotonic()
        self.design.note_answer(router, upstream, rate, now - seconds_ago)

    def count_knowing(self, upstream=0):
        return sum(
            self.design.is_limited(router, upstream)
            for router in range(ROUTERS)
        )

    def get_allocator(self):
        """Return the number of the router that gives permits."""
        limits = self.design.limits[0]
        allocators: PermitAllocators = limits._telling._allocators
        return int(allocators.get_first('a').removeprefix('router/r'))

    def list_others(self):
        return [n for n in range(ROUTERS) if n != self.get_allocator()]

    async def test_all_know_soon_of_what_one_has_heard(self):
        self.answer(3, 1.0)
        await self.play.pass_time(KNOWN_SECONDS)
        self.assertEqual(self.count_knowing(), ROUTERS)

    async def test_limit_that_all_hear_at_once_is_told_once(self):
        before = self.play.messages
        for router in range(ROUTERS):
            self.answer(router, 1.0)
        await self.play.pass_time(KNOWN_SECONDS)
        told = self.play.messages - before
        self.assertLessEqual(told, 3 * ROUTERS)

    async def test_end_that_one_hears_is_given_back_in_steps_by_all(self):
        self.answer(3, 1.0)
        await self.play.pass_time(1.0)
        self.answer(5, None)
        await self.play.pass_time(KNOWN_SECONDS)
        self.assertEqual(self.count_knowing(), ROUTERS)
        await self.play.pass_time(9.0)
        self.assertEqual(self.count_knowing(), 0)

    async def test_regression_new_giver_of_permits_gave_all_back_at_once(self):
        self.answer(3, 1.0)
        await self.play.pass_time(1.0)
        self.answer(5, None)
        await self.play.pass_time(KNOWN_SECONDS)
        self.design.restart(self.get_allocator())
        await self.play.pass_time(KNOWN_SECONDS)
        asking = self.list_others()[0]
        granted = sum([await self._ask(asking) for _ in range(40)])
        self.assertLessEqual(granted, 8)
        self.assertGreaterEqual(granted, 1)
        self.assertTrue(self.design.is_limited(asking, 0))
        await self.play.pass_time(11.0)
        self.assertEqual(self.count_knowing(), 0)

    async def test_answer_from_before_at_another_router_does_not_end_it(self):
        self.answer(3, 1.0)
        await self.play.pass_time(1.0)
        self.answer(5, None, seconds_ago=2.0)
        await self.play.pass_time(6.0)
        self.assertEqual(self.count_knowing(), ROUTERS)

    async def test_answer_in_flight_elsewhere_does_not_bring_it_back(self):
        self.answer(3, 1.0)
        await self.play.pass_time(1.0)
        self.answer(5, None)
        await self.play.pass_time(1.0)
        self.answer(6, 1.0, seconds_ago=2.0)
        await self.play.pass_time(6.0)
        self.assertEqual(self.count_knowing(), 0)

    async def test_new_start_under_the_same_name_is_not_limited(self):
        self.answer(3, 1.0)
        await self.play.pass_time(KNOWN_SECONDS)
        for directory in self.design.directories:
            known = directory.get('p0')
            entry = make_entry(
                born=known.entry.born + 1, address=known.entry.address
            )
            value = msgspec.json.encode(entry)
            directory.on_ended = self._make_forget(directory)
            directory.take(VersionedRow('p0', value, 2))
        await self.play.pass_time(2.0)
        self.assertEqual(self.count_knowing(), 0)

    def _make_forget(self, directory):
        number = self.design.directories.index(directory)
        limits = self.design.limits[number]
        return lambda upstream, end: limits.forget(upstream)

    async def test_second_router_gives_a_quarter_while_the_first_is_away(self):
        self.answer(3, 4.0)
        await self.play.pass_time(1.0)
        self.play.takers[self.get_allocator()] = lambda data: None
        asking = self.list_others()[0]
        granted = 0
        for _ in range(400):
            granted += await self._ask(asking)
        seconds = 400 * 0.05
        self.assertGreaterEqual(granted, 0.6 * seconds)
        self.assertLessEqual(granted, 1.3 * seconds)

    async def _ask(self, router):
        """Ask for a permit, and let a twentieth of a second pass."""
        upstream = self.design.get_upstream(router, 0)
        limits = self.design.limits[router]
        granted = False
        if not limits.is_closed(upstream, NEEDY):
            asked = asyncio.ensure_future(limits.ask(upstream, NEEDY))
            while not asked.done():
                await self.play.pass_time(0.01)
            granted = not asked.result().wait
        await self.play.pass_time(0.05)
        return granted

    async def test_router_that_has_missed_the_news_learns_from_its_query(self):
        allocator = self.get_allocator()
        others = self.list_others()
        self.answer(others[0], 1.0)
        await self.play.pass_time(KNOWN_SECONDS)
        # As after a start that heard nothing of it.
        upstream = self.design.get_upstream(allocator, 0)
        self.design.limits[allocator].forget(upstream)
        self.assertFalse(self.design.is_limited(allocator, 0))
        await self._ask(others[0])
        self.assertTrue(self.design.is_limited(allocator, 0))

    async def test_fault_is_told_once_and_changes_nothing(self):
        self.answer(3, 1.0)
        limits = self.design.limits[3]
        upstream = self.design.get_upstream(3, 0)
        told = []
        limits._refusals.note = lambda *fields: told.append(fields)
        for _ in range(3):
            limits.note_answer(
                upstream, ReportedLimit(fault=ValueError('x')), 0
            )
        self.assertEqual(len(told), 1)
        self.assertTrue(limits.is_limited(upstream))

    async def test_news_of_an_unknown_start_are_passed_over(self):
        item = LimitItem(12345, 1.0, 0.1, 0.1)
        self.design.limits[0]._telling.take_news(LimitNews('r1', [item]))
        self.assertEqual(len(self.design.limits[0]), 0)

    async def test_messages_that_are_none_are_refused(self):
        for rate in (-1.0, float('nan'), float('inf')):
            news = LimitNews('r1', [LimitItem(1, rate, 0.0, 0.0)])
            with self.assertRaises(ValueError):
                read_message(msgspec.msgpack.encode(news))

    async def test_start_asks_others_before_it_is_ready(self):
        self.answer(3, 1.0)
        await self.play.pass_time(KNOWN_SECONDS)
        number = self.list_others()[0]
        self.design.restart(number)
        self.assertFalse(self.design.limits[number].is_settled())
        await self.play.pass_time(0.05)
        self.assertTrue(self.design.limits[number].is_settled())
        self.assertTrue(self.design.is_limited(number, 0))

    async def test_regression_start_heard_limits_before_it_knew_upstreams(
        self,
    ):
        self.answer(3, 1.0)
        await self.play.pass_time(KNOWN_SECONDS)
        number = self.list_others()[0]
        known = self.design.directories[number]
        self.design.directories[number] = self.design.make_directory(0)
        listed = False
        self.design.restart(number, lambda: listed)
        await self.play.pass_time(0.5)
        self.assertFalse(self.design.limits[number].is_settled())
        for upstream in range(self.play.settings.upstreams):
            row = self.design.make_row(upstream)
            self.design.directories[number].take(row)
        listed = True
        self.assertFalse(self.design.limits[number].is_settled())
        await self.play.pass_time(0.1)
        self.assertTrue(self.design.limits[number].is_settled())
        self.assertTrue(self.design.is_limited(number, 0))
        self.assertIsNotNone(known.get('p0'))

    async def test_regression_start_was_ready_before_busy_routers_told(self):
        self.answer(3, 1.0)
        await self.play.pass_time(KNOWN_SECONDS)
        number = self.list_others()[0]
        for other in range(ROUTERS):
            if other != number:
                self._hold_up(other, 0.5)
        self.design.restart(number)
        while not self.design.limits[number].is_settled():
            await self.play.pass_time(0.01)
        self.assertTrue(self.design.is_limited(number, 0))

    def _hold_up(self, router, seconds):
        take = self.play.takers[router]
        self.play.takers[router] = lambda data: self.play.plan(
            seconds, lambda: take(data)
        )

    async def test_start_whose_first_question_is_lost_asks_again(self):
        self.answer(3, 1.0)
        await self.play.pass_time(KNOWN_SECONDS)
        number = self.list_others()[0]
        takers = dict(self.play.takers)
        for other in range(ROUTERS):
            self.play.takers[other] = lambda data: None
        self.design.restart(number)
        await self.play.pass_time(0.1)
        own = self.play.takers[number]
        self.play.takers.update(takers)
        self.play.takers[number] = own
        await self.play.pass_time(0.3)
        self.assertTrue(self.design.limits[number].is_settled())
        self.assertTrue(self.design.is_limited(number, 0))

    async def test_start_that_nobody_answers_is_ready_soon(self):
        for number in range(1, ROUTERS):
            self.play.takers[number] = lambda data: None
        self.design.restart(0)
        await self.play.pass_time(0.9)
        self.assertFalse(self.design.limits[0].is_settled())
        await self.play.pass_time(0.2)
        self.assertTrue(self.design.limits[0].is_settled())
