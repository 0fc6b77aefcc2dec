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

"""Tests of upstreams that send an answer once more than was asked."""

import unittest

from lifttrestle.internal.platform.engine_calls import PlatformEngineControl
from tests.support.fleet import run_fleet_before
from tests.support.fleet_upstream import Behaviour
from tests.support.fleet_upstream import FleetUpstreamStandin
from tests.support.fleet_upstream import STAMP

REJECTION = 'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n'
SUCCESS = f'HTTP/1.1 200 OK\r\nServer-Stamp: {STAMP}\r\n'


class CopyingUpstream(FleetUpstreamStandin):
    """Sends answers once more where the next one is expected.

    :ivar copied: head of such an answer.
    :ivar names_request: whether it has the id of the earlier request.
    """

    copied = REJECTION
    names_request = True

    def __init__(self, instance: str) -> None:
        super().__init__(instance)
        self._earlier: dict[str, bytes] = {}

    async def _handle(self, connection, head) -> None:
        earlier = self._earlier.pop(connection.peer, None)
        if earlier is not None:
            connection._stream._protocol.write(earlier)
        request_id = head.get_header('request-id')
        await super()._handle(connection, head)
        if request_id:
            self._earlier[connection.peer] = self._copy(request_id)

    def _copy(self, request_id: str) -> bytes:
        named = f'Request-Id: {request_id}\r\n' if self.names_request else ''
        return f'{self.copied}{named}Content-Length: 0\r\n\r\n'.encode()


class TestExtraAnswers(unittest.IsolatedAsyncioTestCase):
    async def _run(self, call, service='plain', **fields):
        """Call at a fleet whose only upstream of a service copies answers."""
        upstream = CopyingUpstream('u1')
        for name, value in fields.items():
            setattr(upstream, name, value)
        async with run_fleet_before(upstream, service) as fleet:
            return await call(fleet, upstream)

    async def test_regression_rejection_that_came_twice_ran_a_request_twice(
        self,
    ):
        async def call(fleet, upstream):
            upstream.script.append(Behaviour.DECLINE)
            answer = await fleet.call('/once/a', method='POST')
            return answer.status, len(upstream.runs)

        self.assertEqual(await self._run(call), (200, 1))

    async def test_regression_rejection_without_an_id_ran_a_request_twice(
        self,
    ):
        async def call(fleet, upstream):
            await fleet.call('/once/a', method='POST', request_id='r1')
            answer = await fleet.call(
                '/once/a', method='POST', request_id='r2'
            )
            return answer.status, len(upstream.runs)

        result = await self._run(call, names_request=False)
        self.assertEqual(result, (502, 2))

    async def test_regression_repeated_id_got_the_answer_before(self):
        async def call(fleet, upstream):
            upstream.script.append(Behaviour.FAIL)
            first = await fleet.call('/once/a', method='POST')
            second = await fleet.call('/once/a', method='POST')
            return first.status, second.status, second.body

        result = await self._run(call, copied=SUCCESS)
        self.assertEqual(result, (500, 200, b'ran at u1'))

    async def test_regression_order_got_the_answer_to_a_request(self):
        async def call(fleet, upstream):
            await fleet.generate('essay')
            control = PlatformEngineControl(fleet.clock, 0.5)
            (engine,) = fleet.router.directory
            return (await control.read_state(engine)).weights

        self.assertEqual(await self._run(call, 'engines'), {'m': 1})


if __name__ == '__main__':
    unittest.main()
