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

"""Tests of the exchange with other routers of a data centre."""

import random
import types
from typing import Any
import unittest
from unittest import mock

from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.keys import ItemKind
from lifttrestle.internal.membership.exchange import PeerExchange
from lifttrestle.internal.membership.messages import Reply
from lifttrestle.internal.membership.peers import Peers


class TestNewerPeer(unittest.IsolatedAsyncioTestCase):
    async def test_regression_item_with_an_unknown_field_ended_the_exchange(
        self,
    ) -> None:
        # As from a router of a later release.
        body: dict[str, object] = {'name': 'a', 'unknown': 1}
        reply = Reply(
            member=mock.Mock(),
            revision=4,
            registered=True,
            document=(Change(ItemKind.WORKSPACE, 'a', body),),
        )
        keeper: Any = mock.Mock()
        keeper.platform_status.members.routers = ()
        peers: Any = mock.Mock(spec=Peers)
        peers.list_addresses.return_value = ('b:1', 'c:1')
        member: Any = types.SimpleNamespace(peers='a:1', data_centre='x')
        exchange = PeerExchange(
            member, keeper, peers, mock.Mock(), (), random.Random(1)
        )
        greeted = []

        async def greet(address: str) -> Reply:
            greeted.append(address)
            return reply

        with (
            mock.patch.object(exchange, '_greet', greet),
            self.assertLogs('lifttrestle.peers', 'WARNING') as logs,
        ):
            await exchange.greet_random_peers(0.0)
        self.assertEqual(sorted(greeted), ['b:1', 'c:1'])
        self.assertEqual(len(logs.records), 2)
        keeper.apply_document.assert_not_called()


if __name__ == '__main__':
    unittest.main()
