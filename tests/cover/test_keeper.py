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

"""Tests of the configuration keeper with controlled table calls."""

import asyncio
import unittest

from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.keeper import ConfigurationKeeper
from lifttrestle.internal.configuration.model import Service
from lifttrestle.internal.configuration.store import ConfigurationStore
from lifttrestle.internal.membership.member import Member
from lifttrestle.internal.membership.sponsorship import Sponsorship
from tests.support.gated_table import Fate
from tests.support.gated_table import Gate
from tests.support.gated_table import GatedTable
from tests.support.gated_table import settle_loop

NEWER = Document(services={'x': Service('x', 'g')})


class TestKeeper(unittest.IsolatedAsyncioTestCase):
    async def test_regression_slow_first_read_keeps_newer_revision(
        self,
    ) -> None:
        # Guards against a slow first read of the table that returns revision
        # 0 and replaces revision 1 that a peer has sent during the read.
        gate = Gate()
        store = ConfigurationStore(GatedTable(gate, 'one'), None)
        member = Member('one', 'r', 'vm', 'silom', '-')
        keeper = ConfigurationKeeper(store, member, 1.0, Sponsorship())
        poll = asyncio.create_task(keeper.poll())
        await settle_loop()
        while not poll.done():
            for call in list(gate.calls):
                await gate.decide(call, Fate.ANSWERED)
            # The peer sends it after each answer, and so also after the last
            # one, which the keeper processes only when the loop settles.
            if gate.scans:
                keeper.apply_document(1, NEWER, None)
            await settle_loop()
        self.assertEqual(keeper.view.revision, 1)


if __name__ == '__main__':
    unittest.main()
