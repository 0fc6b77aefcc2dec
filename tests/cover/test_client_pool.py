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

"""Tests of which idle connection a request gets."""

import datetime
import unittest

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.http.connection_opener import ConnectionOpener
from lifttrestle.internal.http.request_tags import MAX_TAGS

ADDRESS = Address('127.0.0.1', 9)
START = datetime.datetime(2026, 12, 5, tzinfo=datetime.timezone.utc)


class IdleStream:
    """A stream on which nothing arrives."""

    is_idle = True

    def abort(self) -> None:
        """Do nothing."""


class CountingOpener(ConnectionOpener):
    """Opens connections over such streams.

    :ivar opened: how many.
    """

    opened = 0

    async def open(self) -> ClientConnection:
        """Return a new connection."""
        self.opened += 1
        return ClientConnection(ADDRESS, IdleStream())

    def may_reuse(self, connection: ClientConnection) -> bool:
        """Return that any connection may be reused."""
        return True


class TestTags(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.pool = ClientPool(ADDRESS, ManualClock(START), 1.0)
        self.opener = self.pool.opener = CountingOpener()

    async def _use(self, tag):
        connection = await self.pool.take(tag=tag)
        self.pool.give_back(connection)
        return connection

    async def test_no_connection_carries_a_tag_twice(self):
        first = await self._use('a')
        second = await self._use('a')
        self.assertIsNot(first, second)
        self.assertIsNot(await self._use('a'), second)
        self.assertEqual(self.opener.opened, 3)

    async def test_connections_that_carried_the_tag_stay_idle(self):
        first = await self._use('a')
        await self._use('a')
        self.assertEqual(self.opener.opened, 2)
        taken = [await self.pool.take(tag='b') for _ in range(2)]
        self.assertIn(first, taken)
        self.assertEqual(self.opener.opened, 2)

    async def test_connection_is_reused_for_other_requests(self):
        for number in range(MAX_TAGS):
            await self._use(f'r{number}')
        self.assertEqual(self.opener.opened, 1)

    async def test_connection_that_can_remember_no_more_is_not_reused(self):
        for number in range(MAX_TAGS + 1):
            await self._use(f'r{number}')
        self.assertEqual(self.opener.opened, 2)


if __name__ == '__main__':
    unittest.main()
