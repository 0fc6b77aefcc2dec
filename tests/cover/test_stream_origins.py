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

"""What routers know of the origin of a stream that a caller resumes."""

import unittest

from lifttrestle.internal.fleet.state.load_messages import encode_message
from lifttrestle.internal.fleet.state.load_messages import MAX_DATAGRAM_BYTES
from lifttrestle.internal.fleet.state.owners import OWNER_COUNT
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.streams.exchange import MAX_ITEMS
from lifttrestle.internal.fleet.streams.exchange import SEND_COUNT
from lifttrestle.internal.fleet.streams.ledger import MAX_RECORDS
from lifttrestle.internal.fleet.streams.ledger import OriginLedger
from lifttrestle.internal.fleet.streams.messages import OriginItem
from lifttrestle.internal.fleet.streams.messages import OriginUpdate
from lifttrestle.internal.fleet.streams.origin import StreamOrigin
from lifttrestle.internal.fleet.streams.origins import OriginSource
from lifttrestle.internal.fleet.streams.origins import UNKNOWN
from tests.support.origin_fleet import LIFE_SECONDS
from tests.support.origin_fleet import OriginFleet
from tests.support.origin_fleet import SERVICE

SIZES = (6, 60, 195)
OLD = 'v1'
NEW = 'v1.1'


def make_mixed_fleet(routers, lost_share=0.0):
    """Return a fleet whose two upstreams have different versions."""
    fleet = OriginFleet(routers, lost_share)
    fleet.list_upstream('old', OLD)
    fleet.list_upstream('new', NEW)
    return fleet


class TestReplication(unittest.IsolatedAsyncioTestCase):
    async def test_origin_is_known_when_the_router_that_began_it_is_gone(self):
        for routers in SIZES:
            with self.subTest(routers=routers):
                fleet = make_mixed_fleet(routers)
                for number in range(40):
                    fleet.begin(0, f'id{number}', 'old')
                fleet.gone.add(0)
                for number in range(40):
                    asked = 1 + number % (routers - 1)
                    found = await fleet.find(asked, f'id{number}')
                    self.assertEqual(found.origin.software_version, OLD)

    async def test_origin_is_known_though_most_owners_are_gone_too(self):
        fleet = make_mixed_fleet(60)
        fleet.begin(0, 'id', 'old')
        holders = [
            number for number in range(1, 60) if len(fleet.routers[number])
        ]
        self.assertEqual(len(holders), OWNER_COUNT)
        fleet.gone.update((0, *holders[1:]))
        asked = next(
            number
            for number in range(1, 60)
            if number not in fleet.gone and number not in holders
        )
        found = await fleet.find(asked, 'id')
        self.assertIs(found.source, OriginSource.OWNER)

    async def test_few_origins_are_unknown_on_a_bad_link(self):
        fleet = make_mixed_fleet(60, lost_share=0.1)
        for number in range(200):
            fleet.begin(0, f'id{number}', 'old')
        fleet.gone.add(0)
        unknown = 0
        for number in range(200):
            found = await fleet.find(1 + number % 59, f'id{number}')
            unknown += found.origin is None
        self.assertLessEqual(unknown, 2)

    async def test_cost_of_a_stream_does_not_grow_with_the_fleet(self):
        for routers in SIZES:
            with self.subTest(routers=routers):
                fleet = make_mixed_fleet(routers)
                for number in range(100):
                    fleet.begin(number % routers, f'id{number}', 'old')
                for router in fleet.routers:
                    router._exchange.send_pending()
                most = 100 * OWNER_COUNT * SEND_COUNT
                self.assertLessEqual(fleet.messages, most)
                self.assertLessEqual(fleet.bytes, most * 60)

    def test_largest_update_fits_a_datagram(self):
        item = OriginItem(2**64 - 1, 's' * 200, 'v' * 200, 2**32 - 1)
        update = OriginUpdate('v' * 100, [item] * MAX_ITEMS)
        self.assertLessEqual(len(encode_message(update)), MAX_DATAGRAM_BYTES)


class TestLedger(unittest.TestCase):
    def setUp(self):
        self.fleet = OriginFleet(1)
        self.ledger = OriginLedger(self.fleet.clock, lambda: LIFE_SECONDS)

    def test_record_lasts_as_long_as_its_stream_may_be_resumed(self):
        origin = StreamOrigin(SERVICE, OLD, 1)
        self.ledger.put(1, origin)
        self.fleet.clock.advance(LIFE_SECONDS - 1)
        self.ledger.put(1, origin)
        self.fleet.clock.advance(LIFE_SECONDS - 1)
        self.assertEqual(self.ledger.get(1), origin)
        self.fleet.clock.advance(2)
        self.assertIsNone(self.ledger.get(1))

    def test_memory_is_bounded(self):
        for digest in range(MAX_RECORDS + 10):
            self.ledger.put(digest, StreamOrigin(SERVICE, OLD, 1))
        self.assertEqual(len(self.ledger), MAX_RECORDS)
        self.assertIsNone(self.ledger.get(0))

    def test_two_streams_with_one_id_have_no_known_origin(self):
        self.ledger.put(1, StreamOrigin(SERVICE, OLD, 1))
        self.ledger.put(1, StreamOrigin(SERVICE, NEW, 2))
        self.assertIsNone(self.ledger.get(1))
        self.ledger.put(1, StreamOrigin(SERVICE, OLD, 1))
        self.assertIsNone(self.ledger.get(1))

    def test_repeated_record_is_the_same_stream(self):
        origin = StreamOrigin(SERVICE, OLD, 1)
        self.ledger.put(1, origin)
        self.ledger.put(1, origin)
        self.assertEqual(self.ledger.get(1), origin)


