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

"""Tests of answers without length and chunks, ended by their connection."""

import contextlib
import socket
import struct
import unittest

from lifttrestle.errors import CallerGone
from lifttrestle.errors import UpstreamLost
from tests.support.fleet import run_fleet_before
from tests.support.fleet import wait_until
from tests.support.fleet_upstream import EVENTS
from tests.support.fleet_upstream import FleetUpstreamStandin
from tests.support.fleet_upstream import STAMP

BODY = b'ran here'


class UnframedUpstream(FleetUpstreamStandin):
    """Sends answers that end with their connection.

    :ivar cut_bytes: how much of an answer's end it doesn't send.
    :ivar resets: whether it resets the connection instead of closing it.
    """

    cut_bytes = 0
    resets = False

    async def _run(self, connection, head, behaviour) -> None:
        body = BODY
        if head.get_header('model'):
            first = int(head.get_header('last-event-id', '0')) + 1
            body = b''.join(map(self._make_event, range(first, EVENTS + 1)))
        headers = (
            *self._echo(head),
            ('server-stamp', STAMP),
            ('weight-versions', str(self.weights)),
        )
        lines = [f'{name}: {value}' for name, value in headers]
        text = '\r\n'.join(('HTTP/1.1 200 OK', *lines, '', ''))
        writer = connection._stream._protocol
        writer.write(text.encode() + body[: len(body) - self.cut_bytes])
        await writer.drain()
        if self.resets:
            # A close without lingering resets the connection.
            linger = struct.pack('ii', 1, 0)
            sock = writer.transport.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.abort()
        else:
            writer.close()
        raise CallerGone('the answer ends with its connection')


@contextlib.asynccontextmanager
async def run_unframed(service, **fields):
    """Run a fleet whose only upstream of a service sends such answers."""
    upstream = UnframedUpstream('u1')
    for name, value in fields.items():
        setattr(upstream, name, value)
    async with run_fleet_before(upstream, service) as fleet:
        yield fleet, upstream


class TestUnframedAnswers(unittest.IsolatedAsyncioTestCase):
    async def test_plain_answer_is_forwarded_whole(self):
        async with run_unframed('plain') as (fleet, upstream):
            answers = [await fleet.call('/safe/a') for _ in range(3)]
        for answer in answers:
            self.assertEqual((answer.status, answer.body), (200, BODY))
        self.assertEqual(len(upstream.runs), 3)

    async def test_plain_answer_that_is_reset_is_not_complete(self):
        async with run_unframed('plain', cut_bytes=2, resets=True) as (
            fleet,
            _,
        ):
            answer = await fleet.call('/once/a', method='POST')
        self.assertEqual(answer.status, 502)

    async def test_stream_is_forwarded_whole(self):
        async with run_unframed('engines') as (fleet, upstream):
            answer = await fleet.generate('essay')
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body.count(b'data: '), EVENTS)
        self.assertEqual(len(upstream.runs), 1)

    async def test_stream_that_ends_inside_an_event_is_not_complete(self):
        async with run_unframed('engines', cut_bytes=3) as (fleet, _):
            with self.assertRaises(UpstreamLost):
                await fleet.generate('essay')

    async def test_stream_that_ends_inside_an_event_is_resumed(self):
        async with run_unframed('engines', cut_bytes=3) as (fleet, upstream):
            whole = FleetUpstreamStandin('e9')
            await whole.start()
            fleet.put_upstream('engines', whole)
            directory = fleet.router.directory
            await wait_until(lambda: len(list(directory)) == 2)
            answers = [
                await fleet.generate('text', request_id=f'r{number}')
                for number in range(6)
            ]
            await whole.stop()
        self.assertTrue(upstream.runs)
        for answer in answers:
            self.assertEqual(answer.body.count(b'data: '), EVENTS)
