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

"""Live routers of this data centre, by the messages received from them."""

import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.membership.member import Member

PEER_TIMEOUT_SECONDS = 5.0


@dataclasses.dataclass
class Peer:
    """A router and the time of the last message from it."""

    member: Member
    last_received_at: float
    leaving: bool = False


class Peers:
    """Tracks the routers that share the limits of a data centre."""

    def __init__(self, clock: Clock, own_instance: str) -> None:
        self._clock = clock
        self._own_instance = own_instance
        self._peers: dict[str, Peer] = {}

    def update(self, member: Member, leaving: bool) -> None:
        """Record a message that was received from a router."""
        if member.instance == self._own_instance:
            return
        now = self._clock.monotonic()
        self._peers[member.instance] = Peer(member, now, leaving)

    def count_live(self) -> int:
        """Return the number of live routers, this one included.

        Routers that are leaving do not count, as they take no new share of
        the limits.
        """
        self._drop_silent()
        staying = [peer for peer in self._peers.values() if not peer.leaving]
        return 1 + len(staying)

    def list_addresses(self) -> list[str]:
        """Return the addresses of the live peers."""
        self._drop_silent()
        return [peer.member.peers for peer in self._peers.values()]

    def _drop_silent(self) -> None:
        oldest = self._clock.monotonic() - PEER_TIMEOUT_SECONDS
        silent = [
            instance
            for instance, peer in self._peers.items()
            if peer.last_received_at < oldest
        ]
        for instance in silent:
            del self._peers[instance]
