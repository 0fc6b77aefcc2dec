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

"""Tests of upstreams that send without end until their connection closes."""

import asyncio
import contextlib
import itertools
import time
import unittest

from lifttrestle.errors import CallerGone
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.fleet.path.event_relay import EventRelay
from lifttrestle.internal.platform.engine_calls import PlatformEngineControl
from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until
from tests.support.fleet_upstream import Behaviour
from tests.support.fleet_upstream import EVENTS
from tests.support.fleet_upstream import FleetUpstreamStandin
from tests.support.fleet_upstream import STAMP

MAX_BYTES = 32 * 1024 * 1024
# The stand-in gives up here, so that a failing test ends.
END_BYTES = 8 * MAX_BYTES
# Buffers of the connection included.
MAX_ERROR_BYTES = 8 * 1024 * 1024
PART_BYTES = 64 * 1024
# A request that fails over is answered well before its route's limit, 8 s.
ANSWER_SECONDS = 4.0
CLOSE_SECONDS = 1.0
# Processor time for which other callers may have to wait at a time.
STALL_SECONDS = 0.1
PARTS = 30_000
# Twice the parts take twice the time, four times if each copies all before.
MAX_GROWTH = 3.0
FOREIGN = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: x\r\n'
    b'Content-Length: 7\r\n\r\nforeign'
)
NUMBERS = itertools.count()
ENDLESS = 'Content-Length: 99999999999'
CHUNKED = 'Transfer-Encoding: chunked'
NOT_RUN = 'Not-Executed: 1'


def make_head(status: int, *lines: str) -> bytes:
    """Return the head of an answer to the request ``r1``."""
    own = ('Request-Id: r1', f'Server-Stamp: {STAMP}', 'Weight-Versions: 1')
    text = '\r\n'.join((f'HTTP/1.1 {status} X', *own, *lines, '', ''))
    return text.encode()


