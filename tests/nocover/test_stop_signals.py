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

"""What else than SIGTERM may end a router, and what it says of that."""

import signal
import unittest

from tests.support.deployment import Deployment
from tests.support.deployment import request
from tests.support.deployment import SERVICE
from tests.support.deployment import wait_until

TOKEN = 'daily-token'


class TestHangUp(unittest.TestCase):
    def test_hang_up_cuts_no_request(self) -> None:
        deployment = Deployment(engines=0)
        self.enterContext(deployment)
        deployment.configure_usual()
        router = deployment.router
        router.process.send_signal(signal.SIGHUP)
        wait_until(
            lambda: (
                any('hang-up' in line for line in router.process.lines)
                or router.process.process.poll() is not None
            )
        )
        self.assertIsNone(router.process.process.poll())
        reply = request(router.callers, 'GET', f'/{SERVICE}/x', TOKEN)
        self.assertEqual(reply.status, 200)
        self.assertEqual(router.process.stop(), 0)


if __name__ == '__main__':
    unittest.main()
