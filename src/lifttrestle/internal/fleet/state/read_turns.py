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

"""Decides when a watch of a table may read the store.

Routers that read a late store again and again keep it late. So reads of a
table are few while they are not answered, and those of the operator's table,
without which a router may serve nobody, go first.
"""

from abc import ABC
from abc import abstractmethod
import asyncio

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.late_reads import LateReads

# With the next read, twice as many calls as in time: that shows whether only
# the connection of the late one is silent.
MAX_LATE_READS = 1
# A router whose configuration is older will soon serve nobody, whatever else
# it knows.
LEADER_AGE_SECONDS = 3.0
LEADER_POLL_SECONDS = 0.1


class ReadLeader(ABC):
    """A watch whose reads go before those of others."""

    @property
    @abstractmethod
    def lost(self) -> bool:
        """Return whether its last read failed or is late."""

    @abstractmethod
    def get_age(self) -> float:
        """Return the seconds since its copy was known to be current."""


class ReadTurns:
    """The turns of one watch.

    :param eager: whether the first read needs no direct reads.
    :ivar direct: whether the store is read; otherwise relays are followed.
    :ivar late: the reads that are late.
    :ivar leader: the watch whose reads go before, None for the first one.
    """

    def __init__(self, table: str, clock: Clock, *, eager: bool) -> None:
        self._clock = clock
        self._eager = eager
        self.direct = asyncio.Event()
        if eager:
            self.direct.set()
        self.late = LateReads(table)
        self.leader: ReadLeader | None = None

    async def wait(self) -> None:
        """Wait until the next read may be sent."""
        while True:
            if not self._eager:
                await self.direct.wait()
            leads = self.leader is None or not self.leader.lost
            await self.late.wait_for_room(MAX_LATE_READS if leads else 0)
            if self._is_leader_outdated():
                await self._clock.sleep(LEADER_POLL_SECONDS)
            elif self._eager or self.direct.is_set():
                return

    def note_loaded(self) -> None:
        """Record that the whole table has been read."""
        self._eager = False

    def _is_leader_outdated(self) -> bool:
        leader = self.leader
        return (
            leader is not None
            and leader.lost
            and leader.get_age() > LEADER_AGE_SECONDS
        )
