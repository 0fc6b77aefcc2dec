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

"""Tests of the probes of one upstream."""

import datetime
import types
from typing import Any
import unittest

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.settings.sections import ControlSection
from lifttrestle.internal.settings.sections import DeadlinesSection
from lifttrestle.internal.upstream.breaker import FAILURE_THRESHOLD
from lifttrestle.internal.upstream.prober import MAX_MISSED_PROBES
from lifttrestle.internal.upstream.prober import Prober
from lifttrestle.internal.upstream.report import EngineReport
from lifttrestle.internal.upstream.state import UpstreamState

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


class FakeDriver:
    """Reports the incarnation that stands in the body."""

    def build_probe(self) -> RequestHead:
        return RequestHead('GET', '/', ())

    def decode_report(self, body: bytes) -> EngineReport:
        return EngineReport(body.decode(), {})


class FakeClient:
    """Answers with a body, or fails if there is none."""

    def __init__(self) -> None:
        self.body: bytes | None = None

    async def call(self, *_: object, **__: object) -> Answer:
        if self.body is None:
            raise PlatformUnavailable('no answer')
        return Answer(200, (), self.body)


class TestBreakerOfAProbedUpstream(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock(START)
        pool = ClientPool(Address('127.0.0.1', 9), self.clock, 1.0)
        named: Any = types.SimpleNamespace(name='a')
        self.upstream = UpstreamState(named, pool)
        driver: Any = FakeDriver()
        settings: Any = types.SimpleNamespace(
            control=ControlSection(), deadlines=DeadlinesSection()
        )
        self.prober = Prober(self.upstream, driver, settings, self.clock)
        self.client = FakeClient()
        client: Any = self.client
        self.prober._client = client

    async def probe(self, body: bytes | None, times: int = 1) -> None:
        self.client.body = body
        for _ in range(times):
            await self.prober.probe()

    def open_breaker(self) -> None:
        for _ in range(FAILURE_THRESHOLD):
            self.upstream.breaker.note_failure(self.clock.monotonic())

    def allows(self) -> bool:
        return self.upstream.breaker.allows(self.clock.monotonic())

    async def test_regression_missed_probes_reset_the_breaker(self) -> None:
        # The incarnation was forgotten with the report, so that the next
        # report counted as that of a new process.
        await self.probe(b'a')
        self.open_breaker()
        await self.probe(None, MAX_MISSED_PROBES)
        await self.probe(b'a')
        self.assertFalse(self.allows())

    async def test_new_process_resets_the_breaker(self) -> None:
        for missed in (0, MAX_MISSED_PROBES):
            with self.subTest(missed=missed):
                await self.probe(b'a')
                self.open_breaker()
                await self.probe(None, missed)
                await self.probe(b'b')
                self.assertTrue(self.allows())


if __name__ == '__main__':
    unittest.main()
