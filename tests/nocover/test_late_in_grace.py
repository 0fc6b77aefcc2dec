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

"""Requests that come late in the grace of a planned stop; real sockets."""

import asyncio
import dataclasses
import itertools
import time
import unittest

from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from tests.support.fleet import Fleet
from tests.support.fleet import PROMISES
from tests.support.fleet import run_fleet
from tests.support.fleet import WAIT_SECONDS
from tests.support.fleet_upstream import Behaviour

GRACE_SECONDS = 3.0
# Parts of the grace after which requests are sent.
SENT_AT = (0.0, 0.25, 0.5, 0.7, 0.75, 0.8, 0.85, 0.9, 0.93, 0.95, 0.99)
# Own limits of the requests, and that of their routes.
LIMITS_MS = (200, 800, 8000)
PATHS = ('/safe/a', '/once/a', '/text/x', '/essay/x')
IDS = itertools.count()


@dataclasses.dataclass(frozen=True)
class Call:
    """How one request ended.

    :ivar seconds: until its end.
    :ivar status: None without a complete answer.
    """

    request_id: str
    path: str
    sent_at: float
    limit_ms: int
    seconds: float
    status: int | None


class TestLateInGrace(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        promises = dataclasses.replace(PROMISES, grace_seconds=GRACE_SECONDS)
        self.fleet = await self.enterAsyncContext(run_fleet(promises))

    async def send_all(self, behaviours: dict[str, list[Behaviour]]) -> None:
        """Send requests from the signal on; check that none was cut."""
        cases = list(itertools.product(SENT_AT, LIMITS_MS, PATHS))
        connections = [await self.open_used() for _ in cases]
        for name, script in behaviours.items():
            self.fleet.upstreams[name].script.extend(script)
        stopping = asyncio.create_task(self.fleet.router.stop())
        calls = await asyncio.gather(
            *(
                self.call_late(connection, *case)
                for connection, case in zip(connections, cases, strict=True)
            )
        )
        await stopping
        ran = find_runs(self.fleet)
        cut = [
            call
            for call in calls
            if call.status is None
            and call.request_id in ran
            and call.seconds < call.limit_ms / 1000
        ]
        self.assertEqual(cut, [])
        self.assertTrue([call for call in calls if call.status])

    async def open_used(self) -> ClientConnection:
        """Return a kept connection."""
        connection = await ClientConnection.open(
            self.fleet.router.callers_address, WAIT_SECONDS
        )
        await send(connection, 'warm', '/open/a', WAIT_SECONDS * 1000)
        return connection

    async def call_late(
        self,
        connection: ClientConnection,
        sent_at: float,
        limit_ms: int,
        path: str,
    ) -> Call:
        await asyncio.sleep(sent_at * GRACE_SECONDS)
        request_id = f'late{next(IDS)}'
        began = time.monotonic()
        try:
            status = await send(connection, request_id, path, limit_ms)
        except (UpstreamLost, UpstreamConnectFailed):
            status = None
        seconds = time.monotonic() - began
        return Call(request_id, path, sent_at, limit_ms, seconds, status)

    async def test_requests_that_are_answered(self) -> None:
        await self.send_all({})

    async def test_requests_that_upstreams_do_not_answer(self) -> None:
        silent = [Behaviour.SILENT] * 200
        await self.send_all({name: silent for name in ('p1', 'p2')})

    async def test_requests_that_upstreams_turn_away_first(self) -> None:
        mixed = [Behaviour.DECLINE, Behaviour.DECLINE, Behaviour.SILENT] * 50
        names = ('p1', 'p2', 'e1', 'e2')
        await self.send_all({name: mixed for name in names})

    async def test_streams_that_stall(self) -> None:
        for name in ('e1', 'e2'):
            self.fleet.upstreams[name].released.clear()
        await self.send_all({})


async def send(
    connection: ClientConnection, request_id: str, path: str, limit_ms: float
) -> int:
    """Send a request and return the status of its complete answer."""
    headers = (
        ('host', 'shop.example'),
        ('request-id', request_id),
        ('authorization', 'Token k1'),
        ('deadline-ms', str(int(limit_ms))),
        ('model', 'm'),
        ('token-count', '460,5'),
        ('prompt-prefix', f'{request_id}:460'),
    )
    await connection.send_request(RequestHead('POST', path, headers), b'')
    head = await connection.read_head()
    await connection.read_body(1_000_000)
    return head.status


def find_runs(fleet: Fleet) -> set[str]:
    """Return the ids of the requests that upstreams ran."""
    return {
        value
        for upstream in fleet.upstreams.values()
        for run in upstream.runs
        for name, value in run.head.headers
        if name == 'request-id'
    }
