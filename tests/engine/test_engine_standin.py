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

"""The engine stand-in, and the cost model of replay compared with it."""

import datetime
import unittest

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.replay.engine import EngineCosts
from lifttrestle.internal.replay.engine import PrefixCache
from lifttrestle.internal.replay.request import TraceRequest
from lifttrestle.internal.standin.engine import EngineStandin
from lifttrestle.internal.standin.engine_cache import BLOCK_TOKENS
from lifttrestle.internal.standin.engine_cache import EngineCache
from lifttrestle.internal.standin.engine_settings import EngineSettings

START = datetime.datetime(2026, 12, 6, tzinfo=datetime.timezone.utc)
CAPACITY_BLOCKS = 40


class TestEngineStandin(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        settings = EngineSettings(
            'engine', {'m': 'v1'}, decode_seconds=0.0, checks_fencing=True
        )
        engine = EngineStandin(settings, SystemClock())
        address = await engine.server.start(Address('127.0.0.1', 0))
        self.client = JsonClient(address, SystemClock(), 10.0)
        self.addAsyncCleanup(engine.server.stop)
        self.addCleanup(self.client.close)

    async def order(self, version: str, fencing: int) -> Answer:
        order = {'model': 'm', 'version': version, 'fencing': fencing}
        return await self.client.call('POST', '/lifttrestle/orders', order)

    async def test_old_fencing_number_is_refused(self) -> None:
        self.assertEqual((await self.order('v2', 7)).status, 200)
        self.assertEqual((await self.order('v1', 6)).status, 409)
        state = await self.client.call('GET', '/lifttrestle/state')
        versions = msgspec.json.decode(state.body)['versions']
        self.assertEqual(versions, {'m': 'v2'})

    async def test_metrics_are_in_the_published_format(self) -> None:
        answer = await self.client.call('GET', '/metrics')
        self.assertIn(b'\nvllm:num_requests_running 0\n', answer.body)

    async def test_continued_text_equals_the_uninterrupted_one(self) -> None:
        whole = await self.complete('a prompt ', 12)
        first = await self.complete('a prompt ', 5)
        rest = await self.complete('a prompt ' + first, 7)
        self.assertEqual(first + rest, whole)

    async def complete(self, prompt: str, tokens: int) -> str:
        body = {
            'model': 'm',
            'prompt': prompt,
            'max_tokens': tokens,
            'ignore_eos': True,
        }
        answer = await self.client.call('POST', '/v1/completions', body)
        return msgspec.json.decode(answer.body)['choices'][0]['text']


class TestCostModel(unittest.TestCase):
    """Replay's cache must match the stand-in's to within a block."""

    def test_caches_agree_while_blocks_are_evicted(self) -> None:
        clock = ManualClock(START)
        standin = EngineCache(CAPACITY_BLOCKS, 1e9, clock)
        model = PrefixCache(CAPACITY_BLOCKS * BLOCK_TOKENS)
        cached = {'stand-in': 0, 'model': 0}
        prompt_tokens = 0
        for number in range(400):
            # Tenants of unequal load and their sheets share prefixes;
            # questions are unique.
            tenant = (number * number) % 3
            sheet = (number * 7) % 5
            upper = [f't{tenant}-{item}' for item in range(96)]
            middle = [f's{tenant}-{sheet}-{item}' for item in range(128)]
            question = [f'q{number}-{item}' for item in range(16)]
            tokens = upper + middle + question
            clock.advance(1)
            cached['stand-in'] += standin.admit('salt', tokens)
            request = TraceRequest(
                at=float(number),
                workspace='w',
                model='m',
                levels=(
                    (f'{tenant}', len(upper)),
                    (f'{tenant} {sheet}', len(upper) + len(middle)),
                ),
                tokens=len(tokens),
                output_tokens=1,
            )
            cached['model'] += model.count_cached(request)
            model.admit(request)
            prompt_tokens += len(tokens)
        rates = {name: value / prompt_tokens for name, value in cached.items()}
        print('cached by stand-in and model:', rates)
        self.assertGreater(rates['stand-in'], 0.1)
        self.assertLess(rates['stand-in'], 0.9)
        self.assertAlmostEqual(rates['model'], rates['stand-in'], delta=0.02)

    def test_defaults_are_those_of_the_settings(self) -> None:
        # Also the initial estimate of an upstream: 8,000 prompt tokens/s.
        self.assertEqual(EngineCosts().prefill_tokens_per_second, 8000.0)


class TestEngineCache(unittest.TestCase):
    def test_unused_blocks_expire(self) -> None:
        clock = ManualClock(START)
        cache = EngineCache(100, 5.0, clock)
        tokens = [str(item) for item in range(64)]
        cache.admit('salt', tokens)
        clock.advance(4)
        self.assertEqual(cache.admit('salt', tokens), 64)
        clock.advance(6)
        self.assertEqual(cache.admit('salt', tokens), 0)

    def test_prompts_with_different_salts_share_no_blocks(self) -> None:
        cache = EngineCache(100, 5.0, ManualClock(START))
        tokens = [str(item) for item in range(64)]
        cache.admit('one', tokens)
        self.assertEqual(cache.admit('two', tokens), 0)


if __name__ == '__main__':
    unittest.main()
