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

"""Tests of routers that forward connections of routers that are cut off."""

import asyncio
import contextlib
import unittest
from unittest import mock

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.fleet.state.relay_messages import encode_frame
from lifttrestle.internal.fleet.tunnels.messages import TunnelRequest
from lifttrestle.internal.fleet.tunnels.messages import TunnelStatus
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.byte_stream import ByteStream
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from tests.support.cut_fleet import AT_ONCE
from tests.support.cut_fleet import KINDS
from tests.support.cut_fleet import ROUTERS
from tests.support.cut_fleet import run_cut_fleet
from tests.support.cut_links import Cut
from tests.support.fleet import wait_until
from tests.support.fleet_upstream import Behaviour

MAX_TUNNELS = 'lifttrestle.internal.fleet.tunnels.server.MAX_TUNNELS'
SAFE, ONCE, TEXT, ESSAY = KINDS
STRUCK = 'front-a-1'
NEAR = 'front-a-2'


def list_upstreams(fleet, router=STRUCK):
    return list(fleet.routers[router].directory)


async def cut_off(fleet, how=Cut.RESET):
    """Cut a router off, and wait until it uses tunnels."""
    await fleet.count_served(STRUCK, 1)
    fleet.links.cut(STRUCK, how)
    upstreams = list_upstreams(fleet)
    now = fleet.routers[STRUCK]._clock.monotonic

    def uses_tunnels():
        for upstream in upstreams:
            # Again if a probe succeeded that had begun before the cut.
            if not upstream.reach.unreachable:
                upstream.reach.note_unreachable(now())
        return all(item.uses_tunnels for item in upstreams)

    await wait_until(uses_tunnels)


def count_runs(fleet):
    return sum(len(item.runs) for item in fleet.upstreams.values())


def count_tunnels(fleet, router=NEAR):
    return fleet.routers[router].tunnel_server.tunnels


async def ask_for_tunnel(address, request):
    """Return what a router answers to a request for a tunnel."""
    address = parse_address(str(address))
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(encode_frame(request))
    writer.write_eof()
    try:
        return await reader.read()
    finally:
        writer.close()


class TestWhoMayUseTunnels(unittest.IsolatedAsyncioTestCase):
    async def test_stranger_gets_no_tunnel(self):
        async with run_cut_fleet() as fleet:
            start = list_upstreams(fleet)[0].start
            address = fleet.routers[NEAR].roster.tunnel_address
            for key in ('router/unknown', ''):
                request = TunnelRequest(key, start)
                self.assertEqual(await ask_for_tunnel(address, request), b'')

    async def test_port_of_callers_opens_no_tunnel(self):
        async with run_cut_fleet() as fleet:
            request = TunnelRequest(
                f'router/{STRUCK}', list_upstreams(fleet)[0].start
            )
            address = fleet.routers[NEAR].callers_address
            answer = await ask_for_tunnel(address, request)
            self.assertEqual(count_tunnels(fleet), 0)
        self.assertTrue(answer.startswith(b'HTTP/1.1 400'), answer)

    async def test_router_forwards_for_a_limited_number(self):
        async with run_cut_fleet() as fleet:
            with mock.patch(MAX_TUNNELS, 0):
                await fleet.count_served(STRUCK, 1)
                fleet.links.cut(STRUCK, Cut.RESET)
                self.assertFalse(await fleet.try_once(STRUCK, ONCE))

    async def test_regression_tunnels_led_to_upstreams_that_want_a_pause(self):
        async with run_cut_fleet() as fleet:
            near = fleet.routers[NEAR]
            upstream = list_upstreams(fleet, NEAR)[0]
            now = near._clock.monotonic()
            upstream.rejections.note_requested(3.0, now)
            address = near.roster.tunnel_address
            request = TunnelRequest(f'router/{STRUCK}', upstream.start)
            answer = await ask_for_tunnel(address, request)
            self.assertEqual(answer, bytes([TunnelStatus.BUSY]))

    async def _ask_meanwhile(self, fleet, act):
        """Return the answer if ``act`` happens while a router connects."""
        near = fleet.routers[NEAR]
        upstream = list_upstreams(fleet, NEAR)[0]
        connect = ByteStream.open

        async def connect_later(address):
            stream = await connect(address)
            act(near, upstream)
            return stream

        request = TunnelRequest(f'router/{STRUCK}', upstream.start)
        address = near.roster.tunnel_address
        with mock.patch.object(ByteStream, 'open', connect_later):
            return await ask_for_tunnel(address, request)

    async def test_regression_pause_or_stop_missed_tunnels_being_opened(self):
        def pause(near, upstream):
            now = near._clock.monotonic()
            upstream.rejections.note_requested(3.0, now)
            near.tunnel_server.announce_pause(upstream.start)

        def stop(near, upstream):
            near.tunnel_server.announce_stop()

        for act, status in (
            (pause, TunnelStatus.BUSY),
            (stop, TunnelStatus.STOPPING),
        ):
            with self.subTest(act.__name__):
                async with run_cut_fleet() as fleet:
                    answer = await self._ask_meanwhile(fleet, act)
                    self.assertEqual(answer, bytes([status]))


