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

"""Tests of prompt parts that crash every engine that writes on them.

No two requests are alike: each has the part, neither first nor last, and a
last part and a body of its own. Sound requests share the key and the first
part.
"""

import asyncio
import contextlib
import itertools
import random
import time
import unittest
from unittest import mock

from lifttrestle.internal.fleet.crashes.held_row import HELD_PREFIX
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from tests.support.crashing_engine import CRASH_SECONDS
from tests.support.crashing_engine import CrashingEngine
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import Fleet
from tests.support.fleet import make_router
from tests.support.fleet import PROMISES
from tests.support.fleet import wait_until
from tests.support.fleet_store import FleetStoreStandin
from tests.support.shifted_clock import ShiftedClock

NAMES = ('front-a-1', 'front-a-2', 'front-a-3')
ENGINES = 10
FIRST = 'aa'
FATAL = 'dead'
SOUND = ('b1', 'b2', 'b3', 'b4')
# Routers in touch know of a crash within this time.
CONTACT_SECONDS = 3.0
YOUNG_SECONDS = 'lifttrestle.internal.fleet.crashes.ledger.YOUNG_SECONDS'
LIMIT = 5
MAX_LATE = 3
GUILTY_PER_SECOND = 8
SOUND_PER_SECOND = 30
# How much less often sound requests may be served than before.
LEAST_SHARE = 0.5
RUN_SECONDS = 9.0
# How long sound requests are counted, at least.
JUDGED_SECONDS = 3.0
MAX_RUN_SECONDS = 40.0


@contextlib.asynccontextmanager
async def run_routers():
    """Run three routers in front of engines that parts can crash."""
    store = FleetStoreStandin()
    address = await store.start()
    store.put('op', 'config', CONFIGURATION)
    engines = [
        CrashingEngine(f'e{number}', store, {FATAL})
        for number in range(ENGINES)
    ]
    for engine in engines:
        await engine.start()
    day = Day(store, engines)
    for vm in NAMES:
        day.routers[vm] = make_router(address, PROMISES, vm)
    try:
        for router in day.routers.values():
            await router.start()
        await wait_until(
            lambda: all(
                item.is_ready()
                and item.roster.live == len(NAMES)
                and len(list(item.directory)) == ENGINES
                for item in day.routers.values()
            )
        )
        yield day
    finally:
        for router in day.routers.values():
            await router.stop()
        for engine in engines:
            await engine.stop()
        await store.server.stop()


class Day:
    """Callers of three routers, and what became of their requests.

    :ivar served: when each sound request was sent and whether it was served.
    :ivar guilty: answers to the others.
    :ivar guilty_parts: shared parts of the others.
    """

    def __init__(self, store, engines):
        self.store = store
        self.engines = engines
        self.routers = {}
        self.served = []
        self.guilty = []
        self.guilty_parts = (FIRST, FATAL)
        self._source = random.Random(3)
        self._ids = itertools.count()
        self._calls = set()

    @property
    def crashed_at(self):
        """Return when engines crashed."""
        return sorted(
            at for item in self.engines for _, at in item.crashed_under
        )

    async def call(self, parts, vm=None, **fields):
        """Send a request with these shared parts to a random router."""
        number = next(self._ids)
        router = self.routers[vm or self._source.choice(NAMES)]
        fleet = Fleet(self.store, router, {}, ShiftedClock())
        prefix = ','.join(f'{part}:100' for part in (*parts, f'{number:x}'))
        headers = (
            ('model', 'm'),
            ('token-count', '400,5'),
            ('prompt-prefix', prefix),
        )
        return await fleet.call(
            '/text/x',
            method='POST',
            headers=headers,
            body=b'%d' % number,
            request_id=f'r{number}',
            **fields,
        )

    async def send_sound(self):
        """Send a sound request and record whether it was served."""
        sent_at = time.monotonic()
        status = 0
        with contextlib.suppress(Exception):
            parts = (FIRST, self._source.choice(SOUND))
            status = (await self.call(parts)).status
        self.served.append((sent_at, status == 200))

    async def send_guilty(self):
        """Send a request with the part that crashes engines."""
        with contextlib.suppress(Exception):
            self.guilty.append(await self.call(self.guilty_parts))

    async def run(self, seconds, guilty=True):
        """Send requests at random times, then wait for their answers."""
        rate = SOUND_PER_SECOND + guilty * GUILTY_PER_SECOND
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            is_guilty = (
                guilty and self._source.random() < GUILTY_PER_SECOND / rate
            )
            send = self.send_guilty if is_guilty else self.send_sound
            self._calls.add(asyncio.create_task(send()))
            await asyncio.sleep(self._source.expovariate(rate))
        await asyncio.gather(*self._calls)
        self._calls.clear()

    @property
    def last_needed_at(self):
        """Return when the fifth engine crashed, or the last of fewer.

        A part may be held after four crashes; the fifth is its trial run then.
        """
        return self.crashed_at[:LIMIT][-1]

    async def run_until_judged(self):
        """Send requests of both kinds until their outcome can be judged."""
        end = time.monotonic() + MAX_RUN_SECONDS
        await self.run(RUN_SECONDS)
        while time.monotonic() < end and not self._is_judged():
            await self.run(1.0)

    def _is_judged(self):
        judged_from = self.last_needed_at + 2 * CONTACT_SECONDS
        return time.monotonic() >= judged_from + JUDGED_SECONDS

    def count_late(self):
        """Return the guilty runs later than routers knew of the crashes."""
        known_at = self.last_needed_at + CONTACT_SECONDS
        return sum(
            at > known_at for item in self.engines for _, at in item.fatal_runs
        )

    def get_served_share(self, since, until=float('inf')):
        """Return the share of the sound requests sent then that was served."""
        outcomes = [ok for at, ok in self.served if since <= at < until]
        return sum(outcomes) / len(outcomes)


