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

import unittest

from lifttrestle.internal.fleet.policy.relay_patience import compute_patience
from lifttrestle.internal.fleet.policy.relay_patience import get_timeout
from lifttrestle.internal.routing.rendezvous import draw_share

ROUTERS = 76
# A configuration is at most 0.75 s old when it is confirmed, and serves until
# it is 4.6 s old.
LONGEST_SECONDS = 3.85
# Until then a router takes new connections.
SOON_SECONDS = 2.25


def list_timeouts(allowance, silent_seconds=0.2, routers=ROUTERS):
    """Return the timeouts of all routers, sorted."""
    shares = [draw_share(f'router/{number}') for number in range(routers)]
    return sorted(
        get_timeout(
            compute_patience(share), allowance, silent_seconds, routers
        )
        for share in shares
    )


class TestPatience(unittest.TestCase):
    def test_regression_all_followers_of_late_relays_read_the_store(self):
        for allowance in (0.0, 0.5, 1.5):
            timeouts = list_timeouts(allowance)
            soon = [item for item in timeouts if item <= SOON_SECONDS]
            self.assertGreater(len(soon), 0)
            self.assertLess(len(soon), 0.4 * ROUTERS)

    def test_configuration_serves_until_the_store_is_read(self):
        for allowance in (0.0, 0.5, 1.5):
            self.assertLess(max(list_timeouts(allowance)), LONGEST_SECONDS)

    def test_silent_relays_are_left_at_once(self):
        timeouts = list_timeouts(0.0, silent_seconds=1.2)
        self.assertEqual(set(timeouts), {1.1})

    def test_small_fleets_read_the_store_at_once(self):
        self.assertEqual(set(list_timeouts(0.0, routers=15)), {1.1})
