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

"""Tests of routers that lose their links to the upstreams and no others."""

import asyncio
import unittest

from lifttrestle.internal.upstream.breaker import BreakerState
from tests.support.cut_fleet import AT_ONCE
from tests.support.cut_fleet import is_served_worse
from tests.support.cut_fleet import KINDS
from tests.support.cut_fleet import ROUTERS
from tests.support.cut_fleet import run_cut_fleet
from tests.support.cut_links import Cut
from tests.support.fleet import wait_until

CONTACT_SECONDS = 3.0
LONG_WAIT_SECONDS = 1.5
ROUNDS = 4
STRUCK = {
    'one router': ('front-a-1',),
    'most routers': ('front-a-1', 'front-a-2', 'front-b-1'),
    'a data centre': ('front-a-1', 'front-a-2'),
}


def list_engines(fleet, router):
    """Return what a router knows of the engines."""
    return [
        upstream
        for upstream in fleet.routers[router].directory
        if upstream.entry.service == 'engines'
    ]


class TestCutOffRouters(unittest.IsolatedAsyncioTestCase):
    async def _check(self, how):
        for name, struck in STRUCK.items():
            with self.subTest(struck=name):
                await self._check_struck(how, struck)

    async def _check_struck(self, how, struck):
        async with run_cut_fleet() as fleet:
            await asyncio.gather(
                *(fleet.count_served(router, 1) for router in ROUTERS)
            )
            for router in struck:
                fleet.links.cut(router, how)
            # Callers go on while the routers find out.
            early = asyncio.gather(
                *(fleet.count_served(router, 1) for router in ROUTERS)
            )
            await asyncio.sleep(CONTACT_SECONDS)
            counts = {
                router: await fleet.count_served(router, ROUNDS)
                for router in ROUTERS
            }
            await early
        tries = ROUNDS * AT_ONCE * len(KINDS)
        others = set(ROUTERS) - set(struck)
        self.assertFalse(
            is_served_worse(
                sum(counts[router] for router in struck),
                tries * len(struck),
                sum(counts[router] for router in others),
                tries * len(others),
            ),
            counts,
        )

    async def test_regression_callers_refused_while_connections_hang(self):
        await self._check(Cut.HANG)

    async def test_regression_callers_refused_while_connections_reset(self):
        await self._check(Cut.RESET)

    async def test_regression_callers_refused_while_only_new_ones_fail(self):
        await self._check(Cut.REFUSE_NEW)


class TestBlame(unittest.IsolatedAsyncioTestCase):
    async def test_regression_cut_links_opened_breakers_of_sound_upstreams(
        self,
    ):
        async with run_cut_fleet() as fleet:
            engines = list_engines(fleet, 'front-a-1')
            for upstream in fleet.upstreams.values():
                upstream.released.clear()
            streams = asyncio.gather(
                *(fleet.try_once('front-a-1', KINDS[-1]) for _ in range(12))
            )
            await wait_until(
                lambda: (
                    sum(len(item.runs) for item in fleet.upstreams.values())
                    == 12
                )
            )
            now = fleet.routers['front-a-1']._clock.monotonic()
            for engine in engines:
                engine.reach.note_unreachable(now)
            fleet.links.cut('front-a-1', Cut.RESET)
            self.assertEqual(sum(await streams), 0)
            states = {engine.breaker.state for engine in engines}
        self.assertEqual(states, {BreakerState.CLOSED})

    async def test_regression_hanging_requests_made_engines_seem_busy(self):
        async with run_cut_fleet() as fleet:
            engines = list_engines(fleet, 'front-a-1')
            await fleet.count_served('front-a-1', 1)
            fleet.links.cut('front-a-1', Cut.HANG)
            hanging = asyncio.gather(
                *(fleet.try_once('front-a-1', KINDS[-1]) for _ in range(4))
            )
            await wait_until(
                lambda: all(engine.uses_tunnels for engine in engines)
            )
            await asyncio.sleep(LONG_WAIT_SECONDS)
            self.assertTrue(all(engine.pending for engine in engines))
            served = await fleet.try_once('front-a-1', KINDS[-1])
            await hanging
        self.assertTrue(served)
