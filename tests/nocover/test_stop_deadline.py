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

"""Tests that a stop meets its deadline even if its steps are blocked."""

import concurrent.futures
import signal
import socket
import unittest

from tests.support.deployment import Deployment
from tests.support.deployment import MODEL
from tests.support.deployment import OPERATOR_TOKEN
from tests.support.deployment import Reply
from tests.support.deployment import request
from tests.support.deployment import SERVICE
from tests.support.deployment import wait_until
from tests.support.raw import read_error
from tests.support.raw import read_status

TOKEN = 'daily-token'
STOP = 'stop = { notice_seconds = 0.2, grace_seconds = 4 }'
# Upper limit of this stop. With a timeout for each step instead of a common
# deadline, it would take longer.
BOUND_SECONDS = 9.0


class TestDeadline(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = Deployment(engines=0, extra=STOP)
        self.enterContext(self.deployment)
        self.deployment.configure_usual()
        self.router = self.deployment.router

    def block_operator_call(self) -> None:
        """Start a call to the operators' listener that does not end."""
        host, _, port = self.router.operators.rpartition(':')
        raw = socket.create_connection((host, int(port)))
        self.addCleanup(raw.close)
        raw.sendall(
            b'POST /intent/plans HTTP/1.1\r\nHost: a\r\n'
            b'Authorization: Bearer ' + OPERATOR_TOKEN.encode() + b'\r\n'
            b'Content-Length: 100\r\n\r\n'
        )

    def block_record(self) -> None:
        """Execute a keyed request whose record can't be written."""
        service = f'{SERVICE}-bkk-silom-1'
        self.deployment.set_faults(service, delay_seconds=1.0)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            running = pool.submit(
                request,
                self.router.callers,
                'POST',
                f'/{SERVICE}/run',
                TOKEN,
                {},
                {'Idempotency-Key': 'once'},
            )
            wait_until(lambda: self.deployment.count_arrivals(service, '/run'))
            table = self.deployment.standins['table']
            table.send_signal(signal.SIGSTOP)
            self.assertEqual(running.result().status, 200)

    def test_last_steps_share_the_remaining_time(self) -> None:
        self.block_operator_call()
        self.block_record()
        process = self.router.process
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: process.process.poll() is not None, BOUND_SECONDS)
        self.assertEqual(process.wait(), 0)


class TestUnanswered(unittest.TestCase):
    """Requests without an answer at the end of the grace period."""

    def setUp(self) -> None:
        self.deployment = Deployment(
            engines=0, extra=f'{STOP}\nadmission = {{ running = 2 }}'
        )
        self.enterContext(self.deployment)
        self.deployment.configure_usual()
        self.router = self.deployment.router
        self.service = f'{SERVICE}-bkk-silom-1'
        self.deployment.set_faults(self.service, delay_seconds=60.0)
        self.pool = self.enterContext(concurrent.futures.ThreadPoolExecutor(3))

    def send(self, path: str, **headers: str) -> concurrent.futures.Future:
        return self.pool.submit(
            request,
            self.router.callers,
            'POST',
            f'/{SERVICE}{path}',
            TOKEN,
            {},
            headers,
        )

    def wait_sent(self, path: str) -> None:
        wait_until(lambda: self.deployment.count_arrivals(self.service, path))

    def start_waiting_request(self) -> socket.socket:
        """Send a request that is read but not admitted; return its socket."""
        host, _, port = self.router.callers.rpartition(':')
        raw = socket.create_connection((host, int(port)), 10.0)
        self.addCleanup(raw.close)
        raw.sendall(
            f'POST /{SERVICE}/waiting HTTP/1.1\r\nHost: a\r\n'
            f'Authorization: Bearer {TOKEN}\r\nContent-Length: 2\r\n'
            'Expect: 100-continue\r\n\r\n'.encode()
        )
        self.assertEqual(read_status(raw.recv(65536)), 100)
        raw.sendall(b'{}')
        return raw

    def check_refusal(self, reply: Reply, status: int, ran: str) -> None:
        self.assertEqual(reply.status, status)
        self.assertEqual(reply.error['ran'], ran)
        self.assertEqual(reply.headers['connection'], 'close')

    def test_each_answer_says_whether_the_request_ran(self) -> None:
        sent = self.send('/sent')
        self.wait_sent('/sent')
        keyed = self.send('/keyed', **{'Idempotency-Key': 'once'})
        self.wait_sent('/keyed')
        waiting = self.start_waiting_request()
        process = self.router.process
        process.send_signal(signal.SIGTERM)
        self.check_refusal(sent.result(), 504, 'unknown')
        self.check_refusal(keyed.result(), 504, 'unknown')
        answer = b''.join(iter(lambda: waiting.recv(65536), b''))
        self.assertEqual(read_status(answer), 503)
        self.assertEqual(read_error(answer)['ran'], 'not run')
        self.assertIn(b'retry-after: ', answer)
        # The stop has ended requests, so the exit code is 1.
        self.assertEqual(process.wait(), 1)
        cuts = [line for line in process.lines if 'router: cut' in line]
        self.assertEqual(len(cuts), 3)
        for line in cuts:
            self.assertIn('cause="cut by the stop"', line)


class TestLateRequests(unittest.TestCase):
    """Requests that arrive after the signal, while the listener is open."""

    def setUp(self) -> None:
        self.deployment = Deployment(
            engines=1,
            engine_arguments=('--decode-seconds', '0.05'),
            extra='stop = { notice_seconds = 2, grace_seconds = 1.2 }',
        )
        self.enterContext(self.deployment)
        self.deployment.configure_usual()
        self.router = self.deployment.router

    def stream(self) -> Reply:
        """Read a stream that takes 4 s or more."""
        body = {
            'model': MODEL,
            'messages': [{'role': 'user', 'content': 'a long one'}],
            'max_tokens': 80,
            'stream': True,
        }
        target = '/v1/chat/completions'
        return request(self.router.callers, 'POST', target, TOKEN, body)

    def test_stream_that_can_not_end_in_time_is_refused(self) -> None:
        self.assertIn(b'[DONE]', self.stream().body)
        process = self.router.process
        process.send_signal(signal.SIGTERM)
        wait_until(
            lambda: any('router: stopping' in line for line in process.lines)
        )
        late = self.stream()
        self.assertEqual(late.status, 503)
        self.assertEqual(late.error['code'], 'stopping')
        self.assertEqual(late.error['ran'], 'not run')
        self.assertEqual(late.headers['connection'], 'close')
        # Requests to targets that answer in time are still served.
        short = request(self.router.callers, 'GET', f'/{SERVICE}/x', TOKEN)
        self.assertEqual(short.status, 200)
        self.assertEqual(process.wait(), 0)


if __name__ == '__main__':
    unittest.main()
