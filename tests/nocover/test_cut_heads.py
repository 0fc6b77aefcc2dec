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

"""Tests of answers whose head stops in its middle."""

import asyncio
import dataclasses
import unittest

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.json_client import JsonClient
from tests.nocover.test_tunnels import cut_off
from tests.nocover.test_tunnels import STRUCK
from tests.support.cut_fleet import KINDS
from tests.support.cut_fleet import run_cut_fleet
from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until
from tests.support.fleet_upstream import Behaviour
from tests.support.fleet_upstream import build_head
from tests.support.fleet_upstream import EVENTS
from tests.support.fleet_upstream import HeadCut

FRAMINGS = ('Content-Length: 8', 'Transfer-Encoding: chunked', '')
EXTRA = b'HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 2\r\n\r\nhm'
INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
# Each head is cut at these intervals; a prime, so that all places of a line
# are met over the cases.
STEP_BYTES = 7
_, ONCE, _, ESSAY = KINDS


def list_cuts(**fields):
    """Return cuts of each framing, at places all over the head."""
    for number, framing in enumerate(FRAMINGS):
        whole = HeadCut(framing, **fields)
        # At least as long as the head with the id of the request.
        size = len(build_head(whole, (('server-stamp', '3e1b.07'),)))
        for place in range(number, size, STEP_BYTES):
            yield dataclasses.replace(whole, size=place)


class TestDirect(unittest.IsolatedAsyncioTestCase):
    async def _check(self, cuts, *, reused=False):
        """Check that no answer with a cut head is taken for a whole one."""
        async with run_fleet() as fleet:
            for name in ('p2', 'e2'):
                fleet.store.remove('servers', name)
            directory = fleet.router.directory
            await wait_until(lambda: len(list(directory)) == 2)
            for number, cut in enumerate(cuts):
                with self.subTest(cut):
                    await self._call(fleet, cut, number, reused)

    async def _call(self, fleet, cut, number, reused):
        for upstream in fleet.router.directory:
            upstream.breaker.note_success()
            upstream.reach.note_reachable(0.0)
        plain, engine = fleet.upstreams['p1'], fleet.upstreams['e1']
        if reused:
            await fleet.call(f'/once/{number}', method='POST')
        runs = len(plain.runs)
        plain.head_cut = engine.head_cut = cut
        plain.script.append(Behaviour.CUT_IN_HEAD)
        answer = await fleet.call(
            f'/once/{number}', method='POST', request_id=f'p{number}'
        )
        self.assertEqual(answer.status, 502, answer)
        self.assertEqual(len(plain.runs), runs + 1)
        engine.script.append(Behaviour.CUT_IN_HEAD)
        try:
            answer = await fleet.generate('essay', request_id=f'e{number}')
        except UpstreamLost:
            return
        self.assertEqual(answer.status, 502, answer)

    async def test_head_that_stops_in_its_middle_is_no_answer(self):
        await self._check(list_cuts())

    async def test_after_an_interim_answer(self):
        await self._check(list_cuts(before=INTERIM))

    async def test_behind_an_extra_answer_on_a_kept_connection(self):
        await self._check(list_cuts(before=EXTRA), reused=True)

    async def test_lines_that_end_with_line_feeds_only(self):
        await self._check(list_cuts(line_end='\n'))

    async def test_stream_that_goes_on_there_is_whole_or_broken_off(self):
        async with run_fleet() as fleet:
            for number, cut in enumerate(list_cuts()):
                for upstream in fleet.router.directory:
                    upstream.breaker.note_success()
                for name in ('e1', 'e2'):
                    upstream = fleet.upstreams[name]
                    upstream.head_cut = cut
                    upstream.script.clear()
                    upstream.script.extend(
                        (Behaviour.CUT_IN_EVENT, Behaviour.CUT_IN_HEAD)
                    )
                    if number % 2:
                        upstream.script.reverse()
                with self.subTest(cut):
                    try:
                        answer = await fleet.generate(
                            'text', request_id=f't{number}'
                        )
                    except UpstreamLost:
                        continue
                    if answer.status == 200:
                        events = answer.body.count(b'data: ')
                        self.assertEqual(events, EVENTS)

    async def test_next_request_gets_another_connection(self):
        async with run_fleet() as fleet:
            fleet.store.remove('servers', 'p2')
            await wait_until(lambda: len(list(fleet.router.directory)) == 3)
            plain = fleet.upstreams['p1']
            plain.head_cut = HeadCut(FRAMINGS[0], 30, closes=False)
            plain.script.append(Behaviour.CUT_IN_HEAD)
            answer = await fleet.call(
                '/once/a', method='POST', headers=(('deadline-ms', '300'),)
            )
            self.assertEqual(answer.status, 504)
            answer = await fleet.call('/once/a', method='POST')
            self.assertEqual((answer.status, answer.body), (200, b'ran at p1'))
            self.assertEqual(len(plain.peers), 2)


class TestTunnels(unittest.IsolatedAsyncioTestCase):
    async def test_head_that_stops_in_its_middle_is_no_answer(self):
        async with run_cut_fleet() as fleet:
            await cut_off(fleet)
            for cut in list_cuts():
                for kind in (ONCE, ESSAY):
                    with self.subTest(cut, kind=kind):
                        await self._call(fleet, cut, kind)

    async def _call(self, fleet, cut, kind):
        for upstream in fleet.routers[STRUCK].directory:
            upstream.breaker.note_success()
        for upstream in fleet.upstreams.values():
            upstream.head_cut = cut
            upstream.script.clear()
            upstream.script.append(Behaviour.CUT_IN_HEAD)
        self.assertFalse(await fleet.try_once(STRUCK, kind))


class TestStore(unittest.IsolatedAsyncioTestCase):
    async def test_head_of_the_store_that_stops_is_no_answer(self):
        for framing in FRAMINGS:
            head = build_head(HeadCut(framing), (('store-era', '1'),))
            for size in range(len(head)):
                with self.subTest(framing, size=size):
                    await self._check(head[:size])

    async def _check(self, data):
        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(data)
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        client = JsonClient(address, SystemClock(), 5.0)
        with self.assertRaises(PlatformUnavailable):
            await client.call('GET', '/rows-get')
        client.close()
        server.close()


if __name__ == '__main__':
    unittest.main()
