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

"""Periodically sends the metrics of a registry to a statsd server.

Counters, and the counts and sums of histograms, are sent as increases since
the last transmission, gauges as their values. An increase in a datagram that
is lost is not sent again.
"""

import re

import prometheus_client
from prometheus_client import samples

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.telemetry.fleet_metrics import PREFIX
from lifttrestle.internal.telemetry.statsd_client import StatsdClient

# The usual flush interval of statsd servers.
INTERVAL_SECONDS = 10.0
# Samples of creation times and of histogram buckets.
SKIPPED_SUFFIXES = ('_created', '_bucket')
GAUGE = 'gauge'
# Characters that may have a special meaning to statsd.
UNSAFE_CHARACTERS = re.compile(r'[^A-Za-z0-9_-]+')


class StatsdFeed:
    """Sends the metrics of a registry to a statsd server."""

    def __init__(
        self,
        registry: prometheus_client.CollectorRegistry,
        metrics: StatsdClient,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._metrics = metrics
        self._clock = clock
        self._sent: dict[str, float] = {}

    async def run(self) -> None:
        """Send changes periodically, until cancelled."""
        while True:
            await self._clock.sleep(INTERVAL_SECONDS)
            self.send_metrics()

    def send_metrics(self) -> None:
        """Send the changes of counters and the values of all gauges."""
        for family in self._registry.collect():
            for sample in family.samples:
                if not sample.name.endswith(SKIPPED_SUFFIXES):
                    self._send_sample(sample, family.type == GAUGE)

    def _send_sample(self, sample: samples.Sample, is_gauge: bool) -> None:
        name = _format_name(sample)
        if is_gauge:
            self._metrics.gauge(name, sample.value)
            return
        increase = sample.value - self._sent.get(name, 0.0)
        self._sent[name] = sample.value
        if increase:
            self._metrics.count(name, increase)


def _format_name(sample: samples.Sample) -> str:
    labels = [
        UNSAFE_CHARACTERS.sub('_', text) for text in sample.labels.values()
    ]
    name = sample.name.removeprefix(f'{PREFIX}_')
    return '.'.join([name, *labels])
