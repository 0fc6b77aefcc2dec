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

"""Requests to engines that restart, switch their weights, fail or leave.

No answer may rely on a dead engine, on outdated weights or on the cache of
another workspace.
"""

import concurrent.futures
import time
import unittest

import openai

from tests.support.deployment import Deployment
from tests.support.deployment import ENGINE_CAN
from tests.support.deployment import MODEL
from tests.support.deployment import model
from tests.support.deployment import Reply
from tests.support.deployment import request
from tests.support.deployment import wait_until
from tests.support.deployment import workspace

PROMPT = 'A shared prefix of many words. ' * 60


class EngineTestCase(unittest.TestCase):
    ENGINES = 1
    ARGUMENTS: tuple[str, ...] = ()
    CAN = ENGINE_CAN

    def setUp(self) -> None:
        self.deployment = Deployment(
            engines=self.ENGINES,
            engine_arguments=self.ARGUMENTS,
            engine_can=self.CAN,
        )
        self.enterContext(self.deployment)
        self.deployment.configure_usual()
        self.engine = 'engine-bkk-silom-1'

    def complete(
        self, token: str = 'daily-token', prompt: str = PROMPT, tokens: int = 4
    ) -> Reply:
        return request(
            self.deployment.router.callers,
            'POST',
            '/v1/completions',
            token,
            {'model': MODEL, 'prompt': prompt, 'max_tokens': tokens},
        )

    def count_cached(self, reply: Reply) -> int:
        self.assertEqual(reply.status, 200, reply.body)
        details = reply.json()['usage']['prompt_tokens_details']
        return details['cached_tokens']

    def send_order(self, engine: str, version: str, fencing: int) -> Reply:
        return request(
            self.deployment.addresses[engine],
            'POST',
            '/lifttrestle/orders',
            content={'model': MODEL, 'version': version, 'fencing': fencing},
        )

    def find_upstream(self, name: str) -> dict:
        upstreams = self.deployment.router.status()['upstreams']
        return next(item for item in upstreams if item['name'] == name)


class TestCaches(EngineTestCase):
    def test_workspaces_share_no_cache(self) -> None:
        self.deployment.configure([workspace('other', ['bkk-silom'])])
        self.assertEqual(self.count_cached(self.complete()), 0)
        self.assertGreater(self.count_cached(self.complete()), 0)
        other = self.complete('other-token')
        self.assertEqual(self.count_cached(other), 0)

    def test_equal_salts_of_two_workspaces_share_no_cache(self) -> None:
        self.deployment.configure([workspace('other', ['bkk-silom'])])
        bodies = [
            {
                'model': MODEL,
                'prompt': PROMPT,
                'max_tokens': 1,
                'cache_salt': 'the same',
            }
            for _ in range(2)
        ]
        replies = [
            request(
                self.deployment.router.callers,
                'POST',
                '/v1/completions',
                f'{name}-token',
                body,
            )
            for name, body in zip(('daily', 'other'), bodies)
        ]
        self.assertEqual([self.count_cached(item) for item in replies], [0, 0])

    def test_restarted_engine_is_expected_to_have_an_empty_cache(self) -> None:
        self.complete()
        self.complete()
        before = self.find_upstream(self.engine)['incarnation']
        self.deployment.standins[self.engine].kill()
        address = self.deployment.addresses[self.engine]
        self.deployment.start_engine(self.engine, listen=address)

        def is_new() -> bool:
            found = self.find_upstream(self.engine)['incarnation']
            return found not in ('', before)

        wait_until(is_new)
        self.assertEqual(self.count_cached(self.complete()), 0)
        lines = self.deployment.router.process.lines
        wait_until(lambda: len([i for i in lines if 'routing:' in i]) == 3)
        last = [line for line in lines if 'routing:' in line][-1]
        self.assertIn('expected_cached=0 ', last)


class TestWeights(EngineTestCase):
    """Engines that do not check fencing numbers.

    The test sends their load orders itself.
    """

    ENGINES = 2
    CAN = ENGINE_CAN.replace('checks_fencing = true', 'checks_fencing = false')
    ARGUMENTS = ('--decode-seconds', '0.02')

    def test_engine_with_older_weights_gets_no_requests(self) -> None:
        self.send_order(self.engine, 'v0', 1)
        wait_until(
            lambda: self.find_upstream(self.engine)['versions'][MODEL] == 'v0'
        )
        for number in range(10):
            reply = self.complete(prompt=f'{number} {PROMPT}')
            self.assertEqual(reply.status, 200)
        counts = request(
            self.deployment.addresses[self.engine], 'GET', '/standin/counts'
        )
        self.assertEqual(counts.json()['requests'], 0)

    def test_answer_from_other_weights_is_not_forwarded(self) -> None:
        # The engines switch after the router's last probe, so that only the
        # answer itself shows the version of its weights.
        expected = self.complete().json()['choices'][0]['text']
        for name in self.deployment.list_engines():
            self.send_order(name, 'v2', 1)
        reply = self.complete()
        self.assertNotEqual(reply.status, 200)
        for name in self.deployment.list_engines():
            self.send_order(name, 'v1', 2)

        def is_back() -> bool:
            return self.complete().status == 200

        wait_until(is_back)
        self.assertEqual(
            self.complete().json()['choices'][0]['text'], expected
        )

    def test_switch_under_load_mixes_no_weights(self) -> None:
        # The text depends on the weights, so it shows which version was used.
        prompts = [f'{number} {PROMPT}' for number in range(12)]
        old = [self.read_text(prompt) for prompt in prompts]
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            running = [
                pool.submit(self.complete, 'daily-token', prompt, 12)
                for prompt in prompts
            ]
            self.send_order(self.engine, 'v2', 1)
            self.deployment.configure([model('v2')])
            replies = [item.result() for item in running]
        self.send_order('engine-bkk-silom-2', 'v2', 1)
        wait_until(lambda: self.complete().status == 200)
        new = [self.read_text(prompt) for prompt in prompts]
        for number, reply in enumerate(replies):
            if reply.status != 200:
                self.assertIn(reply.status, (502, 503))
                continue
            text = reply.json()['choices'][0]['text']
            self.assertIn(text, (old[number], new[number]), number)
        self.assertNotEqual(old, new)

    def test_pending_stream_keeps_its_weights(self) -> None:
        expected = self.read_text(PROMPT)
        client = openai.OpenAI(
            base_url=f'http://{self.deployment.router.callers}/v1',
            api_key='daily-token',
            max_retries=0,
        )
        self.addCleanup(client.close)
        text = ''
        for number, chunk in enumerate(
            client.completions.create(
                model=MODEL, prompt=PROMPT, max_tokens=12, stream=True
            )
        ):
            text += chunk.choices[0].text if chunk.choices else ''
            if number == 1:
                for fencing, name in enumerate(self.deployment.list_engines()):
                    self.send_order(name, 'v2', fencing + 1)
                self.deployment.configure([model('v2')])
        self.assertEqual(text, expected)
        wait_until(lambda: self.complete().status == 200)
        self.assertNotEqual(self.read_text(PROMPT), expected)

    def read_text(self, prompt: str) -> str:
        reply = self.complete(prompt=prompt, tokens=12)
        self.assertEqual(reply.status, 200, reply.body)
        return reply.json()['choices'][0]['text']


