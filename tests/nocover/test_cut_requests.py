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

"""Tests that the log and the counters say why a request was cut."""

import http.client
import json
import signal
import socket
import unittest

from tests.support.deployment import Deployment
from tests.support.deployment import MODEL
from tests.support.deployment import SERVICE
from tests.support.deployment import wait_until

TOKEN = 'daily-token'
TOKENS = 400


class CutTestCase(unittest.TestCase):
    """Runs a router with slow requests and receives its counters."""

    def setUp(self) -> None:
        self.counters = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.counters.close)
        self.counters.bind(('127.0.0.1', 0))
        self.counters.setblocking(False)
        port = self.counters.getsockname()[1]
        self.deployment = Deployment(
            engines=1,
            engine_arguments=('--decode-seconds', '0.05'),
            extra=f'statsd = {{ host = "127.0.0.1", port = {port} }}',
        )
        self.enterContext(self.deployment)
        self.deployment.configure_usual()
        self.router = self.deployment.router

    def open(self, target: str, body: dict) -> http.client.HTTPConnection:
        """Send a request; return its connection without reading the answer."""
        connection = http.client.HTTPConnection(
            self.router.callers, timeout=30
        )
        self.addCleanup(connection.close)
        headers = {'Authorization': f'Bearer {TOKEN}'}
        connection.request('POST', target, json.dumps(body), headers)
        return connection

    def open_stream(self) -> http.client.HTTPConnection:
        """Return the connection of a stream whose first line was read."""
        body = {
            'model': MODEL,
            'messages': [{'role': 'user', 'content': 'a long one'}],
            'max_tokens': TOKENS,
            'stream': True,
        }
        connection = self.open('/v1/chat/completions', body)
        answer = connection.getresponse()
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.readline())
        return connection

    def count_in_flight(self) -> int:
        upstreams = self.router.status()['upstreams']
        return sum(item['in_flight'] for item in upstreams)

    def list_lines(self, prefix: str) -> list[str]:
        lines = self.router.process.lines
        return [line for line in lines if prefix in line]

    def read_counters(self) -> list[str]:
        """Return the counter updates received since the last call."""
        found = []
        while True:
            try:
                data = self.counters.recv(65536)
            except BlockingIOError:
                return found
            found += data.decode().split('\n')

    def stop_at_once(self) -> None:
        """Stop the router without waiting for its requests."""
        self.router.process.send_signal(signal.SIGTERM)
        wait_until(lambda: self.list_lines('router: stopping'))
        self.router.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.router.process.wait(), 1)


class TestCutCause(CutTestCase):
    def test_stream_cut_by_a_stop_is_logged_and_counted(self) -> None:
        self.open_stream()
        self.stop_at_once()
        (decision,) = self.list_lines('routing:')
        self.assertIn('outcome="cut by the stop"', decision)
        (cut,) = self.list_lines('router: cut')
        self.assertIn('ran="unknown" cause="cut by the stop"', cut)
        self.assertIn('lifttrestle.cut.stop:1|c', self.read_counters())

    def test_service_call_cut_by_a_stop_is_logged_and_counted(self) -> None:
        name = f'{SERVICE}-bkk-silom-1'
        self.deployment.set_faults(name, delay_seconds=20.0)
        self.open(f'/{SERVICE}/slow', {})
        wait_until(lambda: self.count_in_flight() == 1)
        self.stop_at_once()
        (decision,) = self.list_lines('routing:')
        self.assertIn('outcome="cut by the stop"', decision)
        self.assertIn('lifttrestle.cut.stop:1|c', self.read_counters())

    def test_caller_that_disconnects_is_logged_and_counted(self) -> None:
        self.open_stream().close()
        wait_until(lambda: self.list_lines('router: cut'))
        (decision,) = self.list_lines('routing:')
        self.assertIn('outcome="caller gone"', decision)
        (cut,) = self.list_lines('router: cut')
        self.assertIn('cause="caller gone"', cut)
        self.assertIn('lifttrestle.cut.caller_gone:1|c', self.read_counters())

    def test_broken_stream_is_not_logged_as_a_refusal(self) -> None:
        (engine,) = self.deployment.list_engines()
        self.deployment.set_faults(engine, cut_at_token=3, cut_streams=1000)
        self.open_stream()
        wait_until(lambda: self.list_lines('router: cut'))
        (cut,) = self.list_lines('router: cut')
        self.assertIn('ran="unknown" cause="no_upstream: ', cut)
        self.assertEqual(self.list_lines('router: refused'), [])
        counters = self.read_counters()
        self.assertIn('lifttrestle.cut.no_upstream:1|c', counters)


if __name__ == '__main__':
    unittest.main()