class TestPath(unittest.IsolatedAsyncioTestCase):
    async def test_own_data_centre_forwards_and_ends_when_links_are_back(self):
        async with run_cut_fleet() as fleet:
            await cut_off(fleet)
            self.assertEqual(await fleet.count_served(STRUCK, 2), 24)
            self.assertGreater(count_tunnels(fleet), 0)
            for router, name in (
                (NEAR, 'lifttrestle_tunnels'),
                (STRUCK, 'lifttrestle_tunnelled_upstreams'),
            ):
                read = fleet.routers[router].registry.get_sample_value
                self.assertGreater(read(name), 0.0)
            for router in ('front-b-1', 'front-b-2'):
                self.assertEqual(count_tunnels(fleet, router), 0)
            fleet.links.heal(STRUCK)
            upstreams = list_upstreams(fleet)
            await wait_until(
                lambda: not any(item.uses_tunnels for item in upstreams)
            )
            # Unused tunnels would hold up a planned stop of the other router.
            await wait_until(lambda: count_tunnels(fleet) == 0)
            self.assertEqual(await fleet.count_served(STRUCK, 2), 24)

    async def test_routers_cut_off_from_all_send_nobody_in_a_circle(self):
        async with run_cut_fleet() as fleet:
            for router in ROUTERS:
                fleet.links.cut(router, Cut.RESET)
            await asyncio.gather(
                *(fleet.count_served(router, 1) for router in ROUTERS)
            )
            # Several rounds of probes of the other routers.
            await asyncio.sleep(1.5)
            for router in ROUTERS:
                self.assertFalse(await fleet.try_once(router, SAFE))
                self.assertEqual(count_tunnels(fleet, router), 0)
                self.assertTrue(fleet.routers[router].is_ready())

    async def test_regression_first_requests_after_a_cut_were_refused(self):
        async with run_cut_fleet() as fleet:
            await fleet.count_served(STRUCK, 1)
            fleet.links.cut(STRUCK, Cut.RESET)
            await wait_until(
                lambda: (
                    not any(
                        upstream.pool.has_idle
                        for upstream in list_upstreams(fleet)
                    )
                )
            )
            served = await fleet.count_served(STRUCK, 1)
        self.assertEqual(served, AT_ONCE * len(KINDS))

    async def test_upstream_learns_that_the_caller_has_left(self):
        async with run_cut_fleet() as fleet:
            await cut_off(fleet)
            for upstream in fleet.upstreams.values():
                upstream.script.append(Behaviour.SILENT)
            before = count_runs(fleet)
            trying = asyncio.create_task(fleet.try_once(STRUCK, ONCE))
            await wait_until(lambda: count_runs(fleet) > before)
            trying.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await trying
            await wait_until(
                lambda: any(item.left for item in fleet.upstreams.values())
            )

    async def test_log_names_the_router_that_forwards(self):
        async with run_cut_fleet() as fleet:
            await cut_off(fleet)
            with self.assertLogs('lifttrestle.request', 'INFO') as logs:
                await fleet.try_once(STRUCK, SAFE)
                await wait_until(
                    lambda: any(
                        record.getMessage() == 'request.ended'
                        for record in logs.records
                    )
                )
        vias = [
            record.fields['via']
            for record in logs.records
            if record.getMessage() == 'request.sent'
        ]
        self.assertEqual(vias, [f'router/{NEAR}'])


