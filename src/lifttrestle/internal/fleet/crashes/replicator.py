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

"""Tells other routers what upstreams did under requests.

What is not yet known to be dangerous is told to a few routers that the digest
of the request chooses, so that what several routers saw is counted together
somewhere; what is, and what is none any more, is told to all.
"""

import asyncio
from collections.abc import Callable

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.crashes.ledger import CrashLedger
from lifttrestle.internal.fleet.crashes.messages import CrashUpdate
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import ROUTER_PREFIX
from lifttrestle.internal.routing.rendezvous import rank_names

# Routers that count a request's crashes together. With 195 routers before 59
# engines of 24 slots, half of which crash, 5 are told 975 messages where all
# would be told 37,800.
COUNTERS = 5
# The same is told so often, with this pause between: 3 in 100 datagrams are
# lost on a bad link, and 27 in a million of such threes.
TELLS = 3
TELL_SECONDS = 0.4
# Items of one message: some 40 bytes each, of at most 8 KiB.
MAX_ITEMS = 60
# Requests that wait to be told of.
MAX_WAITING = 2048
DIGEST_BYTES = 8
Send = Callable[[CrashUpdate, str], None]


class CrashReplicator:
    """Tells what is new, and tells it again.

    :ivar send: sends a message to the router with a key.
    """

    def __init__(
        self, vm: str, ledger: CrashLedger, roster: Roster, clock: Clock
    ) -> None:
        self._vm = vm
        self._ledger = ledger
        self._roster = roster
        self._clock = clock
        self._waiting: dict[int, int] = {}
        self._new = asyncio.Event()
        self.send: Send = lambda news, key: None

    def is_counter(self, digest: int) -> bool:
        """Return whether this router is one of those that count a request."""
        return self._roster.key in choose_counters(
            digest, self._roster.routers
        )

    def tell(self, digest: int) -> None:
        """Tell of a request soon, as it is then."""
        if digest in self._waiting or len(self._waiting) < MAX_WAITING:
            self._waiting[digest] = TELLS
            self._new.set()

    def reply(self, vm: str, digests: list[int]) -> None:
        """Tell one router of requests that it should know more of."""
        items = [self._ledger.build_item(digest) for digest in digests]
        self.send(CrashUpdate(self._vm, items), f'{ROUTER_PREFIX}{vm}')

    async def run(self) -> None:
        """Tell what is new, for ever."""
        while True:
            await self._new.wait()
            # What else is lost with the same upstream is told together.
            await asyncio.sleep(0)
            self._new.clear()
            self.tell_waiting()
            if not self._waiting:
                continue
            try:
                async with asyncio.timeout(TELL_SECONDS):
                    await self._new.wait()
            except TimeoutError:
                self._new.set()

    def tell_waiting(self) -> None:
        """Tell of each request that waits, once."""
        told: dict[str, list[int]] = {}
        for digest in self._waiting:
            for key in self._list_hearers(digest):
                told.setdefault(key, []).append(digest)
        for key, digests in told.items():
            for first in range(0, len(digests), MAX_ITEMS):
                part = digests[first : first + MAX_ITEMS]
                items = [self._ledger.build_item(digest) for digest in part]
                self.send(CrashUpdate(self._vm, items), key)
        self._waiting = {
            digest: left - 1
            for digest, left in self._waiting.items()
            if left > 1
        }

    def _list_hearers(self, digest: int) -> list[str]:
        others = self._roster.list_others()
        item = self._ledger.build_item(digest)
        if item.forgiven or item.ended_well:
            return others
        if self._ledger.is_dangerous(digest):
            return others
        return choose_counters(digest, others)


def choose_counters(digest: int, routers: list[str]) -> list[str]:
    """Return the routers that count a request's crashes together."""
    if len(routers) <= COUNTERS:
        return routers
    number = digest.to_bytes(DIGEST_BYTES, 'big')
    return rank_names(number, routers)[:COUNTERS]
