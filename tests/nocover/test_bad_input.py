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

"""Invalid input, most of it sent through a raw socket."""

import unittest

from tests.support.deployment import Deployment
from tests.support.deployment import request
from tests.support.deployment import workspace
from tests.support.raw import exchange
from tests.support.raw import read_error
from tests.support.raw import read_status

LIMITS = (
    'http = { head_bytes = 4096, body_bytes = 2000, head_seconds = 0.5,'
    ' body_seconds = 0.5 }'
)
AUTH = b'Authorization: Bearer daily-token\r\n'
POST = b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n' + AUTH
CLOSE = b'Connection: close\r\n'


class TestBadInput(unittest.TestCase):
    """Each refusal is JSON with its kind, whether it ran, and a remedy."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.deployment = Deployment(engines=1, extra=LIMITS)
        cls.enterClassContext(cls.deployment)
        cls.deployment.configure_usual(
            embargoes=[
                {
                    'service': 'grid-app',
                    'path_prefix': '/answers/sunday',
                    'release': '2999-01-01T00:00:00Z',
                }
            ]
        )
        cls.deployment.configure(
            [
                workspace(
                    'slow',
                    ['bkk-silom'],
                    requests_per_second=0.001,
                    concurrent_requests=1,
                ),
                workspace('elsewhere', ['bkk-bangna']),
            ]
        )
        cls.address = cls.deployment.router.callers

    def check_refusal(self, data: bytes, status: int, kind: str) -> dict:
        """Send bytes, check the fields of the refusal and return its error."""
        answer = exchange(self.address, data)
        self.assertEqual(read_status(answer), status, answer)
        error = read_error(answer)
        self.assertEqual(error['code'], kind)
        self.assertEqual(error['ran'], 'not run')
        self.assertTrue(error['remedy'])
        self.assertTrue(error['message'])
        return error

    def test_malformed_head(self) -> None:
        self.check_refusal(
            b'NOT HTTP AT ALL\r\n\r\n', 400, 'malformed_request'
        )

    def test_head_over_the_limit(self) -> None:
        data = b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'x' * 8000
        self.check_refusal(data, 431, 'head_too_large')

    def test_slow_head(self) -> None:
        self.check_refusal(b'GET / HTTP/1.1\r\nHos', 408, 'slow_request')

    def test_announced_body_over_the_limit(self) -> None:
        data = POST + b'Content-Length: 5000\r\n\r\n'
        error = self.check_refusal(data, 413, 'body_too_large')
        self.assertEqual(error['param'], 'body')

    def test_chunked_body_over_the_limit(self) -> None:
        chunk = b'7d0\r\n' + b'x' * 2000 + b'\r\n'
        data = POST + b'Transfer-Encoding: chunked\r\n\r\n' + chunk * 2
        self.check_refusal(data, 413, 'body_too_large')

    def test_slow_body(self) -> None:
        data = POST + b'Content-Length: 100\r\n\r\n{"model"'
        self.check_refusal(data, 408, 'slow_request')

    def test_two_lengths_that_differ(self) -> None:
        data = POST + b'Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello'
        self.check_refusal(data, 400, 'malformed_request')

    def test_length_and_chunks(self) -> None:
        data = (
            POST
            + b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
            + b'0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n'
        )
        answer = exchange(self.address, data)
        self.assertEqual(read_status(answer), 400)
        self.assertEqual(answer.count(b'content-length: '), 1, answer)

    def test_length_that_is_not_a_number(self) -> None:
        data = POST + b'Content-Length: -5\r\n\r\n'
        self.check_refusal(data, 400, 'malformed_request')

    def test_body_cut_short_is_never_run(self) -> None:
        before = self.deployment.count_runs()
        data = (
            b'POST /grid-app/cut HTTP/1.1\r\nHost: a\r\n'
            + AUTH
            + b'Content-Length: 100\r\n\r\nshort'
        )
        exchange(self.address, data, end=True)
        self.assertEqual(self.deployment.count_runs(), before)

    def test_no_token(self) -> None:
        data = b'GET /v1/models HTTP/1.1\r\nHost: a\r\n' + CLOSE + b'\r\n'
        self.check_refusal(data, 401, 'unauthorised')

    def test_unknown_token_does_not_reveal_which_services_exist(self) -> None:
        answers = set()
        for path in (b'/v1/models', b'/grid-app/x', b'/no-such-service/x'):
            data = (
                b'GET ' + path + b' HTTP/1.1\r\nHost: a\r\n'
                b'Authorization: Bearer wrong\r\n' + CLOSE + b'\r\n'
            )
            error = self.check_refusal(data, 401, 'unauthorised')
            del error['request_id']
            answers.add(str(error))
        self.assertEqual(len(answers), 1)

    def test_unknown_service(self) -> None:
        data = (
            b'GET /no-such-service/x HTTP/1.1\r\nHost: a\r\n'
            + AUTH
            + CLOSE
            + b'\r\n'
        )
        self.check_refusal(data, 404, 'not_found')

    def test_wrong_method(self) -> None:
        data = (
            b'GET /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
            + AUTH
            + CLOSE
            + b'\r\n'
        )
        self.check_refusal(data, 405, 'method_not_allowed')

    def test_wrong_data_centre_is_refused_before_the_body(self) -> None:
        # The body is never sent, so the head alone must be answered.
        data = (
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
            b'Authorization: Bearer elsewhere-token\r\n'
            b'Content-Length: 500\r\n\r\n'
        )
        error = self.check_refusal(data, 421, 'wrong_place')
        self.assertEqual(error['data_centres'], ['bkk-bangna'])

    def test_embargo_applies_to_every_spelling(self) -> None:
        for path in (
            b'/grid-app/answers/sunday',
            b'/grid-app/answers/sunday/sheet.pdf',
            b'/grid-app/answers/./sunday',
            b'/grid-app/x/../answers/sunday',
            b'/grid-app//answers/sunday',
            b'/grid-app/answers%2Fsunday',
            b'/grid-app/%2561nswers/sunday',
            b'/grid-app/ANSWERS/Sunday',
            b'/grid-app/answers\\sunday',
            b'//grid-app/answers/sunday',
            b'/grid-app/answers/sunday?x=1',
            b'/grid-app/answers;a=b/sunday',
        ):
            data = (
                b'GET '
                + path
                + b' HTTP/1.1\r\nHost: a\r\n'
                + AUTH
                + CLOSE
                + b'\r\n'
            )
            answer = exchange(self.address, data)
            self.assertIn(read_status(answer), (403, 404), path)

    def test_body_that_is_not_json(self) -> None:
        for body in (b'not json', b'[]', b'"x"', b'\xff\xfe', b'[' * 1900):
            self.check_body_refusal(body, 'body')

    def test_refusal_names_the_invalid_field(self) -> None:
        for body, field in (
            (b'{"messages": []}', 'model'),
            (b'{"model": "clue-writer"}', 'messages'),
            (b'{"model": "clue-writer", "messages": [3]}', 'messages[0]'),
            (
                b'{"model": "clue-writer", "messages": [{"content": "x"}]}',
                'messages[0].role',
            ),
            (
                b'{"model": "clue-writer", "max_tokens": 0, "messages":'
                b' [{"role": "user", "content": "x"}]}',
                'max_tokens',
            ),
            (
                b'{"model": "clue-writer", "stream": "yes", "messages":'
                b' [{"role": "user", "content": "x"}]}',
                'stream',
            ),
            (
                b'{"model": "clue-writer", "stream": true, "stream_options":'
                b' 3, "messages": [{"role": "user", "content": "x"}]}',
                'stream_options',
            ),
        ):
            self.check_body_refusal(body, field)

    def check_body_refusal(self, body: bytes, field: str) -> None:
        length = b'Content-Length: %d\r\n' % len(body)
        data = POST + CLOSE + length + b'\r\n' + body
        error = self.check_refusal(data, 400, 'invalid_value')
        self.assertEqual(error['param'], field)

    def test_target_that_is_not_a_path(self) -> None:
        data = b'GET http://[ HTTP/1.1\r\nHost: a\r\n' + AUTH + CLOSE + b'\r\n'
        self.check_refusal(data, 400, 'malformed_request')

    def test_absolute_target_reaches_the_same_path(self) -> None:
        data = (
            b'GET http://a/grid-app/grids/7?page=2 HTTP/1.1\r\nHost: a\r\n'
            + AUTH
            + CLOSE
            + b'\r\n'
        )
        answer = exchange(self.address, data)
        self.assertIn(b'"path":"/grids/7?page=2"', answer)

    def test_caller_cannot_name_another_workspace(self) -> None:
        reply = request(
            self.address,
            'GET',
            '/grid-app/x',
            'daily-token',
            headers={'X-Workspace': 'elsewhere'},
        )
        self.assertEqual(reply.json()['workspaces'], ['daily'])

    def test_request_over_the_rate_is_refused(self) -> None:
        statuses = []
        for _ in range(3):
            reply = request(self.address, 'GET', '/grid-app/x', 'slow-token')
            statuses.append(reply.status)
        self.assertEqual(statuses[-1], 429)
        self.assertEqual(reply.error['ran'], 'not run')
        self.assertGreater(int(reply.headers['retry-after']), 0)

    def test_request_over_the_rate_is_refused_before_its_body(self) -> None:
        for _ in range(3):
            request(self.address, 'GET', '/grid-app/x', 'slow-token')
        # The body is never sent, so the head alone must be answered.
        data = (
            b'POST /grid-app/x HTTP/1.1\r\nHost: a\r\n'
            b'Authorization: Bearer slow-token\r\n'
            b'Content-Length: 500\r\n\r\n'
        )
        self.check_refusal(data, 429, 'rate_limited')

    def test_idempotency_key_too_long(self) -> None:
        reply = request(
            self.address,
            'POST',
            '/grid-app/x',
            'daily-token',
            b'',
            {'Idempotency-Key': 'k' * 300},
        )
        self.assertEqual(reply.status, 400)
        self.assertEqual(reply.error['param'], 'idempotency-key')

    def test_operator_without_the_role(self) -> None:
        operators = self.deployment.router.operators
        reply = request(operators, 'GET', '/intent/status')
        self.assertEqual(reply.status, 401)
        reply = request(operators, 'GET', '/intent/status', 'daily-token')
        self.assertEqual(reply.status, 401)


if __name__ == '__main__':
    unittest.main()