class TestCrashingParts(unittest.IsolatedAsyncioTestCase):
    async def check_held_in_time(self, day):
        """Check that a part is held and that sound requests are served."""
        await day.run(2.0, guilty=False)
        await day.run_until_judged()
        # One fewer is enough for a hold.
        self.assertGreaterEqual(len(day.crashed_at), LIMIT - 1)
        for router in day.routers.values():
            self.assertGreater(len(router.crashes.holds), 0)
        share = day.get_served_share(day.last_needed_at + 2 * CONTACT_SECONDS)
        self.assertLessEqual(day.count_late(), MAX_LATE)
        self.assertGreaterEqual(share, LEAST_SHARE)

    async def test_regression_part_that_crashed_five_engines_ran(self):
        async with run_routers() as day:
            await self.check_held_in_time(day)

    @mock.patch(YOUNG_SECONDS, 0.0)
    async def test_first_part_may_crash_engines_too(self):
        async with run_routers() as day:
            day.guilty_parts = (FATAL, SOUND[0])
            await self.check_held_in_time(day)

    async def test_request_with_a_held_part_is_refused_as_not_run(self):
        async with run_routers() as day:
            await hold_part(day)
            answers = [await day.call((FIRST, FATAL), vm) for vm in NAMES]
            others = [await day.call((FIRST, 'b1'), vm) for vm in NAMES]
            crashes = len(day.crashed_at)
            await asyncio.sleep(2 * CRASH_SECONDS)
            self.assertEqual(len(day.crashed_at), crashes)
        self.assertEqual({answer.status for answer in answers}, {503})
        for answer in answers:
            self.assertIn(b'"ran":"not run"', answer.body)
            self.assertIn(b'running this part', answer.body)
            self.assertNotIn('retry-after', dict(answer.headers))
        self.assertEqual({answer.status for answer in others}, {200})

    async def test_router_that_starts_after_all_stopped_holds_the_part(self):
        async with run_routers() as day:
            await hold_part(day)
            await wait_until(lambda: list_rows(day.store))
            for router in day.routers.values():
                await router.stop()
            newcomer = make_router(day.store.address, PROMISES, 'front-a-9')
            day.routers['front-a-9'] = newcomer
            await newcomer.start()
            await wait_until(newcomer.is_ready)
            answer = await day.call((FIRST, FATAL), 'front-a-9')
            other = await day.call((FIRST, 'b1'), 'front-a-9')
        self.assertEqual((answer.status, other.status), (503, 200))

    async def test_lifted_part_runs_again(self):
        async with run_routers() as day:
            await hold_part(day)
            await wait_until(lambda: list_rows(day.store))
            for engine in day.engines:
                engine.fatal_parts.clear()
            for key in list_rows(day.store):
                day.store.remove(FLEET_TABLE, key)
            holds = [item.crashes.holds for item in day.routers.values()]
            await wait_until(lambda: not any(map(len, holds)))
            answers = [await day.call((FIRST, FATAL), vm) for vm in NAMES]
        self.assertEqual({answer.status for answer in answers}, {200})


async def hold_part(day):
    """Send requests with the fatal part until all routers hold it."""
    await day.run(0.5, guilty=False)
    routers = list(day.routers.values())
    async with asyncio.timeout(20.0):
        while not all(router.crashes.decisions._guilty for router in routers):
            await asyncio.gather(*(day.send_guilty() for _ in range(3)))
    # Until the neighbours are released and engines have started again.
    await asyncio.sleep(CONTACT_SECONDS)


def list_rows(store):
    """Return the keys of the rows of holds."""
    return [
        key
        for key, row in store.rows._rows.get(FLEET_TABLE, {}).items()
        if key.startswith(HELD_PREFIX) and row.value is not None
    ]
