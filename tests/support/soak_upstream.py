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

"""An upstream that answers after delays set by a header of the request."""

import asyncio
import random

from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from tests.support.fleet_upstream import Behaviour
from tests.support.fleet_upstream import FleetUpstreamStandin
from tests.support.fleet_upstream import STAMP

PLAN_HEADER = 'soak-plan'
DECLINED_SHARE = 0.04
MAX_REQUESTS = 20_000


def get_base_id(request_id: str) -> str:
    """Return the id that all attempts of one request have in common."""
    return request_id.rpartition('.')[0]


def make_event(base_id: str, number: int) -> bytes:
    """Return one event of the stream of the request ``base_id``."""
    return f'id: {number}\ndata: {base_id} {number}\n\n'.encode()


class PacedUpstream(FleetUpstreamStandin):
    """Delays its answers, and declines a few requests without running them.

    The header ``soak-plan`` is ``EVENTS,SECONDS``: the number of events of the
    stream, or 0 for a plain answer, and the pause before each event or before
    the plain answer.
    """

    def __init__(self, instance: str, source: random.Random) -> None:
        super().__init__(instance)
        weights = (DECLINED_SHARE, 1 - DECLINED_SHARE)
        behaviours = (Behaviour.DECLINE, Behaviour.GOOD)
        self.script.extend(source.choices(behaviours, weights, k=MAX_REQUESTS))

    async def _run(
        self,
        connection: ServerConnection,
        head: RequestHead,
        behaviour: Behaviour,
    ) -> None:
        count, _, pause = head.get_header(PLAN_HEADER).partition(',')
        base_id = get_base_id(head.get_header('request-id'))
        headers = (*self._echo(head), ('server-stamp', STAMP))
        if not int(count):
            await asyncio.sleep(float(pause))
            body = f'{base_id} ran'.encode()
            headers += (('content-length', str(len(body))),)
            await connection.start_answer(200, headers)
            await connection.send_part(body)
            await connection.end_answer()
            return
        headers += (('weight-versions', str(self.weights)),)
        await connection.start_answer(200, headers)
        first = int(head.get_header('last-event-id', '0')) + 1
        for number in range(first, int(count) + 1):
            await asyncio.sleep(float(pause))
            await connection.send_part(make_event(base_id, number))
        await connection.end_answer()
