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

"""Polls an upstream for its state."""

import asyncio
import logging

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.settings.router import RouterSettings
from lifttrestle.internal.upstream.driver import EngineDriver
from lifttrestle.internal.upstream.report import EngineReport
from lifttrestle.internal.upstream.report import NO_REPORT
from lifttrestle.internal.upstream.state import UpstreamState

LOG = logging.getLogger('lifttrestle.upstream')
OK = 200
# Consecutive failed probes after which the last report is discarded.
MAX_MISSED_PROBES = 3


class Prober:
    """Probes one upstream periodically and updates its state."""

    def __init__(
        self,
        upstream: UpstreamState,
        driver: EngineDriver,
        settings: RouterSettings,
        clock: Clock,
    ) -> None:
        self._upstream = upstream
        self._driver = driver
        self._clock = clock
        self._period = settings.control.probe_seconds
        self._missed = 0
        # Also remembered while the upstream has no current report.
        self._last_incarnation = ''
        self._client = JsonClient(
            upstream.pool.address, clock, settings.deadlines.connect
        )

    async def run(self) -> None:
        """Probe until the task is cancelled."""
        while True:
            await self.probe()
            await asyncio.sleep(self._period)

    async def probe(self) -> None:
        """Send one probe and record the report or the failure."""
        head = self._driver.build_probe()
        try:
            answer = await self._client.call(
                head.method, head.target, headers=head.headers
            )
            if answer.status != OK:
                raise ValueError(f'status {answer.status}')
            report = self._driver.decode_report(answer.body)
        except (PlatformUnavailable, ValueError) as error:
            self._note_failure(error)
            return
        self._note_report(report)

    def _note_report(self, report: EngineReport) -> None:
        upstream = self._upstream
        self._missed = 0
        if report.incarnation != self._last_incarnation:
            LOG.info(
                'upstream: %s reports incarnation %s versions %s',
                upstream.name,
                report.incarnation,
                report.versions,
            )
            # A new incarnation is a new process without these failures.
            upstream.breaker.note_success()
            self._last_incarnation = report.incarnation
        upstream.report = report
        upstream.reported_at = self._clock.monotonic()
        upstream.draining = report.draining

    def _note_failure(self, error: Exception) -> None:
        self._missed += 1
        if self._missed != MAX_MISSED_PROBES:
            return
        self._upstream.report = NO_REPORT
        LOG.warning(
            'upstream: %s does not answer probes: %s',
            self._upstream.name,
            error,
        )