class EndlessUpstream(FleetUpstreamStandin):
    """Sends an opening, then a part again and again.

    :ivar most_sent: the most bytes sent in one answer.
    :ivar seconds: how long each connection stayed open after the request.
    """

    def __init__(self, opening: bytes, part: bytes) -> None:
        super().__init__(f'endless-{next(NUMBERS)}')
        self.opening = opening
        self.part = part * (PART_BYTES // len(part) or 1)
        self.most_sent = 0
        self.seconds: list[float] = []
        self.reports_too = False

    async def _run(self, connection, head, behaviour) -> None:
        await self._send_endless(connection)

    async def _report(self, connection) -> None:
        if self.reports_too:
            await self._send_endless(connection)
        await super()._report(connection)

    async def _send_endless(self, connection) -> None:
        began = time.monotonic()
        writer = connection._stream._protocol
        size = 0
        with contextlib.suppress(OSError):
            writer.write(self.opening)
            while size < END_BYTES:
                writer.write(self.part)
                size += len(self.part)
                await writer.drain()
                await asyncio.sleep(0)
        self.most_sent = max(self.most_sent, size)
        self.seconds.append(time.monotonic() - began)
        connection.abort()
        raise CallerGone('the router closed the connection')


@contextlib.asynccontextmanager
async def run_endless(fleet, service, opening, part):
    """Let an upstream that sends without end take the place of another."""
    upstream = EndlessUpstream(opening, part)
    await upstream.start()
    fleet.store.remove('servers', 'p2' if service == 'plain' else 'e2')
    fleet.put_upstream(service, upstream)
    try:
        await wait_until(lambda: find(fleet, upstream))
        yield upstream
    finally:
        fleet.store.remove('servers', upstream.instance)
        await wait_until(lambda: not find(fleet, upstream))
        await upstream.stop()


def find(fleet, upstream):
    """Return what the router knows of an upstream, or None."""
    known = {item.instance: item for item in fleet.router.directory}
    return known.get(upstream.instance)


PLAIN = {
    'bytes that are no head': (b'', b'\x81garbage'),
    'printable bytes that are no head': (b'', b'garbage'),
    'lines of a head': (make_head(200)[:-2], b'A: b\r\n'),
    'one header': (make_head(200)[:-2] + b'A: ', b'b'),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    'answers to others': (b'', FOREIGN),
    'answer to another': (
        FOREIGN[:-7].replace(b': 7', b': 99999999999'),
        b'x',
    ),
    'body with a length': (make_head(200, ENDLESS), b'x'),
    'body of chunks': (
        make_head(200, CHUNKED),
        b'8000\r\n' + b'x' * 0x8000 + b'\r\n',
    ),
    'body of small chunks': (make_head(200, CHUNKED), b'2\r\nxx\r\n'),
    'chunk extension': (make_head(200, CHUNKED) + b'5;', b'x'),
    'trailers': (make_head(200, CHUNKED) + b'0\r\n', b'A: b\r\n'),
    'body without framing': (make_head(200, 'Connection: close'), b'x'),
    'body of an error': (make_head(500, ENDLESS), b'x'),
    'body of a declined request': (make_head(503, NOT_RUN, ENDLESS), b'x'),
    'body of an unknown status': (make_head(503, ENDLESS), b'x'),
    'body of another instance': (
        make_head(421, NOT_RUN, 'Instance-Id: other', ENDLESS),
        b'x',
    ),
    'bytes after an answer': (make_head(200, 'Content-Length: 1'), b'x'),
}
HEAD = make_head(200, 'Content-Type: text/event-stream')
CHUNKED_HEAD = make_head(200, 'Content-Type: text/event-stream', CHUNKED)
STREAMS = {
    'event': (HEAD + b'id: 1\ndata: ', b'x'),
    'event of lines': (HEAD + b'id: 1\n', b'data: x\n'),
    'events with old ids': (
        HEAD + b'id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n',
        b'id: 1\ndata: token 1\n\n',
    ),
    'head': (make_head(200)[:-2], b'A: b\r\n'),
    'event of small chunks': (
        CHUNKED_HEAD + b'6\r\ndata: \r\n',
        b'2\r\nxx\r\n',
    ),
    'small events with old ids': (
        CHUNKED_HEAD + b'f\r\nid: 1\ndata: 1\n\n\r\n',
        b'7\r\nid: 1\n\n\r\n',
    ),
}
REPORTS = {
    'head': (b'HTTP/1.1 200 OK\r\n', b'A: b\r\n'),
    'interim answers': PLAIN['interim answers'],
    'body': (b'HTTP/1.1 200 OK\r\n\r\n', b' '),
}


@contextlib.asynccontextmanager
async def watch_stalls():
    """Yield a list of the processor time of each iteration of the loop."""
    seconds = [0.0]

    async def watch():
        before = time.process_time()
        while True:
            await asyncio.sleep(0)
            now = time.process_time()
            seconds.append(now - before)
            before = now

    task = asyncio.create_task(watch())
    try:
        yield seconds
    finally:
        task.cancel()


class TestEndlessAnswers(unittest.IsolatedAsyncioTestCase):
    async def _check_answers(
        self, fleet, service, content, send, most_bytes=MAX_BYTES
    ):
        """Send requests until one met the upstream; return the answers."""
        answers = []
        async with run_endless(fleet, service, *content) as upstream:
            while not upstream.runs:
                # Otherwise the other upstream may be preferred each time.
                other = fleet.upstreams['p1' if service == 'plain' else 'e1']
                other.script.append(Behaviour.DECLINE)
                began = time.monotonic()
                answers.append(await send())
                self.assertLess(time.monotonic() - began, ANSWER_SECONDS)
                self.assertLess(len(answers), 50)
            async with asyncio.timeout(CLOSE_SECONDS):
                while not upstream.seconds:
                    await asyncio.sleep(0.005)
            answers.append(await send())
            self.assertLess(upstream.most_sent, most_bytes)
            self.assertLess(max(upstream.seconds), CLOSE_SECONDS)
        return answers

    async def test_plain_answers(self):
        async with run_fleet() as fleet:
            for number, (name, content) in enumerate(PLAIN.items()):
                with self.subTest(name):
                    # Another path: what breaks upstreams is not sent for long.
                    answers = await self._check_answers(
                        fleet,
                        'plain',
                        content,
                        lambda path=f'/safe/{number}': fleet.call(path),
                    )
                    self.assertEqual({item.status for item in answers}, {200})

    async def test_regression_errors_without_end_were_kept_in_memory(self):
        async with run_fleet() as fleet:
            await self._check_answers(
                fleet,
                'plain',
                PLAIN['body of an error'],
                lambda: fleet.call('/safe/a'),
                MAX_ERROR_BYTES,
            )

    async def test_streams(self):
        for name, content in STREAMS.items():
            async with run_fleet() as fleet:
                with self.subTest(name):
                    answers = await self._check_answers(
                        fleet,
                        'engines',
                        content,
                        lambda fleet=fleet: fleet.generate('text'),
                    )
                    for answer in answers:
                        self.assertEqual(answer.status, 200)
                        self.assertEqual(answer.body.count(b'data: '), EVENTS)

    async def test_reports(self):
        control = PlatformEngineControl(SystemClock(), 0.5)
        async with run_fleet() as fleet:
            for name, content in REPORTS.items():
                with self.subTest(name):
                    async with run_endless(
                        fleet, 'engines', *content
                    ) as upstream:
                        upstream.reports_too = True
                        with self.assertRaises(PlatformUnavailable):
                            await control.read_state(find(fleet, upstream))
                        await wait_until(lambda sent=upstream: sent.seconds)
                    self.assertLess(upstream.most_sent, MAX_BYTES)
                    self.assertLess(max(upstream.seconds), CLOSE_SECONDS)

    async def test_regression_small_chunks_kept_other_callers_waiting(self):
        async with run_fleet() as fleet, watch_stalls() as seconds:
            content = PLAIN['body of small chunks']
            await self._check_answers(
                fleet, 'plain', content, lambda: fleet.call('/safe/a')
            )
        self.assertLess(max(seconds), STALL_SECONDS)

    async def test_regression_event_in_small_parts_stopped_the_router(self):
        few = await self._measure_feeding(PARTS)
        many = await self._measure_feeding(2 * PARTS)
        self.assertLess(many, MAX_GROWTH * few)

    async def _measure_feeding(self, parts):
        """Return the processor time for an event in many parts."""
        relay = EventRelay(None, None)
        began = time.process_time()
        for _ in range(parts):
            await relay.feed(b'x' * 16)
        return time.process_time() - began
