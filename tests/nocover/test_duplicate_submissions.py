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

"""Tests that keyed submissions sent twice are executed at most once.

Each of 5,000 submissions is sent twice, to routers chosen at random, while the
table service refuses one call in ten. Each key must be executed at most once,
and must not have been executed if both answers say "not run".
"""

import asyncio
import collections
import random
import unittest

import msgspec

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.json_client import JsonClient
from tests.support.deployment import Deployment
from tests.support.deployment import SERVICE

SUBMISSIONS = 5000
CONCURRENT = 200
SEED = 20261206
TIMEOUT_SECONDS = 60.0


class TestDuplicateSubmissions(unittest.TestCase):
    def test_each_submission_runs_at_most_once(self) -> None:
        deployment = Deployment(engines=0, services=2, routers=2)
        self.enterContext(deployment)
        deployment.configure_usual(requests_per_second=1e6)
        deployment.set_faults('table', refuse_one_in=10)
        addresses = [item.callers for item in deployment.routers.values()]
        outcomes = asyncio.run(self.submit_all(addresses))
        deployment.set_faults('table')
        runs = deployment.count_runs()
        self.check(outcomes, runs)

    def check(
        self, outcomes: dict[str, list[str]], runs: dict[str, int]
    ) -> None:
        totals = collections.Counter(
            outcome for pair in outcomes.values() for outcome in pair
        )
        ran_once = sum(1 for key in outcomes if runs.get(key))
        print(f'submissions: {totals}, {ran_once} of {len(outcomes)} ran')
        for key, pair in outcomes.items():
            count = runs.get(key, 0)
            self.assertLessEqual(count, 1, key)
            if set(pair) == {'not run'}:
                self.assertEqual(count, 0, key)
            if 'answered' in pair:
                self.assertEqual(count, 1, key)
                self.assertEqual(pair.count('answered'), 1, key)
        # The table fails one call in ten. A claim whose write fails is read
        # back and written again, so nearly all submissions are answered.
        self.assertGreater(totals['answered'], SUBMISSIONS * 0.85)

    async def submit_all(self, addresses: list[str]) -> dict[str, list[str]]:
        source = random.Random(SEED)
        clients = [
            JsonClient(parse_address(item), SystemClock(), TIMEOUT_SECONDS)
            for item in addresses
        ]
        work = [
            (f'submission-{number}', source.choice(clients))
            for number in range(SUBMISSIONS)
            for _ in range(2)
        ]
        source.shuffle(work)
        outcomes: dict[str, list[str]] = collections.defaultdict(list)
        semaphore = asyncio.Semaphore(CONCURRENT)

        async def submit(key: str, client: JsonClient) -> None:
            async with semaphore:
                outcomes[key].append(await self.send_submission(key, client))

        await asyncio.gather(*(submit(*item) for item in work))
        for client in clients:
            client.close()
        return outcomes

    async def send_submission(self, key: str, client: JsonClient) -> str:
        """Return ``answered``, or the execution that the refusal reports."""
        headers = (
            ('authorization', 'Bearer daily-token'),
            ('idempotency-key', key),
        )
        try:
            answer = await client.call(
                'POST', f'/{SERVICE}/submissions', b'grid', headers
            )
        except PlatformUnavailable as error:
            self.fail(f'the router did not answer: {error}')
        if answer.status == 200:
            return 'answered'
        return msgspec.json.decode(answer.body)['error']['ran']


if __name__ == '__main__':
    unittest.main()
