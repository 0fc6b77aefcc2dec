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

"""Requests of callers from end to end, through real processes."""

import http.client
import unittest

import openai

from tests.support.deployment import Deployment
from tests.support.deployment import MODEL
from tests.support.deployment import request
from tests.support.deployment import wait_until
from tests.support.deployment import workspace

TOKEN = 'daily-token'
LONG = 3_000_000
MESSAGES = [
    {'role': 'system', 'content': 'You check crossword clues. ' * 40},
    {'role': 'user', 'content': 'Seven letters, quiet morning train?'},
]


class TestEndToEnd(unittest.TestCase):
    """Two data centres, each with a router, two engines and a service."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.deployment = Deployment(('bkk-silom', 'bkk-bangna'))
        cls.enterClassContext(cls.deployment)
        cls.deployment.configure_usual()
        cls.deployment.configure([workspace('bangna-only', ['bkk-bangna'])])

    def make_client(self, token: str = TOKEN) -> openai.OpenAI:
        address = self.deployment.routers['bkk-silom-1'].callers
        client = openai.OpenAI(
            base_url=f'http://{address}/v1', api_key=token, max_retries=0
        )
        self.addCleanup(client.close)
        return client

    def test_streamed_answer_equals_complete_answer(self) -> None:
        client = self.make_client()
        complete = client.chat.completions.create(
            model=MODEL, messages=MESSAGES, max_tokens=20
        )
        stream = client.chat.completions.create(
            model=MODEL, messages=MESSAGES, max_tokens=20, stream=True
        )
        parts = [
            chunk.choices[0].delta.content or ''
            for chunk in stream
            if chunk.choices
        ]
        self.assertEqual(''.join(parts), complete.choices[0].message.content)
        self.assertGreater(len(parts), 10)

    def test_second_answer_shows_cached_tokens(self) -> None:
        client = self.make_client()
        messages = [
            {'role': 'system', 'content': 'Another shared prefix. ' * 40},
            {'role': 'user', 'content': 'First?'},
        ]
        for expect_cached in (False, True):
            stream = client.chat.completions.create(
                model=MODEL,
                messages=messages,
                max_tokens=4,
                stream=True,
                stream_options={'include_usage': True},
            )
            usage = [chunk.usage for chunk in stream if chunk.usage][-1]
            cached = usage.prompt_tokens_details.cached_tokens
            self.assertEqual(cached > 0, expect_cached)

    def test_completions(self) -> None:
        answer = self.make_client().completions.create(
            model=MODEL, prompt='Once upon a tower', max_tokens=6
        )
        self.assertEqual(len(answer.choices[0].text.split()), 6)

    def test_models_are_those_of_the_workspace(self) -> None:
        models = self.make_client().models.list()
        self.assertEqual([item.id for item in models.data], [MODEL])

    def test_client_raises_its_own_exception_types(self) -> None:
        with self.assertRaises(openai.AuthenticationError):
            self.make_client('wrong').models.list()
        with self.assertRaises(openai.NotFoundError):
            self.make_client().chat.completions.create(
                model='no-such-model', messages=MESSAGES
            )
        with self.assertRaises(openai.BadRequestError):
            self.make_client().chat.completions.create(
                model=MODEL, messages=[]
            )

    def test_plain_service(self) -> None:
        address = self.deployment.routers['bkk-silom-1'].callers
        reply = request(address, 'GET', '/grid-app/grids/7?page=2', TOKEN)
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.json()['path'], '/grids/7?page=2')

    def test_long_answer_is_forwarded_completely(self) -> None:
        address = self.deployment.routers['bkk-silom-1'].callers
        reply = request(address, 'GET', f'/grid-app/bytes/{LONG}', TOKEN)
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.body, b'x' * LONG)

    def test_truncated_long_answer_fails_for_the_caller(self) -> None:
        address = self.deployment.routers['bkk-silom-1'].callers
        for name in self.deployment.addresses:
            if name.startswith('grid-app'):
                self.deployment.set_faults(name, truncate_answers=1)
        with self.assertRaises((http.client.IncompleteRead, OSError)):
            request(address, 'GET', f'/grid-app/bytes/{LONG}', TOKEN)
        for name in self.deployment.addresses:
            if name.startswith('grid-app'):
                self.deployment.set_faults(name)

    def test_answer_to_head_has_a_length_and_no_body(self) -> None:
        address = self.deployment.routers['bkk-silom-1'].callers
        reply = request(address, 'HEAD', '/grid-app/bytes/1234', TOKEN)
        self.assertEqual(reply.headers['content-length'], '1234')
        self.assertEqual(reply.body, b'')

    def test_other_data_centre_is_refused_with_the_allowed_ones(self) -> None:
        silom = self.deployment.routers['bkk-silom-1'].callers
        bangna = self.deployment.routers['bkk-bangna-1'].callers
        refused = request(silom, 'GET', '/grid-app/x', 'bangna-only-token')
        self.assertEqual(refused.status, 421)
        self.assertEqual(refused.error['data_centres'], ['bkk-bangna'])
        self.assertEqual(refused.error['ran'], 'not run')
        served = request(bangna, 'GET', '/grid-app/x', 'bangna-only-token')
        self.assertEqual(served.status, 200)

    def test_decision_is_logged_without_text(self) -> None:
        router = self.deployment.routers['bkk-bangna-1']
        secret = 'a-prompt-that-no-log-may-hold'
        answer = request(
            router.callers,
            'POST',
            '/v1/completions',
            'bangna-only-token',
            {'model': MODEL, 'prompt': secret, 'max_tokens': 2},
        )
        request_id = answer.headers['x-request-id']
        lines = router.process.lines

        def list_decisions() -> list[str]:
            return [
                line
                for line in lines
                if 'routing:' in line and request_id in line
            ]

        # The decision is logged after the answer, since it holds the outcome.
        wait_until(list_decisions)
        decisions = list_decisions()
        self.assertEqual(len(decisions), 1, lines)
        for field in (
            'workspace=bangna-only',
            'data_centre=bkk-bangna',
            'reason=',
        ):
            self.assertIn(field, decisions[0])
        self.assertFalse([line for line in lines if secret in line])


if __name__ == '__main__':
    unittest.main()