class TestOrders(unittest.IsolatedAsyncioTestCase):
    async def test_calls_to_engines_never_pass_another_router(self):
        # Engines tell the holders of orders apart by the VM they come from.
        async with run_cut_fleet() as fleet:
            await cut_off(fleet)
            await fleet.count_served(STRUCK, 1)
            (engine, *_) = [
                upstream
                for upstream in list_upstreams(fleet)
                if upstream.entry.service == 'engines'
            ]
            control = fleet.routers[STRUCK]._weights_loader._control
            before = count_tunnels(fleet)
            with (
                fleet.links.owned_by(STRUCK),
                self.assertRaises(PlatformUnavailable),
            ):
                await control.read_state(engine)
            self.assertLessEqual(count_tunnels(fleet), before)


class TestEndOfTheOtherRouter(unittest.IsolatedAsyncioTestCase):
    async def _begin_stream(self, fleet, kind):
        """Begin a stream through a tunnel and hold it after two events."""
        for upstream in fleet.upstreams.values():
            upstream.released.clear()
        connection = await ClientConnection.open(
            fleet.routers[STRUCK].callers_address, 5.0
        )
        headers = (
            ('host', 'shop.example'),
            ('request-id', 'stream'),
            ('authorization', 'Token k1'),
            *kind.headers,
        )
        await connection.send_request(
            RequestHead(kind.method, kind.path, headers), b''
        )
        await connection.read_head()
        return connection

    def _release(self, fleet):
        for upstream in fleet.upstreams.values():
            upstream.released.set()

    async def _kill(self, fleet):
        """End the tunnels of a router as its death would."""
        await fleet.routers[NEAR].tunnel_server._listener.close()

    async def test_killed_router_breaks_off_what_may_not_run_again(self):
        async with run_cut_fleet() as fleet:
            await cut_off(fleet)
            connection = await self._begin_stream(fleet, ESSAY)
            before = count_runs(fleet)
            await self._kill(fleet)
            with self.assertRaises(UpstreamLost):
                await connection.read_body(10_000)
            connection.close()
            self._release(fleet)
            self.assertEqual(count_runs(fleet), before)
            states = {item.breaker._failures for item in list_upstreams(fleet)}
            self.assertEqual(states, {0})

    async def test_stream_is_resumed_through_another_router(self):
        async with run_cut_fleet() as fleet:
            await cut_off(fleet)
            connection = await self._begin_stream(fleet, TEXT)
            await self._kill(fleet)
            self._release(fleet)
            body = await connection.read_body(10_000)
            connection.close()
        ids = [line for line in body.split(b'\n') if line.startswith(b'id:')]
        self.assertEqual(ids, [b'id: %d' % number for number in range(1, 6)])

    async def test_planned_stop_ends_tunnels_after_their_answers(self):
        async with run_cut_fleet() as fleet:
            await cut_off(fleet)
            connection = await self._begin_stream(fleet, ESSAY)
            tunnels = fleet.routers[NEAR].tunnel_server
            tunnels.announce_stop()
            stopping = asyncio.create_task(tunnels.stop(10.0))
            # New requests pass through routers that do not stop.
            self.assertTrue(await fleet.try_once(STRUCK, SAFE))
            self.assertTrue(await fleet.try_once(STRUCK, ONCE))
            self._release(fleet)
            body = await connection.read_body(10_000)
            self.assertEqual(body.count(b'data: '), 5)
            await stopping
            self.assertEqual(tunnels.tunnels, 0)
            connection.close()
