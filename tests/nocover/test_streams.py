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

"""Every stream is complete and in order, or ends with an error."""

import http.client
import json
import unittest

import openai

from tests.support.deployment import Deployment
from tests.support.deployment import ENGINE_CAN
from tests.support.deployment import MODEL
from tests.support.deployment import wait_until

TOKEN = 'daily-token'
TOKENS = 24
LAST = TOKENS - 1


def make_messages(question: str) -> list[dict]:
    return [
        {'role': 'system', 'content': 'A long inventory sheet. ' * 30},
        {'role': 'user', 'content': question},
    ]


class StreamTestCase(unittest.TestCase):
    """Helper methods for a deployment that the subclass starts."""

    deployment: Deployment

    def make_client(self) -> openai.OpenAI:
        client = openai.OpenAI(
            base_url=f'http://{self.deployment.router.callers}/v1',
            api_key=TOKEN,
            max_retries=0,
        )
        self.addCleanup(client.close)
        return client

    def open_stream(self, question: str, **fields: object) -> openai.Stream:
        return self.make_client().chat.completions.create(
            model=MODEL,
            messages=make_messages(question),
            max_tokens=TOKENS,
            stream=True,
            **fields,
        )

    def read_stream(self, question: str) -> str:
        """Return the text of a stream and check its end and its chunk ids."""
        text = ''
        ids = set()
        finish = None
        for chunk in self.open_stream(question):
            ids.add(chunk.id)
            for choice in chunk.choices:
                text += choice.delta.content or ''
                finish = choice.finish_reason or finish
        self.assertIsNotNone(finish)
        self.assertEqual(len(ids), 1)
        return text

    def read_with_decision(self, question: str) -> tuple[str, str]:
        """Return a stream's text and its first decision, once logged."""
        before = len(self.list_decisions())
        text = self.read_stream(question)
        wait_until(lambda: self.list_decisions()[before:])
        return text, self.list_decisions()[before]

    def list_decisions(self) -> list[str]:
        lines = self.deployment.router.process.lines
        return [line for line in lines if 'routing:' in line]

    def set_engine_faults(self, **faults: object) -> None:
        for name in self.deployment.list_engines():
            self.deployment.set_faults(name, **faults)

    def tearDown(self) -> None:
        self.set_engine_faults()


