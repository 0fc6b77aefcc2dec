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

"""Callers that disconnect at each stage of a request, and floods of them."""

import asyncio
import contextlib
import socket
import unittest

from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from tests.support.entries import make_entry
from tests.support.fleet import make_route
from tests.support.fleet import ROUTES
from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until
from tests.support.fleet_upstream import Behaviour

PLAIN = ('p1', 'p2')
ENGINES = ('e1', 'e2')
MANY = 40
# More connections than fit into the listener's backlog.
FLOOD = 700
PATIENT = make_route('patient', 'idempotent', target_latency_ms=7900)


async def send(fleet, path, request_id, *headers):
    """Send a request and return its connection before it is answered."""
    caller = await ClientConnection.open(fleet.router.callers_address, 20.0)
    sent = (
        ('host', 'shop.example'),
        ('request-id', request_id),
        ('authorization', 'Token k1'),
        *headers,
    )
    method = 'POST' if headers else 'GET'
    await caller.send_request(RequestHead(method, path, sent), b'')
    return caller


async def send_until_received(fleet, path, request_id):
    """Send a request until an upstream has received it.

    The router refuses requests while it regards no upstream as available,
    as after stalls of the event loop.
    """
    while True:
        caller = await send(fleet, path, request_id)
        refusal = asyncio.create_task(caller.read_head())
        await wait_until(
            lambda: refusal.done() or request_id in list_ids(fleet, PLAIN)
        )
        if not refusal.done():
            refusal.cancel()
            return caller
        caller.close()


def count_running(fleet):
    return fleet.router.registry.get_sample_value(
        'lifttrestle_requests_running'
    )


def list_arrivals(fleet, names):
    return [head for name in names for head in fleet.upstreams[name].arrivals]


def list_ids(fleet, names):
    """Return the ids of the requests that upstreams have received."""
    return [
        head.get_header('request-id') for head in list_arrivals(fleet, names)
    ]


@contextlib.contextmanager
def hold_connections():
    """Yield an address at which connects neither succeed nor are refused."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        for _ in range(2):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield '{}:{}'.format(*listener.getsockname())


class TestCallerDisconnects(unittest.IsolatedAsyncioTestCase):
    async def test_request_that_waits_for_an_upstream_is_not_sent(self):
        services = [{'name': 'plain', 'max_conns': 1}]
        async with run_fleet() as fleet:
            fleet.configure(
                version=4, routes=[*ROUTES, PATIENT], services=services
            )
            await wait_until(lambda: fleet.router.catalogue.version == 4)
            for name in PLAIN:
                fleet.upstreams[name].script.append(Behaviour.SILENT)
            others = [
                await send(fleet, '/safe/a', f'other-{number}')
                for number in range(2)
            ]
            await wait_until(lambda: len(list_arrivals(fleet, PLAIN)) == 2)
            caller = await send(fleet, '/patient/a', 'leaver')
            await wait_until(lambda: count_running(fleet) == 3)
            caller.close()
            await wait_until(lambda: count_running(fleet) == 2)
            for other in others:
                other.close()
            await wait_until(lambda: count_running(fleet) == 0)
            await fleet.call('/safe/a', request_id='stayer')
            arrivals = list_arrivals(fleet, PLAIN)
        ids = {head.get_header('request-id') for head in arrivals}
        self.assertEqual(ids, {'other-0', 'other-1', 'stayer'})

    async def test_request_with_a_pending_connect_is_not_sent(self):
        with hold_connections() as address:
            async with run_fleet() as fleet:
                entry = make_entry(service='plain', address=address)
                for name in PLAIN:
                    fleet.store.remove('servers', name)
                    fleet.store.put('servers', f'{name}-held', entry)
                await wait_until(
                    lambda: (
                        {'p1-held', 'p2-held'}
                        <= {item.instance for item in fleet.router.directory}
                    )
                )
                await wait_until(
                    lambda: len(list(fleet.router.directory)) == 4
                )
                caller = await send(fleet, '/safe/a', 'leaver')
                await wait_until(lambda: count_running(fleet) == 1)
                caller.close()
                await wait_until(lambda: count_running(fleet) == 0)
                arrivals = list_arrivals(fleet, PLAIN)
        self.assertEqual(arrivals, [])

    async def test_many_running_requests_are_cancelled(self):
        async with run_fleet() as fleet:
            for name in PLAIN:
                fleet.upstreams[name].script.extend([Behaviour.SILENT] * MANY)
            names = {f'leaver-{number}' for number in range(MANY)}
            callers = [
                await send_until_received(fleet, '/safe/a', name)
                for name in names
            ]
            for caller in callers:
                caller.close()
            await wait_until(
                lambda: (
                    names
                    == {
                        id
                        for name in PLAIN
                        for id in fleet.upstreams[name].left
                    }
                )
            )
            arrivals = list_arrivals(fleet, PLAIN)
        self.assertEqual(len(arrivals), MANY)

    async def test_running_stream_is_cancelled_and_not_resumed(self):
        async with run_fleet() as fleet:
            for name in ENGINES:
                fleet.upstreams[name].released.clear()
            caller = await send(
                fleet,
                '/text/a',
                'leaver',
                ('model', 'm'),
                ('token-count', '460,5'),
                ('prompt-prefix', 'aa:400,bb:60'),
            )
            self.assertEqual((await caller.read_head()).status, 200)
            caller.close()
            left = [fleet.upstreams[name].left for name in ENGINES]
            await wait_until(lambda: ['leaver'] in left)
            arrivals = list_arrivals(fleet, ENGINES)
        self.assertEqual(len(arrivals), 1)


class TestFlood(unittest.IsolatedAsyncioTestCase):
    async def test_ready_router_accepts_a_flood_of_connections(self):
        async with run_fleet() as fleet:
            address = fleet.router.callers_address
            # Callers and the router share one event loop here. On a busy
            # machine a flood blocks it for seconds, longer than the greatest
            # permitted age of the view.
            fleet.clock.freeze()
            idle = await asyncio.gather(
                *(
                    asyncio.open_connection(address.host, address.port)
                    for _ in range(FLOOD)
                )
            )
            self.assertTrue(fleet.router.is_ready())
            fleet.clock.resume()
            answer = await fleet.call('/safe/a')
            for _, writer in idle:
                writer.close()
        self.assertEqual(answer.status, 200)
