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

"""An upstream whose answers last as long as the request asks for."""

import asyncio
import random

from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from tests.support.fleet_upstream import Behaviour
from tests.support.fleet_upstream import FleetUpstreamStandin
from tests.support.fleet_upstream import STAMP

PLAN = 'soak-plan'
DECLINED_SHARE = 0.04
MAX_REQUESTS = 20_000


def get_text(request_id: str) -> str:
    """Return what a request asks for, whichever try of it this is."""
    return request_id.rpartition('.')[0]


def make_event(text: str, number: int) -> bytes:
    """Return one event of the stream that is called ``text``."""
    return f'id: {number}\ndata: {text} {number}\n\n'.encode()


class PacedUpstream(FleetUpstreamStandin):
    """Takes its time, and turns a few requests away unread.

    The request's plan is ``EVENTS,SECONDS``: the events of a stream, or none,
    and the pause before each of them or before the plain answer.
    """

    def __init__(self, instance: str, source: random.Random) -> None:
        super().__init__(instance)
        weights = (DECLINED_SHARE, 1 - DECLINED_SHARE)
        both = (Behaviour.DECLINE, Behaviour.GOOD)
        self.script.extend(source.choices(both, weights, k=MAX_REQUESTS))

    async def _run(
        self,
        connection: ServerConnection,
        head: RequestHead,
        behaviour: Behaviour,
    ) -> None:
        count, _, pause = head.get_header(PLAN).partition(',')
        text = get_text(head.get_header('request-id'))
        headers = (*self._echo(head), ('server-stamp', STAMP))
        if not int(count):
            await asyncio.sleep(float(pause))
            body = f'{text} ran'.encode()
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
            await connection.send_part(make_event(text, number))
        await connection.end_answer()
