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

"""Tests of crashes that are noted while the store is away."""

import unittest

from lifttrestle.internal.fleet.crashes.loss_states import StartEvidence
from lifttrestle.internal.fleet.crashes.loss_watch import get_entry_seconds
from lifttrestle.internal.fleet.crashes.lost_origins import RequestOrigin
from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until

DIGEST = 0xCAE714BDFB5AE264
ORIGIN = RequestOrigin('acme', 'safe')
OUTAGE_SECONDS = 12.0


class TestOutage(unittest.IsolatedAsyncioTestCase):
    async def test_regression_outage_of_the_store_refuted_crashes(self):
        async with run_fleet() as fleet:
            crashes = fleet.router.crashes
            watches = fleet.router._watches
            upstream = fleet.router.directory.get('p1')
            fleet.store.rows.down = True
            await wait_until(lambda: watches.upstreams.lost)
            crashes.note_lost(DIGEST, ORIGIN, upstream)
            crashes.losses.note_evidence(upstream.start, StartEvidence.REFUSED)
            fleet.clock.skip(OUTAGE_SECONDS)
            fleet.store.rows.down = False
            # The store lists it still: its entry ends some heartbeats later.
            await wait_until(watches.is_upstream_list_current)
            crashes.sweep()
            self.assertEqual(crashes._ledger.count_crashed(DIGEST), 1)
            heartbeat = fleet.router.settings.heartbeat_seconds
            fleet.clock.skip(get_entry_seconds(heartbeat) + 1.0)
            await wait_until(watches.is_upstream_list_current)
            crashes.sweep()
            self.assertEqual(crashes._ledger.count_crashed(DIGEST), 0)


if __name__ == '__main__':
    unittest.main()