class TestOrders(EngineTestCase):
    """After a confirmed switch of weights, the engines are ordered to load."""

    ENGINES = 2

    def test_engines_load_the_configured_version(self) -> None:
        self.complete()
        self.deployment.configure([model('v2')])
        wait_until(self.all_report_v2)
        wait_until(lambda: self.complete().status == 200)
        lines = self.deployment.router.process.lines
        orders = [line for line in lines if 'placement:' in line]
        self.assertEqual(len(orders), 2, orders)

    def all_report_v2(self) -> bool:
        upstreams = self.deployment.router.status()['upstreams']
        versions = {
            item['versions'].get(MODEL)
            for item in upstreams
            if item['name'].startswith('engine')
        }
        return versions == {'v2'}

    def test_engine_restarted_with_older_weights_loads_again(
        self,
    ) -> None:
        self.deployment.configure([model('v2')])
        wait_until(self.all_report_v2)
        self.deployment.standins[self.engine].kill()
        address = self.deployment.addresses[self.engine]
        self.deployment.start_engine(self.engine, 'v1', address)
        wait_until(self.all_report_v2)


class TestErrors(EngineTestCase):
    def test_regression_connection_is_reused_after_an_engine_error(
        self,
    ) -> None:
        # The connection was not returned to the pool after an error answer,
        # so that each error opened a new one.
        self.complete()
        before = self.count_connections()
        for _ in range(20):
            reply = self.complete(tokens=1_000_000)
            self.assertEqual(reply.status, 400)
            self.assertIn('tokens', reply.json()['error']['message'])
        self.assertLess(self.count_connections(), before + 5)

    def count_connections(self) -> int:
        return self.deployment.count_arrivals(self.engine, '(connections)')


class TestLeaving(EngineTestCase):
    """A leaving upstream gets no new requests after a few seconds."""

    ENGINES = 2

    def count_requests(self) -> int:
        reply = request(
            self.deployment.addresses[self.engine], 'GET', '/standin/counts'
        )
        return reply.json()['requests']

    def check_no_new_requests(self) -> None:
        wait_until(lambda: self.find_upstream(self.engine)['leaving'])
        before = self.count_requests()
        for number in range(20):
            reply = self.complete(prompt=f'{number} {PROMPT}')
            self.assertEqual(reply.status, 200)
        self.assertEqual(self.count_requests(), before)

    def test_engine_on_a_leaving_vm_gets_no_new_requests(self) -> None:
        self.deployment.set_vms(**{f'vm-{self.engine}': 'leaving'})
        started = time.monotonic()
        self.check_no_new_requests()
        print(f'excluded {time.monotonic() - started:.2f} s after the list')

    def test_engine_on_a_removed_vm_gets_no_new_requests(self) -> None:
        self.deployment.set_vms(**{f'vm-{self.engine}': 'live'})
        time.sleep(0.8)
        self.deployment.set_vms()
        self.check_no_new_requests()

    def test_engine_that_reports_draining_gets_no_new_requests(self) -> None:
        address = self.deployment.addresses[self.engine]
        request(address, 'POST', '/lifttrestle/drain', content={})
        self.check_no_new_requests()

    def test_refusal_while_draining(self) -> None:
        # The first refusal excludes the engine, even before a probe does.
        address = self.deployment.addresses[self.engine]
        request(address, 'POST', '/lifttrestle/drain', content={})
        for number in range(10):
            reply = self.complete(prompt=f'{number} {PROMPT}')
            self.assertEqual(reply.status, 200)

    def test_crashed_engine_fails_no_request(self) -> None:
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            running = [
                pool.submit(
                    self.complete, 'daily-token', f'{number} {PROMPT}', 30
                )
                for number in range(80)
            ]
            self.deployment.standins[self.engine].kill()
            statuses = {item.result().status for item in running}
        self.assertEqual(statuses, {200})


if __name__ == '__main__':
    unittest.main()
