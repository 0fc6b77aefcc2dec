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

"""Tests of routers whose store is restored from an older copy."""

import asyncio
import contextlib
import unittest

from lifttrestle.internal.fleet.state.row_version import get_commit_number
from tests.nocover.test_fleet_relay import NEW_FOLLOWER
from tests.nocover.test_fleet_relay import run_routers
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import make_route
from tests.support.fleet import make_router
from tests.support.fleet import PROMISES
from tests.support.fleet import ROUTES
from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until

# A change must be in force within this time of its acknowledgement.
APPLY_SECONDS = 2.0
# Routers must be ready again within this time.
READY_SECONDS = 1.5
LOST_COMMITS = 60


def build_configuration(version):
    """Return a configuration that adds a route and revokes the key k2."""
    added = make_route(f'added{version}', 'idempotent')
    return {
        **CONFIGURATION,
        'version': version,
        'routes': [*ROUTES, added],
        'tenants': [{'name': 'acme', 'api_keys': ['k1'], 'priority': 2}],
    }


async def holds_within(condition, seconds):
    """Wait for a condition and return whether it held in time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)
    return condition()


def write_rows(store, count):
    """Commit rows of a table that no router reads."""
    for number in range(count):
        store.put('other', f'row-{number}', number)


async def restore_snapshot(store, snapshot):
    """Restore a snapshot and give routers time to read it.

    Routers must have read all changes made after the snapshot before this is
    called, or these are lost to them too.
    """
    store.restore(snapshot)
    await asyncio.sleep(1.0)


class TestRestore(unittest.IsolatedAsyncioTestCase):
    async def test_regression_change_after_a_restore_was_missed(self):
        async with run_fleet() as fleet:
            store, router = fleet.store, fleet.router
            snapshot = store.rows.take_snapshot()
            write_rows(store, LOST_COMMITS)
            held_version = store.rows.version
            await asyncio.sleep(1.0)
            store.restore(snapshot)
            store.put('op', 'config', build_configuration(9))
            fleet.put_upstream(
                'plain', fleet.upstreams['p1'], state='draining'
            )
            # The commit number exceeds the one that routers hold before they
            # read again, so comparing it alone would miss the changes.
            write_rows(store, 2 * LOST_COMMITS)
            self.assertGreater(
                get_commit_number(store.rows.version),
                get_commit_number(held_version),
            )
            applied = await holds_within(
                lambda: router.catalogue.version == 9, APPLY_SECONDS
            )
            self.assertTrue(applied, router.catalogue.version)
            answer = await fleet.call('/added9/x')
            self.assertEqual(answer.status, 200)
            answer = await fleet.call('/safe/x', key='k2')
            self.assertEqual(answer.status, 401)
            draining = router.directory.get('p1').entry.draining
            self.assertTrue(draining)

    async def test_regression_routers_were_not_ready_after_a_restore(self):
        async with run_routers() as (store, relays, follower):
            routers = [*relays, follower]
            snapshot = store.rows.take_snapshot()
            write_rows(store, LOST_COMMITS)
            await asyncio.sleep(1.0)
            store.restore(snapshot)
            # Longer than a view stays valid unless it is known to be current.
            await asyncio.sleep(4.0)
            self.assertTrue(
                await holds_within(
                    lambda: all(router.is_ready() for router in routers),
                    READY_SECONDS,
                )
            )
            store.put('op', 'config', build_configuration(9))
            self.assertTrue(
                await holds_within(
                    lambda: all(
                        router.catalogue.version == 9 for router in routers
                    ),
                    APPLY_SECONDS,
                )
            )

    async def test_regression_restored_entry_undid_draining(self):
        async with run_fleet() as fleet:
            snapshot = fleet.store.rows.take_snapshot()
            upstream = fleet.upstreams['p1']
            fleet.put_upstream('plain', upstream, state='draining')
            self.assertTrue(
                await holds_within(
                    lambda: fleet.router.directory.get('p1').entry.draining,
                    APPLY_SECONDS,
                )
            )
            await restore_snapshot(fleet.store, snapshot)
            for number in range(20):
                answer = await fleet.call('/safe/x', request_id=f'r{number}')
                self.assertEqual(answer.status, 200)
            self.assertEqual(len(upstream.arrivals), 0)
            # An entry that is written after the restore is accepted.
            fleet.put_upstream('plain', upstream)
            self.assertTrue(
                await holds_within(
                    lambda: (
                        not fleet.router.directory.get('p1').entry.draining
                    ),
                    APPLY_SECONDS,
                )
            )

    async def test_regression_removed_upstream_was_used_again(self):
        async with run_fleet() as fleet:
            snapshot = fleet.store.rows.take_snapshot()
            upstream = fleet.upstreams['p1']
            fleet.store.remove('servers', upstream.instance)
            self.assertTrue(
                await holds_within(
                    lambda: fleet.router.directory.get('p1') is None,
                    APPLY_SECONDS,
                )
            )
            await restore_snapshot(fleet.store, snapshot)
            self.assertIsNone(fleet.router.directory.get('p1'))
            fleet.put_upstream('plain', upstream)
            self.assertTrue(
                await holds_within(
                    lambda: fleet.router.directory.get('p1') is not None,
                    APPLY_SECONDS,
                )
            )

    async def test_entry_missing_after_restore_is_kept_temporarily(self):
        async with run_fleet() as fleet:
            fleet.store.remove('servers', 'p1')
            self.assertTrue(
                await holds_within(
                    lambda: fleet.router.directory.get('p1') is None,
                    APPLY_SECONDS,
                )
            )
            snapshot = fleet.store.rows.take_snapshot()
            fleet.put_upstream('plain', fleet.upstreams['p1'])
            self.assertTrue(
                await holds_within(
                    lambda: fleet.router.directory.get('p1') is not None,
                    APPLY_SECONDS,
                )
            )
            fleet.store.restore(snapshot)
            await asyncio.sleep(0.8)
            self.assertIsNotNone(fleet.router.directory.get('p1'))

    async def test_regression_starting_router_got_the_older_version(self):
        async with run_routers() as (store, relays, follower):
            snapshot = store.rows.take_snapshot()
            store.put('op', 'config', build_configuration(9))
            self.assertTrue(
                await holds_within(
                    lambda: all(
                        item.catalogue.version == 9
                        for item in (*relays, follower)
                    ),
                    APPLY_SECONDS,
                )
            )
            await restore_snapshot(store, snapshot)
            new_router = make_router(store.address, PROMISES, NEW_FOLLOWER)
            await new_router.start()
            try:
                await wait_until(new_router.is_ready)
                self.assertEqual(new_router.catalogue.version, 9)
            finally:
                await new_router.stop()
