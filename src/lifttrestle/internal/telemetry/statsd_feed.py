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

"""Sends what a registry of metrics holds to a statsd server, now and then.

Counters, and those of histograms, are sent as what was added since the last
time; gauges as they are. What a datagram loses of a counter stays lost.
"""

import re

import prometheus_client
from prometheus_client import samples

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.telemetry.fleet_metrics import PREFIX
from lifttrestle.internal.telemetry.metrics import Metrics

# As often as statsd servers commonly flush.
FEED_SECONDS = 10.0
# Samples that tell when a metric was made, or repeat others bound by bound.
LEFT_OUT = ('_created', '_bucket')
GAUGE = 'gauge'
# Statsd gives these a meaning of their own.
RESERVED = re.compile(r'[^A-Za-z0-9_-]+')


class StatsdFeed:
    """Feeds a statsd server from a registry."""

    def __init__(
        self,
        registry: prometheus_client.CollectorRegistry,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._metrics = metrics
        self._clock = clock
        self._sent: dict[str, float] = {}

    async def run(self) -> None:
        """Feed the server for ever."""
        while True:
            await self._clock.sleep(FEED_SECONDS)
            self.feed()

    def feed(self) -> None:
        """Send what has changed since the last time."""
        for family in self._registry.collect():
            for sample in family.samples:
                if not sample.name.endswith(LEFT_OUT):
                    self._send(sample, family.type == GAUGE)

    def _send(self, sample: samples.Sample, gauge: bool) -> None:
        name = _make_name(sample)
        if gauge:
            self._metrics.gauge(name, sample.value)
            return
        added = sample.value - self._sent.get(name, 0.0)
        self._sent[name] = sample.value
        if added:
            self._metrics.count(name, added)


def _make_name(sample: samples.Sample) -> str:
    labels = [RESERVED.sub('_', text) for text in sample.labels.values()]
    name = sample.name.removeprefix(f'{PREFIX}_')
    return '.'.join([name, *labels])
