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

"""A planned stop of a router of a fleet, with real sockets."""

import asyncio
import unittest

from lifttrestle.errors import UpstreamLost
from tests.support.fleet import Fleet
from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until

ENGINES = ('e1', 'e2')


def hold_streams(fleet: Fleet) -> None:
    """Have every stream stand still after its second event."""
    for name in ENGINES:
        fleet.upstreams[name].released.clear()


def count_runs(fleet: Fleet) -> int:
    return sum(len(fleet.upstreams[name].runs) for name in ENGINES)


def find_events(logs, name: str) -> list[dict[str, object]]:
    """Return the fields of the events of one name."""
    return [item.fields for item in logs.records if item.msg == name]


class TestSight(unittest.IsolatedAsyncioTestCase):
    async def test_stream_that_the_stop_cuts_is_told_as_cut(self) -> None:
        with self.assertLogs('lifttrestle', 'INFO') as logs:
            async with run_fleet() as fleet:
                hold_streams(fleet)
                stream = asyncio.create_task(fleet.generate('text'))
                await wait_until(lambda: count_runs(fleet) == 1)
                self.assertFalse(await fleet.router.stop())
                with self.assertRaises(UpstreamLost):
                    await stream
                count = fleet.router.registry.get_sample_value(
                    'lifttrestle_requests_total',
                    {'service': 'engines', 'outcome': 'cut'},
                )
        (ended,) = find_events(logs, 'request.ended')
        self.assertEqual(ended['outcome'], 'cut')
        self.assertEqual(ended['events'], 2)
        self.assertGreater(ended['quiet_ms'], 0)
        self.assertEqual(find_events(logs, 'router.stopped')[0]['cut'], 1)
        self.assertEqual(count, 1.0)


if __name__ == '__main__':
    unittest.main()
