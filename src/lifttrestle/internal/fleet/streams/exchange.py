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

"""Replicates what began each stream, and finds it at other routers.

The router that a caller resumes a stream at may not be the one that began it,
which may be gone. So each record is sent to a few routers, its owners, before
the first event leaves; a router that does not have a record asks them.
"""

import asyncio
from collections.abc import Callable

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.owners import choose_owners
from lifttrestle.internal.fleet.state.pending_queries import PendingQueries
from lifttrestle.internal.fleet.state.repeated_updates import RepeatedUpdates
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import ROUTER_PREFIX
from lifttrestle.internal.fleet.streams.ledger import OriginLedger
from lifttrestle.internal.fleet.streams.messages import OriginAnswer
from lifttrestle.internal.fleet.streams.messages import OriginItem
from lifttrestle.internal.fleet.streams.messages import OriginQuery
from lifttrestle.internal.fleet.streams.messages import OriginUpdate
from lifttrestle.internal.fleet.streams.origin import StreamOrigin

# Number of transmissions of each record.
SEND_COUNT = 2
# An item takes up to 430 bytes, a message at most 8 KiB.
MAX_ITEMS = 18
Message = OriginUpdate | OriginQuery | OriginAnswer
Send = Callable[[Message, str], None]
Subscribe = Callable[[type, Callable[..., None]], None]


class OriginExchange:
    """Sends records to their owners, and asks owners for records.

    :ivar send: sends a message to the router whose table row has the key.
    """

    def __init__(
        self, vm: str, ledger: OriginLedger, roster: Roster, clock: Clock
    ) -> None:
        self._vm = vm
        self._ledger = ledger
        self._roster = roster
        self._updates = RepeatedUpdates(
            self._list_owners, self._send_records, SEND_COUNT, MAX_ITEMS
        )
        self._queries: PendingQueries[OriginAnswer] = PendingQueries(clock)
        self.send: Send = lambda message, key: None

    def connect(self, subscribe: Subscribe, send: Send) -> None:
        """Exchange messages with the other routers.

        :param subscribe: registers the handler of a message type.
        """
        subscribe(OriginUpdate, self.handle_update)
        subscribe(OriginQuery, self.handle_query)
        subscribe(OriginAnswer, self._queries.resolve)
        self.send = send

    def record(self, digest: int, origin: StreamOrigin) -> None:
        """Record what began a stream, here and at the owners."""
        self._ledger.put(digest, origin)
        self._updates.send_now(digest)

    async def ask(self, digest: int) -> StreamOrigin | None:
        """Return what the owners know of a stream, None if it is nothing."""
        questions = [
            asyncio.create_task(self._ask_owner(digest, key))
            for key in self._list_owners(digest)
        ]
        try:
            for answered in asyncio.as_completed(questions):
                origin = await answered
                if origin is not None:
                    return origin
        finally:
            for question in questions:
                question.cancel()
        return None

    async def run(self) -> None:
        """Repeat updates until cancelled."""
        await self._updates.run()

    def send_pending(self) -> None:
        """Repeat each pending update once."""
        self._updates.send_pending()

    def handle_update(self, update: OriginUpdate) -> None:
        """Keep the records that another router has sent."""
        for item in update.items:
            self._ledger.put(item.digest, _read_item(item))

    def handle_query(self, query: OriginQuery) -> None:
        """Answer the query of another router."""
        item = self._build_item(query.digest)
        self.send(
            OriginAnswer(self._vm, query.number, item),
            f'{ROUTER_PREFIX}{query.vm}',
        )

    async def _ask_owner(self, digest: int, key: str) -> StreamOrigin | None:
        number = self._queries.register()
        self.send(OriginQuery(self._vm, number, digest), key)
        answer = await self._queries.wait(number)
        if answer is None or answer.item is None:
            return None
        return _read_item(answer.item)

    def _list_owners(self, digest: int) -> list[str]:
        return choose_owners(digest, self._roster.list_others())

    def _send_records(self, digests: list[int], key: str) -> None:
        items = [
            item
            for digest in digests
            if (item := self._build_item(digest)) is not None
        ]
        if items:
            self.send(OriginUpdate(self._vm, items), key)

    def _build_item(self, digest: int) -> OriginItem | None:
        origin = self._ledger.get(digest)
        if origin is None:
            return None
        return OriginItem(
            digest, origin.service, origin.software_version, origin.start
        )


def _read_item(item: OriginItem) -> StreamOrigin:
    return StreamOrigin(item.service, item.software_version, item.start)
