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

"""The live routers of this data centre, as this one has heard of them."""

import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.membership.member import Member

SILENT_SECONDS = 5.0


@dataclasses.dataclass
class Peer:
    """A router that was heard, and when."""

    member: Member
    heard_at: float
    leaving: bool = False


class Peers:
    """Counts the routers among which a data centre's limits are shared."""

    def __init__(self, clock: Clock, own_instance: str) -> None:
        self._clock = clock
        self._own = own_instance
        self._peers: dict[str, Peer] = {}

    def note(self, member: Member, leaving: bool) -> None:
        """Note that a router was heard."""
        if member.instance == self._own:
            return
        now = self._clock.monotonic()
        self._peers[member.instance] = Peer(member, now, leaving)

    def count_live(self) -> int:
        """Return the number of live routers, this one included."""
        self._drop_silent()
        staying = [peer for peer in self._peers.values() if not peer.leaving]
        return 1 + len(staying)

    def list_addresses(self) -> list[str]:
        """Return the addresses of the routers heard lately."""
        self._drop_silent()
        return [peer.member.peers for peer in self._peers.values()]

    def _drop_silent(self) -> None:
        oldest = self._clock.monotonic() - SILENT_SECONDS
        silent = [
            instance
            for instance, peer in self._peers.items()
            if peer.heard_at < oldest
        ]
        for instance in silent:
            del self._peers[instance]
