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

"""Replicates crash records between routers.

The record of a request that is not yet known to be dangerous is sent to a few
routers, its owners, which rendezvous hashing of the digest selects, so that
the crashes that different routers saw are counted together. The record of a
dangerous request, or of one that no longer is, is sent to all routers.
"""

import asyncio
from collections.abc import Callable

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.crashes.ledger import CrashLedger
from lifttrestle.internal.fleet.crashes.messages import CrashUpdate
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import ROUTER_PREFIX
from lifttrestle.internal.routing.rendezvous import rank_names

# Number of routers that count the crashes of a request together. With 195
# routers in front of 59 engines with 24 slots, half of which crash, 5 owners
# receive 975 messages; sending to all routers would take 37,800.
OWNER_COUNT = 5
# Number of transmissions of each update, and the pause between them. A bad
# link loses 3 in 100 datagrams, so 27 in a million updates are lost.
SEND_COUNT = 3
RESEND_SECONDS = 0.4
# Maximum number of items in a message of at most 8 KiB, about 40 bytes each.
MAX_ITEMS = 60
# Maximum number of requests with pending updates.
MAX_PENDING = 2048
DIGEST_BYTES = 8
Send = Callable[[CrashUpdate, str], None]


class CrashReplicator:
    """Sends updates of crash records to other routers repeatedly.

    :ivar send: sends a message to the router whose table row has the key.
    """

    def __init__(
        self, vm: str, ledger: CrashLedger, roster: Roster, clock: Clock
    ) -> None:
        self._vm = vm
        self._ledger = ledger
        self._roster = roster
        self._clock = clock
        self._pending: dict[int, int] = {}
        self._queued = asyncio.Event()
        self.send: Send = lambda update, key: None

    def is_owner(self, digest: int) -> bool:
        """Return whether this router is an owner of a request."""
        return self._roster.key in choose_owners(digest, self._roster.routers)

    def queue_update(self, digest: int) -> None:
        """Queue an update on a request; it has the state at sending time."""
        if digest in self._pending or len(self._pending) < MAX_PENDING:
            self._pending[digest] = SEND_COUNT
            self._queued.set()

    def reply(self, vm: str, digests: list[int]) -> None:
        """Send the records of requests to one router."""
        items = [self._ledger.build_item(digest) for digest in digests]
        self.send(CrashUpdate(self._vm, items), f'{ROUTER_PREFIX}{vm}')

    async def run(self) -> None:
        """Send queued updates until cancelled."""
        while True:
            await self._queued.wait()
            # Batches the other requests that the same upstream has lost.
            await asyncio.sleep(0)
            self._queued.clear()
            self.send_pending()
            if not self._pending:
                continue
            try:
                async with asyncio.timeout(RESEND_SECONDS):
                    await self._queued.wait()
            except TimeoutError:
                self._queued.set()

    def send_pending(self) -> None:
        """Send the update of each pending request once."""
        by_receiver: dict[str, list[int]] = {}
        for digest in self._pending:
            for key in self._list_receivers(digest):
                by_receiver.setdefault(key, []).append(digest)
        for key, digests in by_receiver.items():
            for first in range(0, len(digests), MAX_ITEMS):
                part = digests[first : first + MAX_ITEMS]
                items = [self._ledger.build_item(digest) for digest in part]
                self.send(CrashUpdate(self._vm, items), key)
        self._pending = {
            digest: remaining - 1
            for digest, remaining in self._pending.items()
            if remaining > 1
        }

    def _list_receivers(self, digest: int) -> list[str]:
        others = self._roster.list_others()
        item = self._ledger.build_item(digest)
        if item.retracted or item.succeeded:
            return others
        if self._ledger.is_dangerous(digest):
            return others
        return choose_owners(digest, others)


def choose_owners(digest: int, routers: list[str]) -> list[str]:
    """Return the routers that count the crashes of a request."""
    if len(routers) <= OWNER_COUNT:
        return routers
    key_bytes = digest.to_bytes(DIGEST_BYTES, 'big')
    return rank_names(key_bytes, routers)[:OWNER_COUNT]
