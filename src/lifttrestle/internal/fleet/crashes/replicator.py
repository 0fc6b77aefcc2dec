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
the crashes that different routers saw are counted together. Those of prompt
parts all have the same owners. The record of a dangerous request or part, or
of one that no longer is, is sent to all routers.
"""

from collections.abc import Callable

from lifttrestle.internal.fleet.crashes.ledger import CrashLedger
from lifttrestle.internal.fleet.crashes.messages import CrashUpdate
from lifttrestle.internal.fleet.crashes.suspects import get_kind
from lifttrestle.internal.fleet.crashes.suspects import SuspectKind
from lifttrestle.internal.fleet.state.owners import choose_owners
from lifttrestle.internal.fleet.state.repeated_updates import RepeatedUpdates
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import ROUTER_PREFIX

# Number of transmissions of each update. A bad link loses 3 in 100 datagrams,
# so 27 in a million updates are lost.
SEND_COUNT = 3
# Maximum number of items in a message of at most 8 KiB, about 40 bytes each.
MAX_ITEMS = 60
# Selects the owners of the records of all parts.
PARTS_DIGEST = 0
Send = Callable[[CrashUpdate, str], None]


class CrashReplicator:
    """Sends updates of crash records to other routers repeatedly.

    :ivar send: sends a message to the router whose table row has the key.
    """

    def __init__(self, vm: str, ledger: CrashLedger, roster: Roster) -> None:
        self._vm = vm
        self._ledger = ledger
        self._roster = roster
        self._updates = RepeatedUpdates(
            self._list_receivers, self._send_records, SEND_COUNT, MAX_ITEMS
        )
        self.send: Send = lambda update, key: None

    def is_owner(self, digest: int) -> bool:
        """Return whether this router is an owner of a request."""
        owners = choose_owners(_get_owned(digest), self._roster.routers)
        return self._roster.key in owners

    def queue_update(self, digest: int) -> None:
        """Queue an update on a request; it has the state at sending time."""
        self._updates.queue(digest)

    def reply(self, vm: str, digests: list[int]) -> None:
        """Send the records of requests to one router."""
        self._send_records(digests, f'{ROUTER_PREFIX}{vm}')

    async def run(self) -> None:
        """Send queued updates until cancelled."""
        await self._updates.run()

    def send_pending(self) -> None:
        """Send the update of each pending request once."""
        self._updates.send_pending()

    def _send_records(self, digests: list[int], key: str) -> None:
        items = [self._ledger.build_item(digest) for digest in digests]
        self.send(CrashUpdate(self._vm, items), key)

    def _list_receivers(self, digest: int) -> list[str]:
        others = self._roster.list_others()
        item = self._ledger.build_item(digest)
        if item.retracted or item.succeeded:
            return others
        if self._ledger.is_dangerous(digest):
            return others
        return choose_owners(_get_owned(digest), others)


def _get_owned(digest: int) -> int:
    """Return the digest that selects the owners of a record.

    All parts have the same owners, since they are judged against each other.
    """
    is_request = get_kind(digest) is SuspectKind.REQUEST
    return digest if is_request else PARTS_DIGEST
