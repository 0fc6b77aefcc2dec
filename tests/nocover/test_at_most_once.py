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

"""Requests with an idempotency key run at most once.

The stand-in service counts the runs of each key, and the tests check that
count.
"""

from collections.abc import Iterator
import concurrent.futures
import contextlib
import signal
import time
import unittest

from tests.support.deployment import Deployment
from tests.support.deployment import Reply
from tests.support.deployment import request
from tests.support.deployment import Router
from tests.support.deployment import SERVICE
from tests.support.deployment import wait_until

TOKEN = 'daily-token'
PATH = f'/{SERVICE}/submissions'


class TestAtMostOnce(unittest.TestCase):
    """Two routers and a service; faults are set in the table service."""

    def setUp(self) -> None:
        self.deployment = Deployment(
            engines=0, routers=2, extra='deadlines = { request = 5.0 }'
        )
        self.enterContext(self.deployment)
        self.deployment.configure_usual()
        self.one, self.two = self.deployment.routers.values()
        self.service = f'{SERVICE}-bkk-silom-1'
        self.pool = concurrent.futures.ThreadPoolExecutor(64)
        self.addCleanup(self.pool.shutdown)

    def submit(self, router: Router, key: str, body: bytes = b'grid') -> Reply:
        headers = {'Idempotency-Key': key}
        return request(router.callers, 'POST', PATH, TOKEN, body, headers)

    def submit_in_background(
        self, router: Router, key: str
    ) -> concurrent.futures.Future:
        return self.pool.submit(self.submit, router, key)

    def count(self, key: str) -> int:
        return self.deployment.count_runs().get(key, 0)

    def set_table_faults(self, **faults: object) -> None:
        self.deployment.set_faults('table', **faults)

    @contextlib.contextmanager
    def wait_for_arrival(self, name: str, path: str) -> Iterator[None]:
        """Run the block, then wait until a call has reached a stand-in."""
        before = self.deployment.count_arrivals(name, path)
        yield
        wait_until(lambda: self.deployment.count_arrivals(name, path) > before)

    def start_claim(self, key: str) -> concurrent.futures.Future:
        """Return once a claim of the first router has reached the table.

        The table writes the claim only after a delay.
        """
        self.set_table_faults(delay_seconds=0.4)
        with self.wait_for_arrival('table', '/v1/transact'):
            pending = self.submit_in_background(self.one, key)
        return pending

    def wait_until_claimed(self) -> None:
        """End the delay, and wait until the table has done all its writes."""

        def is_done() -> bool:
            address = self.deployment.addresses['table']
            counts = request(address, 'GET', '/standin/counts').json()
            arrived = self.deployment.count_arrivals('table', '/v1/transact')
            return counts['transact'] == arrived

        self.set_table_faults()
        wait_until(is_done)

    def kill(self, router: Router) -> None:
        router.process.kill()

    def test_concurrent_requests_at_two_routers_run_once(self) -> None:
        keys = [f'key-{number}' for number in range(40)]
        futures = [
            (key, self.submit_in_background(router, key))
            for key in keys
            for router in (self.one, self.two)
        ]
        statuses: dict[str, list[int]] = {key: [] for key in keys}
        for key, future in futures:
            statuses[key].append(future.result().status)
        for key in keys:
            self.assertEqual(sorted(statuses[key]), [200, 409], key)
            self.assertEqual(self.count(key), 1)

    def test_lost_answer_to_the_claim_does_not_fail_the_request(self) -> None:
        self.set_table_faults(drop_answers=1)
        statuses = [
            self.submit(self.one, f'lost-{number}').status
            for number in range(5)
        ]
        self.assertEqual(statuses, [200] * 5)
        for number in range(5):
            self.assertEqual(self.count(f'lost-{number}'), 1)

    def test_same_key_with_another_body_is_refused(self) -> None:
        self.assertEqual(self.submit(self.one, 'k').status, 200)
        reply = self.submit(self.two, 'k', b'another grid')
        self.assertEqual(reply.status, 422)
        self.assertEqual(reply.error['ran'], 'not run')
        self.assertEqual(self.count('k'), 1)

    def test_recorded_state_is_reported_by_another_router(self) -> None:
        self.submit(self.one, 'k')

        def is_recorded() -> bool:
            reply = self.submit(self.two, 'k')
            return reply.error['code'] == 'already_run'

        wait_until(is_recorded)
        reply = self.submit(self.two, 'k')
        self.assertEqual(reply.error['ran'], 'ran')
        self.assertEqual(reply.error['recorded_status'], 200)
        self.assertEqual(reply.headers['x-should-retry'], 'false')
        self.assertEqual(self.count('k'), 1)

    def test_request_runs_once_after_its_router_was_paused(self) -> None:
        pending = self.pause_in_claim('paused', 0.0)
        self.assertEqual(pending.result().status, 200)
        self.assertEqual(self.count('paused'), 1)

    def test_request_paused_past_its_deadline_does_not_run(self) -> None:
        pending = self.pause_in_claim('overslept', 5.0)
        reply = pending.result()
        # Either its claim has timed out or its deadline has passed.
        self.assertIn(reply.status, (503, 504))
        self.assertEqual(reply.error['ran'], 'not run')
        self.assertEqual(self.count('overslept'), 0)
        # The router voids its own claim, so the key may be used again.
        wait_until(lambda: self.submit(self.two, 'overslept').status == 200)
        self.assertEqual(self.count('overslept'), 1)

    def pause_in_claim(
        self, key: str, seconds: float
    ) -> concurrent.futures.Future:
        """Suspend the first router while its claim is pending."""
        pending = self.start_claim(key)
        self.one.process.send_signal(signal.SIGSTOP)
        self.wait_until_claimed()
        # The suspended router may resume, so the other must not run it.
        reply = self.submit(self.two, key)
        self.assertEqual(reply.status, 409)
        self.assertEqual(reply.error['code'], 'run_unknown')
        self.assertEqual(reply.error['ran'], 'unknown')
        self.assertEqual(self.count(key), 0)
        time.sleep(seconds)
        self.one.process.send_signal(signal.SIGCONT)
        return pending

    def test_request_does_not_run_while_the_table_is_unavailable(self) -> None:
        self.set_table_faults(refuse=1_000_000)
        reply = self.submit(self.one, 'out')
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.error['code'], 'table_unavailable')
        self.assertEqual(reply.error['ran'], 'not run')
        self.assertGreater(int(reply.headers['retry-after']), 0)
        self.assertEqual(self.count('out'), 0)
        self.set_table_faults()
        wait_until(lambda: self.submit(self.two, 'out').status != 503)
        wait_until(lambda: self.count('out') == 1)

    def test_outcome_is_recorded_after_a_table_outage(self) -> None:
        self.deployment.set_faults(self.service, delay_seconds=0.6)
        with self.wait_for_arrival(self.service, '/submissions'):
            running = self.submit_in_background(self.one, 'mid')
        self.set_table_faults(refuse=1_000_000)
        self.assertEqual(running.result().status, 200)
        self.deployment.set_faults(self.service)
        self.set_table_faults()

        def is_recorded() -> bool:
            return self.submit(self.two, 'mid').error['code'] == 'already_run'

        wait_until(is_recorded)
        self.assertEqual(self.count('mid'), 1)

    def test_request_with_a_lost_service_answer_is_not_repeated(self) -> None:
        self.deployment.set_faults(self.service, drop_answers=1)
        reply = self.submit(self.one, 'dropped')
        self.assertEqual(reply.status, 502)
        self.assertEqual(reply.error['ran'], 'unknown')
        self.assertEqual(self.count('dropped'), 1)
        reply = self.submit(self.two, 'dropped')
        self.assertEqual(reply.status, 409)
        self.assertEqual(self.count('dropped'), 1)

    def test_request_to_a_stopped_service_is_reported_as_not_run(self) -> None:
        address = self.deployment.addresses[self.service]
        self.deployment.standins[self.service].kill()
        reply = self.submit(self.one, 'gone')
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.error['ran'], 'not run')
        arguments = ['service', '--name', self.service]
        self.deployment.start_standin(self.service, arguments, address)
        wait_until(lambda: self.submit(self.two, 'gone').status == 200)
        self.assertEqual(self.count('gone'), 1)

    def test_claim_of_a_killed_router_is_not_taken_over(self) -> None:
        pending = self.start_claim('k1')
        self.kill(self.one)
        self.wait_until_claimed()
        self.assertIsNotNone(pending.exception())
        reply = self.submit(self.two, 'k1')
        self.assertEqual(reply.error['code'], 'run_unknown')
        self.assertEqual(self.count('k1'), 0)

    def test_run_of_a_killed_router_is_not_repeated(self) -> None:
        self.deployment.set_faults(self.service, delay_seconds=0.5)
        with self.wait_for_arrival(self.service, '/submissions'):
            pending = self.submit_in_background(self.one, 'k2')
        self.kill(self.one)
        self.assertIsNotNone(pending.exception())
        self.deployment.set_faults(self.service)
        wait_until(lambda: self.count('k2') == 1)
        reply = self.submit(self.two, 'k2')
        self.assertEqual(reply.error['code'], 'run_unknown')
        self.assertEqual(self.count('k2'), 1)

    def test_outcome_is_recorded_after_the_caller_disconnects(self) -> None:
        self.deployment.set_faults(self.service, delay_seconds=0.5)
        with self.assertRaises(TimeoutError):
            request(
                self.one.callers,
                'POST',
                PATH,
                TOKEN,
                b'grid',
                {'Idempotency-Key': 'left'},
                timeout=0.2,
            )
        self.deployment.set_faults(self.service)

        def is_recorded() -> bool:
            reply = self.submit(self.two, 'left')
            return reply.error['code'] == 'already_run'

        wait_until(is_recorded)
        self.assertEqual(self.count('left'), 1)

    def test_request_without_a_key_is_sent_at_most_once(self) -> None:
        self.deployment.configure_usual(
            run_once=[{'service': SERVICE, 'path_prefix': '/submissions'}]
        )
        self.deployment.set_faults(self.service, drop_answers=1)
        reply = request(self.one.callers, 'POST', PATH, TOKEN, b'grid')
        self.assertEqual(reply.status, 502)
        self.assertEqual(reply.error['ran'], 'unknown')
        self.assertEqual(self.count('(none)'), 1)


class TestServiceThatDropsRepeats(unittest.TestCase):
    """Such a service remembers keys itself, so routers make no claims."""

    def test_request_is_served_without_the_table(self) -> None:
        deployment = Deployment(
            engines=0,
            service_can='echoes_request_id = true, drops_repeats = true',
        )
        self.enterContext(deployment)
        deployment.configure_usual()
        deployment.set_faults('table', refuse=1_000_000)
        reply = request(
            deployment.router.callers,
            'POST',
            PATH,
            TOKEN,
            b'grid',
            {'Idempotency-Key': 'k'},
        )
        self.assertEqual(reply.status, 200)
        self.assertEqual(deployment.count_runs()['k'], 1)


if __name__ == '__main__':
    unittest.main()
