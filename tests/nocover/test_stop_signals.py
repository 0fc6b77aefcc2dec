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

"""Tests of SIGHUP and of the failure of a control task."""

import concurrent.futures
import signal
import unittest

from tests.support.deployment import Deployment
from tests.support.deployment import request
from tests.support.deployment import SERVICE
from tests.support.deployment import wait_until

TOKEN = 'daily-token'
HEAD = 'configuration/head'


class TestHangup(unittest.TestCase):
    def test_hangup_is_ignored(self) -> None:
        deployment = Deployment(engines=0)
        self.enterContext(deployment)
        deployment.configure_usual()
        router = deployment.router
        router.process.send_signal(signal.SIGHUP)
        wait_until(
            lambda: (
                any(
                    'router: SIGHUP ignored' in line
                    for line in router.process.lines
                )
                or router.process.process.poll() is not None
            )
        )
        self.assertIsNone(router.process.process.poll())
        reply = request(router.callers, 'GET', f'/{SERVICE}/x', TOKEN)
        self.assertEqual(reply.status, 200)
        self.assertEqual(router.process.stop(), 0)


class TestControlTaskFailure(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = Deployment(
            engines=0, extra='stop = { notice_seconds = 1, grace_seconds = 9 }'
        )
        self.enterContext(self.deployment)
        self.deployment.configure_usual()
        self.process = self.deployment.router.process

    def call_table(self, target: str, **content: object) -> dict:
        table = self.deployment.addresses['table']
        return request(table, 'POST', target, content=content).json()

    def write_head(self, value: object) -> None:
        writes = [{'key': HEAD, 'value': value}]
        self.call_table('/v1/transact', checks=[], writes=writes)

    def find_lines(self, text: str) -> list[str]:
        return [line for line in self.process.lines if text in line]

    def test_router_stops_gracefully_and_logs_the_failure(self) -> None:
        (row,) = self.call_table('/v1/read', keys=[HEAD])['rows']
        # A router can't decode this value, so the task that polls fails.
        self.write_head('unreadable')
        wait_until(lambda: self.find_lines('router: stopping'))
        self.write_head(row['value'])
        callers = self.deployment.router.callers
        reply = request(callers, 'GET', f'/{SERVICE}/x', TOKEN)
        self.assertEqual(reply.status, 200)
        self.assertNotEqual(self.process.wait(), 0)
        self.assertTrue(self.find_lines('a control task failed'))
        self.assertTrue(self.find_lines('router: stopped'))

    def test_first_signal_after_the_failure_cuts_no_request(self) -> None:
        service = f'{SERVICE}-bkk-silom-1'
        self.deployment.set_faults(service, delay_seconds=3.0)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            callers = self.deployment.router.callers
            target = f'/{SERVICE}/slow'
            running = pool.submit(request, callers, 'GET', target, TOKEN)
            wait_until(
                lambda: self.deployment.count_arrivals(service, '/slow')
            )
            self.write_head('unreadable')
            wait_until(lambda: self.find_lines('router: stopping'))
            self.process.send_signal(signal.SIGTERM)
            self.assertEqual(running.result().status, 200)
        self.assertNotEqual(self.process.wait(), 0)

    def test_unreadable_list_does_not_prevent_the_stop(self) -> None:
        self.write_head('unreadable')
        self.assertNotEqual(self.process.wait(), 0)
        self.assertTrue(
            self.find_lines('router: failed to leave the list of routers')
        )
        self.assertTrue(self.find_lines('router: stopped'))


if __name__ == '__main__':
    unittest.main()
