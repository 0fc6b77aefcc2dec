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

"""Tests of the transmission of metrics to a statsd server."""

import socket
import unittest

from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.settings.sections import StatsdSection
from lifttrestle.internal.telemetry.fleet_metrics import FleetMetrics
from lifttrestle.internal.telemetry.statsd_client import StatsdClient
from lifttrestle.internal.telemetry.statsd_feed import StatsdFeed


class TestFeed(unittest.TestCase):
    def setUp(self):
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.server.close)
        self.server.bind(('127.0.0.1', 0))
        self.server.setblocking(False)
        host, port = self.server.getsockname()
        self.metrics = FleetMetrics()
        self.feed = StatsdFeed(
            self.metrics.registry,
            StatsdClient(StatsdSection(host=host, port=port)),
            SystemClock(),
        )

    def read(self):
        self.feed.send_metrics()
        lines = []
        try:
            while True:
                lines.append(self.server.recv(1500).decode())
        except BlockingIOError:
            return lines

    def test_counters_are_sent_as_increases(self):
        self.metrics.count_attempt('grid-app', 'good')
        name = 'lifttrestle.attempts_total.grid-app.good'
        self.assertIn(f'{name}:1.0|c', self.read())
        self.metrics.count_attempt('grid-app', 'good')
        self.metrics.count_attempt('grid-app', 'good')
        self.assertIn(f'{name}:2.0|c', self.read())
        self.assertEqual(self.read(), [])

    def test_gauges_are_sent_as_values(self):
        self.metrics.add_gauge('live', 'Routers.', lambda: 8.0)
        name = 'lifttrestle.live'
        for _ in range(2):
            self.assertEqual(self.read(), [f'{name}:8.0|g'])

    def test_label_cannot_inject_another_metric(self):
        self.metrics.count_attempt('a:1|c\nb', 'good')
        (line,) = self.read()
        self.assertEqual(line.count(':'), 1)
        self.assertNotIn('\n', line)