class TestResumedStreams(StreamTestCase):
    """Engines that number their events and can resume a recent stream."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.deployment = Deployment(
            engines=2,
            engine_can=ENGINE_CAN.replace(
                'continues_text = true', 'continues_text = false'
            ),
            extra='deadlines = { stall = 0.7 }',
        )
        cls.enterClassContext(cls.deployment)
        cls.deployment.configure_usual()

    def test_cut_at_any_token_loses_and_repeats_nothing(self) -> None:
        for index in (0, 1, TOKENS // 2, LAST, LAST + 1, LAST + 2, LAST + 3):
            question = f'cut at {index}?'
            expected = self.read_stream(question)
            self.set_engine_faults(cut_at_token=index)
            self.assertEqual(self.read_stream(question), expected, index)
            self.set_engine_faults()

    def test_duplicate_event_is_dropped(self) -> None:
        expected = self.read_stream('duplicate?')
        self.set_engine_faults(duplicate_token=5)
        self.assertEqual(self.read_stream('duplicate?'), expected)

    def test_missing_event_is_requested_again(self) -> None:
        expected = self.read_stream('missing?')
        self.set_engine_faults(skip_token=7)
        self.assertEqual(self.read_stream('missing?'), expected)

    def test_stream_cut_repeatedly_ends_with_an_error(self) -> None:
        self.set_engine_faults(cut_at_token=3, cut_streams=1000)
        with self.assertRaises(openai.APIError):
            for _ in self.open_stream('always cut?'):
                pass

    def test_answer_for_another_request_is_not_forwarded(self) -> None:
        expected, _ = self.read_with_decision('crossed?')
        self.set_engine_faults(wrong_request_ids=1)
        text, decision = self.read_with_decision('crossed?')
        self.assertEqual(text, expected)
        self.assertIn("answered request 'another-request'", decision)

    def test_stream_that_ends_early_with_status_200_is_resumed(self) -> None:
        expected, _ = self.read_with_decision('early?')
        self.set_engine_faults(end_at_token=6)
        text, decision = self.read_with_decision('early?')
        self.assertEqual(text, expected)
        self.assertIn('resumed', decision)

    def test_stalled_stream_is_resumed(self) -> None:
        expected, _ = self.read_with_decision('stalled?')
        self.set_engine_faults(stall_at_token=4)
        text, decision = self.read_with_decision('stalled?')
        self.assertEqual(text, expected)
        self.assertIn('resumed', decision)

    def test_cut_unstreamed_answer_is_requested_again(self) -> None:
        expected = self.read_answer()
        for fault in ('truncate_answers', 'halve_answers'):
            self.set_engine_faults(**{fault: 1})
            before = len(self.list_decisions())
            self.assertEqual(self.read_answer(), expected)
            wait_until(lambda: len(self.list_decisions()) > before + 1)
            self.assertNotIn(
                'outcome="complete"', self.list_decisions()[before]
            )

    def read_answer(self) -> str:
        before = len(self.list_decisions())
        answer = self.make_client().chat.completions.create(
            model=MODEL, messages=make_messages('cut?'), max_tokens=9
        )
        wait_until(lambda: self.list_decisions()[before:])
        return answer.choices[0].message.content

    def test_caller_that_disconnects_ends_the_generation(self) -> None:
        connection = http.client.HTTPConnection(
            self.deployment.router.callers, timeout=10
        )
        body = {
            'model': MODEL,
            'messages': make_messages('leaving?'),
            'max_tokens': 100000,
            'stream': True,
        }
        headers = {'Authorization': f'Bearer {TOKEN}'}
        path = '/v1/chat/completions'
        connection.request('POST', path, json.dumps(body), headers)
        connection.getresponse().read(100)
        connection.close()

        def is_idle() -> bool:
            status = self.deployment.router.status()
            return not any(item['in_flight'] for item in status['upstreams'])

        wait_until(is_idle)


class TestContinuedStreams(StreamTestCase):
    """Engines that cannot resume: another replica continues the text."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.deployment = Deployment(
            engines=3,
            engine_can=ENGINE_CAN.replace(
                'resumes_streams = true', 'resumes_streams = false'
            ),
            engine_arguments=('--decode-seconds', '0.02'),
            # The default retry budget does not cover so many cuts in so few
            # requests.
            extra='admission = { retry_share = 2.0 }',
        )
        cls.enterClassContext(cls.deployment)
        cls.deployment.configure_usual()

    def test_cut_at_any_token_loses_and_repeats_nothing(self) -> None:
        # Each engine cuts one stream, so that a continuation is cut as well.
        for index in (0, 1, TOKENS // 2, LAST, LAST + 1):
            question = f'cut at {index}?'
            expected, _ = self.read_with_decision(question)
            self.set_engine_faults(cut_at_token=index)
            text, decision = self.read_with_decision(question)
            self.assertEqual(text, expected, index)
            self.assertIn('broke off', decision, index)
            self.set_engine_faults()

    def find_busy_engine(self) -> str:
        """Return an engine that has a request in flight."""
        upstreams = self.deployment.router.status()['upstreams']
        return next(item['name'] for item in upstreams if item['in_flight'])

    def test_usage_counts_the_complete_answer(self) -> None:
        self.set_engine_faults(cut_at_token=10)
        options = {'include_usage': True}
        usage = None
        for chunk in self.open_stream('usage?', stream_options=options):
            usage = chunk.usage or usage
        self.assertEqual(usage.completion_tokens, TOKENS)

    def test_killed_engine_breaks_no_stream(self) -> None:
        for kill_at in (0, TOKENS // 2, LAST - 1):
            question = f'killed at {kill_at}?'
            expected = self.read_stream(question)
            text = ''
            killed = ''
            for number, chunk in enumerate(self.open_stream(question)):
                if number == kill_at:
                    killed = self.find_busy_engine()
                    self.deployment.standins[killed].kill()
                for choice in chunk.choices:
                    text += choice.delta.content or ''
            self.assertEqual(text, expected, kill_at)
            address = self.deployment.addresses[killed]
            self.deployment.start_engine(killed, listen=address)
            wait_until(self.all_report)

    def all_report(self) -> bool:
        upstreams = self.deployment.router.status()['upstreams']
        return all(
            item['incarnation']
            for item in upstreams
            if item['name'].startswith('engine')
        )


class TestSoftwareOfContinuedStreams(StreamTestCase):
    """Engines of two software versions, without resumption of streams."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.deployment = Deployment(
            engines=2,
            engine_can=ENGINE_CAN.replace(
                'resumes_streams = true', 'resumes_streams = false'
            ),
            extra='admission = { retry_share = 2.0 }',
        )
        cls.enterClassContext(cls.deployment)
        cls.deployment.configure_usual()
        _, second = cls.deployment.list_engines()
        cls.earlier = cls.list_incarnations()[second]
        cls.deployment.standins[second].kill()
        address = cls.deployment.addresses[second]
        cls.deployment.start_engine(second, listen=address, software='two')

    @classmethod
    def list_incarnations(cls) -> dict[str, str]:
        status = cls.deployment.router.status()
        return {
            item['name']: item['incarnation'] for item in status['upstreams']
        }

    def count_generations(self) -> list[int]:
        return [
            self.deployment.count_arrivals(name, '/v1/chat/completions')
            for name in self.deployment.list_engines()
        ]

    def test_regression_text_continued_at_another_software(self) -> None:
        _, second = self.deployment.list_engines()
        wait_until(
            lambda: self.list_incarnations()[second] not in ('', self.earlier)
        )
        for number in range(6):
            # Each engine cuts one stream.
            self.set_engine_faults(cut_at_token=TOKENS // 2)
            before = self.count_generations()
            self.read_stream(f'software {number}?')
            counts = self.count_generations()
            used = [
                after > earlier
                for earlier, after in zip(before, counts, strict=True)
            ]
            self.assertEqual(sum(used), 1)
            self.set_engine_faults()


if __name__ == '__main__':
    unittest.main()