class TestUnknownOrigin(unittest.IsolatedAsyncioTestCase):
    async def test_origin_is_not_guessed_between_two_versions(self):
        fleet = make_mixed_fleet(6)
        for named in ('', 'never-sent'):
            self.assertEqual(await fleet.find(1, named), UNKNOWN)

    async def test_another_workspace_finds_nothing(self):
        fleet = make_mixed_fleet(6)
        fleet.begin(0, 'id', 'old', workspace='acme')
        self.assertEqual(await fleet.find(1, 'id', workspace='vault'), UNKNOWN)
        found = await fleet.find(1, 'id', workspace='acme')
        self.assertIs(found.source, OriginSource.RECORD)

    async def test_only_version_needs_no_record(self):
        fleet = OriginFleet(6)
        fleet.list_upstream('a', OLD)
        await fleet.write_rows()
        for named in ('', 'never-sent'):
            found = await fleet.find(1, named)
            self.assertIs(found.source, OriginSource.ONLY_VERSION)
            self.assertEqual(found.origin.software_version, OLD)

    async def test_version_that_ended_counts_while_streams_may_be_resumed(
        self,
    ):
        fleet = OriginFleet(6)
        fleet.list_upstream('new', NEW)
        await fleet.write_rows()
        fleet.list_upstream('old', OLD)
        fleet.remove_upstream('old')
        fleet.clock.advance(LIFE_SECONDS - 1)
        self.assertEqual(await fleet.find(1, ''), UNKNOWN)
        fleet.clock.advance(2)
        found = await fleet.find(1, '')
        self.assertEqual(found.origin.software_version, NEW)

    async def test_draining_upstream_counts(self):
        fleet = OriginFleet(6)
        fleet.list_upstream('a', OLD, state='draining')
        fleet.list_upstream('b', NEW)
        self.assertEqual(await fleet.find(1, ''), UNKNOWN)

    async def test_upstream_of_an_unknown_version_counts(self):
        fleet = OriginFleet(6)
        fleet.list_upstream('a', OLD)
        fleet.list_upstream('b', '')
        self.assertEqual(await fleet.find(1, ''), UNKNOWN)

    async def test_route_to_several_services_tells_no_origin(self):
        fleet = OriginFleet(6)
        fleet.list_upstream('a', OLD)
        found = await fleet.routers[1].find('', '', [SERVICE, 't'])
        self.assertEqual(found, UNKNOWN)

    async def test_store_out_of_reach_tells_no_origin(self):
        fleet = OriginFleet(6)
        fleet.list_upstream('a', OLD)
        await fleet.write_rows()
        fleet.cut.add(1)
        self.assertEqual(await fleet.find(1, ''), UNKNOWN)

    async def test_versions_that_are_not_stored_tell_no_origin(self):
        fleet = OriginFleet(6)
        fleet.list_upstream('a', OLD)
        self.assertEqual(await fleet.find(1, ''), UNKNOWN)

    async def test_regression_new_version_unknown_to_a_router_without_a_store(
        self,
    ):
        for named, source in (
            ('id', OriginSource.OWNER),
            ('never-sent', OriginSource.UNKNOWN),
        ):
            with self.subTest(named):
                fleet = OriginFleet(60)
                fleet.list_upstream('old', OLD)
                await fleet.write_rows()
                asked = 59
                fleet.cut.add(asked)
                fleet.list_upstream('new', NEW)
                fleet.begin(0, 'id', 'new')
                fleet.gone.add(0)
                self.assertEqual(len(fleet.routers[asked]), 0)
                found = await fleet.find(asked, named)
                self.assertIs(found.source, source)

    async def test_regression_take_up_before_the_stored_versions_were_read(
        self,
    ):
        fleet = make_mixed_fleet(6)
        await fleet.write_rows()
        fleet.remove_upstream('old')
        for number in range(6):
            fleet.restart(number)
        fleet.list_upstream('new', NEW)
        self.assertEqual(await fleet.find(1, 'id'), UNKNOWN)

    async def test_regression_restored_row_lacks_a_version(self):
        fleet = OriginFleet(6)
        fleet.list_upstream('old', OLD)
        await fleet.write_rows()
        snapshot = fleet.rows.take_snapshot()
        fleet.clock.advance(5.0)
        fleet.list_upstream('new', NEW)
        await fleet.write_rows()
        fleet.rows.restore(snapshot)
        for number in range(6):
            fleet.restart(number)
        fleet.list_upstream('old', OLD)
        await fleet.read_rows()
        for _ in range(int(LIFE_SECONDS) - 2):
            await fleet.write_rows()
            self.assertEqual(await fleet.find(1, ''), UNKNOWN)
            fleet.clock.advance(1.0)
        for _ in range(5):
            await fleet.write_rows()
            fleet.clock.advance(1.0)
        found = await fleet.find(1, '')
        self.assertIs(found.source, OriginSource.ONLY_VERSION)


