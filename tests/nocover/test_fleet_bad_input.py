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

"""Malformed and malicious requests to a fleet router."""

import asyncio
import unittest

from tests.support.fleet import run_fleet
from tests.support.raw import exchange
from tests.support.raw import read_status

HEAD = (
    b'POST /once/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n'
    b'Authorization: Token k1\r\n'
)
SMUGGLED = (
    b'POST /once/inner HTTP/1.1\r\nHost: shop.example\r\n'
    b'Request-Id: hidden\r\nAuthorization: Token k1\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class TestBadInput(unittest.IsolatedAsyncioTestCase):
    async def send(self, data, *, end=True):
        """Return the status of the answer and what upstreams ran."""
        async with run_fleet() as fleet:
            address = str(fleet.router.callers_address)
            answer = await asyncio.to_thread(exchange, address, data, end=end)
            runs = [
                run
                for upstream in fleet.upstreams.values()
                for run in upstream.runs
            ]
        return read_status(answer), runs

    async def test_content_length_with_chunked_encoding_is_refused(self):
        status, runs = await self.send(
            HEAD
            + b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
            + b'0\r\n\r\n'
            + SMUGGLED
        )
        self.assertEqual((status, runs), (400, []))

    async def test_duplicate_content_length_is_refused(self):
        status, runs = await self.send(
            HEAD + b'Content-Length: 0\r\nContent-Length: 5\r\n\r\n' + SMUGGLED
        )
        self.assertEqual((status, runs), (400, []))

    async def test_request_inside_a_body_is_not_run(self):
        length = str(len(SMUGGLED)).encode()
        status, runs = await self.send(
            HEAD
            + b'Connection: close\r\nContent-Length: '
            + length
            + b'\r\n\r\n'
            + SMUGGLED,
            end=False,
        )
        self.assertEqual(status, 200)
        self.assertEqual([run.body for run in runs], [SMUGGLED])

    async def test_request_with_a_truncated_body_is_not_run(self):
        _, runs = await self.send(HEAD + b'Content-Length: 50\r\n\r\nhalf')
        self.assertEqual(runs, [])

    async def test_head_that_is_too_long_is_refused(self):
        status, runs = await self.send(
            HEAD + b'X-Long: ' + b'x' * 40_000 + b'\r\n\r\n', end=False
        )
        self.assertEqual((status, runs), (431, []))

    async def test_body_that_is_too_long_is_refused(self):
        status, runs = await self.send(
            HEAD + b'Content-Length: 100001\r\n\r\n', end=False
        )
        self.assertEqual((status, runs), (413, []))

    async def test_internal_headers_of_callers_are_removed(self):
        forged = (
            b'Tenant: vault\r\nCache-Salt: theirs\r\nKv-From: 1.2.3.4:5/6\r\n'
            b'Hold: 7\r\nPin-Ms: 9\r\nExpect-Instance: other\r\n'
            b'Kv-Backup: 1.2.3.4:5\r\nRequest-Urgency: 0\r\n'
        )
        status, runs = await self.send(
            HEAD
            + forged
            + b'Connection: close, tenant\r\nContent-Length: 0\r\n\r\n',
            end=False,
        )
        self.assertEqual(status, 200)
        head = runs[0].head
        self.assertEqual(head.get_header('tenant'), 'acme')
        for name in ('cache-salt', 'kv-from', 'hold', 'pin-ms', 'kv-backup'):
            self.assertEqual(head.get_header(name), '', name)

    async def test_header_with_an_invalid_number_is_refused(self):
        status, runs = await self.send(
            HEAD
            + b'Connection: close\r\nDeadline-Ms: soon\r\n'
            + b'Content-Length: 0\r\n\r\n',
            end=False,
        )
        self.assertEqual((status, runs), (400, []))

    async def test_error_in_the_router_is_logged_and_answered(self):
        async with run_fleet() as fleet:
            parts = fleet.router._parts

            def fail(*_arguments):
                raise ZeroDivisionError('injected')

            parts.dialect.build_head = fail
            with self.assertLogs('lifttrestle.router', 'ERROR') as logs:
                answer = await fleet.call('/safe/a')
        self.assertEqual(answer.status, 500)
        self.assertIn('ZeroDivisionError', logs.output[0])
