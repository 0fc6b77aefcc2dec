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

"""Requests never leave their data centres, whatever fails inside them."""

import concurrent.futures
import unittest

import openai

from tests.support.deployment import Deployment
from tests.support.deployment import ENGINE_CAN
from tests.support.deployment import MODEL
from tests.support.deployment import request
from tests.support.deployment import wait_until
from tests.support.deployment import workspace

INSIDE = 'bkk-silom'
OUTSIDE = 'bkk-bangna'


class TestDataCentres(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = Deployment(
            (INSIDE, OUTSIDE),
            engines=1,
            engine_can=ENGINE_CAN.replace(
                'resumes_streams = true', 'resumes_streams = false'
            ),
            extra='admission = { running = 1 }',
        )
        self.enterContext(self.deployment)
        self.deployment.configure_usual()
        self.deployment.configure([workspace('pinned', [INSIDE])])
        self.address = self.deployment.routers[f'{INSIDE}-1'].callers

    def check_nothing_sent_outside(self) -> None:
        counts = request(
            self.deployment.addresses[f'engine-{OUTSIDE}-1'],
            'GET',
            '/standin/counts',
        )
        self.assertEqual(counts.json()['requests'], 0)
        runs = request(
            self.deployment.addresses[f'grid-app-{OUTSIDE}-1'],
            'GET',
            '/standin/runs',
        )
        self.assertEqual(runs.json(), {})

    def test_request_is_not_sent_outside_after_its_engine_is_killed(
        self,
    ) -> None:
        self.deployment.standins[f'engine-{INSIDE}-1'].kill()
        reply = request(
            self.address,
            'POST',
            '/v1/completions',
            'pinned-token',
            {'model': MODEL, 'prompt': 'x', 'max_tokens': 2},
        )
        self.assertIn(reply.status, (502, 503))
        self.check_nothing_sent_outside()

    def test_cut_stream_is_not_continued_outside(self) -> None:
        self.deployment.set_faults(
            f'engine-{INSIDE}-1', cut_at_token=1, cut_streams=1000
        )
        client = openai.OpenAI(
            base_url=f'http://{self.address}/v1',
            api_key='pinned-token',
            max_retries=0,
        )
        self.addCleanup(client.close)
        with self.assertRaises(openai.APIError):
            for _ in client.completions.create(
                model=MODEL, prompt='x', max_tokens=20, stream=True
            ):
                pass
        self.check_nothing_sent_outside()

    def test_request_is_not_sent_outside_after_its_service_is_killed(
        self,
    ) -> None:
        self.deployment.standins[f'grid-app-{INSIDE}-1'].kill()
        for method in ('GET', 'POST'):
            reply = request(
                self.address, method, '/grid-app/x', 'pinned-token'
            )
            self.assertIn(reply.status, (502, 503))
        self.check_nothing_sent_outside()

    def test_queued_request_is_refused_after_its_model_is_withdrawn(
        self,
    ) -> None:
        # The first request takes the only slot; the second one waits for it.
        address = self.address
        body = {
            'model': MODEL,
            'prompt': 'x',
            'max_tokens': 1000,
            'ignore_eos': True,
        }
        path = '/v1/completions'
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            first = pool.submit(
                request, address, 'POST', path, 'daily-token', body
            )
            wait_until(self.is_busy)
            second = pool.submit(
                request, address, 'POST', path, 'pinned-token', body
            )
            self.deployment.configure(
                [workspace('pinned', [INSIDE], models=[])]
            )
            self.assertFalse(first.done())
            self.assertEqual(first.result().status, 200)
            self.assertEqual(second.result().status, 404)

    def is_busy(self) -> bool:
        status = self.deployment.routers[f'{INSIDE}-1'].status()
        return any(item['in_flight'] for item in status['upstreams'])

    def test_removed_data_centre_is_refused_at_once(self) -> None:
        self.deployment.configure([workspace('pinned', [OUTSIDE])])
        reply = request(self.address, 'GET', '/grid-app/x', 'pinned-token')
        self.assertEqual(reply.status, 421)


if __name__ == '__main__':
    unittest.main()