class TestRows(unittest.IsolatedAsyncioTestCase):
    async def _settle(self, fleet, seconds=5.0):
        """Let routers take their turns to write."""
        for _ in range(int(seconds)):
            await fleet.write_rows()
            fleet.clock.advance(1.0)

    async def _count_writes(self, fleet, seconds=5.0):
        before = fleet.rows.version
        await self._settle(fleet, seconds)
        return fleet.rows.version - before

    async def test_router_that_starts_knows_versions_that_ended(self):
        fleet = make_mixed_fleet(6)
        await self._settle(fleet)
        fleet.remove_upstream('old')
        for number in range(6):
            fleet.restart(number)
        fleet.list_upstream('new', NEW)
        await fleet.read_rows()
        self.assertEqual(await fleet.find(1, ''), UNKNOWN)

    async def test_router_that_starts_knows_that_there_was_one_version(self):
        fleet = OriginFleet(6)
        fleet.list_upstream('a', OLD)
        await self._settle(fleet)
        for number in range(6):
            fleet.restart(number)
        fleet.list_upstream('a', OLD)
        await fleet.read_rows()
        found = await fleet.find(1, '')
        self.assertIs(found.source, OriginSource.ONLY_VERSION)

    async def test_version_leaves_the_row_once_it_is_of_no_use(self):
        fleet = make_mixed_fleet(6)
        await self._settle(fleet)
        fleet.remove_upstream('old')
        await self._settle(fleet, LIFE_SECONDS - 3)
        self.assertEqual(await fleet.find(1, ''), UNKNOWN)
        await self._settle(fleet, LIFE_SECONDS + 10)
        found = await fleet.find(1, '')
        self.assertEqual(found.origin.software_version, NEW)

    async def test_release_takes_few_writes_in_a_large_fleet(self):
        fleet = OriginFleet(195)
        fleet.list_upstream('old', OLD)
        self.assertLessEqual(await self._count_writes(fleet), 2)
        fleet.list_upstream('new', NEW)
        self.assertLessEqual(await self._count_writes(fleet), 2)
        self.assertEqual(await self._count_writes(fleet), 0)

    async def test_row_is_written_though_its_first_writer_is_gone(self):
        for gone in range(6):
            fleet = make_mixed_fleet(6)
            fleet.gone.add(gone)
            await self._settle(fleet)
            rows = await fleet.rows.read_table(FLEET_TABLE)
            self.assertEqual(len(rows.rows), 1)

    async def test_row_that_a_restore_lost_is_written_again(self):
        fleet = OriginFleet(6)
        fleet.list_upstream('old', OLD)
        await self._settle(fleet)
        snapshot = fleet.rows.take_snapshot()
        fleet.list_upstream('new', NEW)
        await self._settle(fleet)
        fleet.rows.restore(snapshot)
        await self._settle(fleet)
        versions = fleet.routers[0]._rows.list_versions(SERVICE)
        self.assertEqual(versions, {OLD, NEW})
        fleet.restart(0)
        await fleet.read_rows()
        stored = fleet.routers[0].list_stored(SERVICE)
        self.assertEqual(stored, {OLD, NEW})

    async def test_row_of_the_release_before_is_completed(self):
        fleet = OriginFleet(6)
        fleet.list_upstream('old', OLD)
        earlier = b'{"versions":["%s"]}' % OLD.encode()
        fleet.rows.put(FLEET_TABLE, f'software/{SERVICE}', earlier)
        await fleet.read_rows()
        await self._settle(fleet)
        self.assertEqual(await fleet.find(1, ''), UNKNOWN)
        await self._settle(fleet, LIFE_SECONDS)
        found = await fleet.find(1, '')
        self.assertIs(found.source, OriginSource.ONLY_VERSION)

    async def test_invalid_row_is_refused(self):
        fleet = OriginFleet(1)
        fleet.list_upstream('old', OLD)
        await self._settle(fleet)
        fleet.rows.put(FLEET_TABLE, f'software/{SERVICE}', b'[]')
        with self.assertLogs('lifttrestle.intake', 'ERROR'):
            await fleet.read_rows()
        self.assertEqual(fleet.routers[0]._rows.list_versions(SERVICE), {OLD})


if __name__ == '__main__':
    unittest.main()
