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

"""Tests of the planned stop, slow readers and kept connections."""

import concurrent.futures
import json
import signal
import socket
import time
import unittest

import openai

from tests.support.deployment import Deployment
from tests.support.deployment import MODEL
from tests.support.deployment import request
from tests.support.deployment import SERVICE
from tests.support.deployment import wait_until
from tests.support.process import read_rss_kib
from tests.support.raw import exchange

TOKEN = 'daily-token'
STREAMS = 12
TOKENS = 120_000


class TestStop(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = Deployment(
            engines=2,
            engine_arguments=('--decode-seconds', '0.03'),
            extra='stop = { notice_seconds = 0.5, grace_seconds = 20 }',
        )
        self.enterContext(self.deployment)
        self.deployment.configure_usual()
        self.router = self.deployment.router

    def stream(self, number: int) -> str:
        """Return the finish reason of a stream of about 1.2 seconds."""
        client = openai.OpenAI(
            base_url=f'http://{self.router.callers}/v1',
            api_key=TOKEN,
            max_retries=0,
        )
        finish = ''
        stream = client.chat.completions.create(
            model=MODEL,
            messages=[{'role': 'user', 'content': f'question {number}'}],
            max_tokens=40,
            stream=True,
        )
        for chunk in stream:
            for choice in chunk.choices:
                finish = choice.finish_reason or finish
        client.close()
        return finish

    def count_in_flight(self) -> int:
        upstreams = self.router.status()['upstreams']
        return sum(item['in_flight'] for item in upstreams)

    def test_active_streams_are_completed(self) -> None:
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
            running = [
                pool.submit(self.stream, item) for item in range(STREAMS)
            ]
            wait_until(lambda: self.count_in_flight() == STREAMS)
            self.router.process.send_signal(signal.SIGTERM)
            # The listener stays open until the load balancer has noticed.
            wait_until(self.is_unready)
            late = request(
                self.router.callers, 'GET', f'/{SERVICE}/late', TOKEN
            )
            self.assertEqual(late.status, 200)
            self.assertEqual(late.headers['connection'], 'close')
            finishes = {item.result() for item in running}
        self.assertEqual(finishes, {'length'})
        self.assertEqual(self.router.process.wait(), 0)

    def is_unready(self) -> bool:
        return request(self.router.callers, 'GET', '/ready').status == 503

    def test_stopped_router_leaves_the_list_of_routers(self) -> None:
        self.assertEqual(self.router.process.stop(), 0)
        reply = request(
            self.deployment.addresses['table'],
            'POST',
            '/v1/read',
            content={'keys': ['membership/members']},
        )
        self.assertEqual(reply.json()['rows'][0]['value']['routers'], [])

    def test_second_signal_ends_requests(self) -> None:
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            running = pool.submit(self.stream, 1)
            wait_until(lambda: self.count_in_flight() == 1)
            self.router.process.send_signal(signal.SIGTERM)
            time.sleep(0.1)
            self.router.process.send_signal(signal.SIGTERM)
            self.assertEqual(self.router.process.wait(), 1)
            self.assertIsNotNone(running.exception())

    def test_idle_connections_do_not_delay_a_stop(self) -> None:
        host, _, port = self.router.callers.rpartition(':')
        with socket.create_connection((host, int(port))):
            self.assertEqual(self.router.process.stop(), 0)


class TestSlowReader(unittest.TestCase):
    def test_costs_bounded_memory(self) -> None:
        deployment = Deployment(
            engines=1, engine_arguments=('--decode-seconds', '0')
        )
        self.enterContext(deployment)
        deployment.configure_usual()
        router = deployment.router
        # A stream that is read without delay, to measure only the growth.
        warm = {
            'model': MODEL,
            'prompt': 'warm',
            'max_tokens': 2000,
            'stream': True,
        }
        request(router.callers, 'POST', '/v1/completions', TOKEN, warm)
        before = read_rss_kib(router.process.pid)
        body = json.dumps(
            {
                'model': MODEL,
                'prompt': 'a slow reader 1',
                'max_tokens': TOKENS,
                'ignore_eos': True,
                'stream': True,
            }
        ).encode()
        host, _, port = router.callers.rpartition(':')
        sockets = []
        for _ in range(2):
            raw = socket.create_connection((host, int(port)))
            self.addCleanup(raw.close)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            raw.sendall(
                b'POST /v1/completions HTTP/1.1\r\nHost: a\r\n'
                b'Authorization: Bearer daily-token\r\n'
                b'Content-Length: %d\r\n\r\n' % len(body) + body
            )
            sockets.append(raw)
        wait_until(lambda: self.is_generated(deployment), 60.0)
        grown = read_rss_kib(router.process.pid) - before
        # Each answer is over 20 MB; with unbounded buffers, memory grew by
        # 29 MiB.
        self.assertLess(grown, 8 * 1024)

    def is_generated(self, deployment: Deployment) -> bool:
        reply = request(
            deployment.addresses['engine-bkk-silom-1'],
            'GET',
            '/standin/counts',
            timeout=60,
        )
        counts = reply.json()
        return counts['requests'] == 3 and counts['running'] == 0


class TestKeptConnections(unittest.TestCase):
    def test_pipelined_requests_on_one_connection(self) -> None:
        deployment = Deployment(engines=0)
        self.enterContext(deployment)
        deployment.configure_usual()
        one = (
            b'GET /grid-app/x HTTP/1.1\r\nHost: a\r\n'
            b'Authorization: Bearer daily-token\r\n'
        )
        data = (one + b'\r\n') * 3 + one + b'Connection: close\r\n\r\n'
        answer = exchange(deployment.router.callers, data)
        self.assertEqual(answer.count(b'HTTP/1.1 200 OK'), 4)


if __name__ == '__main__':
    unittest.main()
