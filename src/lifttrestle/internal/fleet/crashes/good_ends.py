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

"""Good ends of requests that other routers have stored crashes of.

A good end counts for a request after a restart only if it is stored, and any
router may be the only one that has seen it. Those that have take turns, so
that few tell it: the first message ends the turns of the others.
"""

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.digests import RECORD_DIGEST_BYTES
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.routing.rendezvous import rank_names

# How long each router waits for the one before it.
TURN_SECONDS = 0.1
# Maximum number of requests to tell of.
MAX_DUE = 4096


class GoodEnds:
    """Good ends that this router is to tell, unless another one does."""

    def __init__(self, roster: Roster, clock: Clock) -> None:
        self._roster = roster
        self._clock = clock
        # When each is to be told, monotonic seconds by digest.
        self._due: dict[int, float] = {}

    def note(self, digest: int) -> None:
        """Record a request whose good end this router alone may know."""
        if digest in self._due or len(self._due) >= MAX_DUE:
            return
        key_bytes = digest.to_bytes(RECORD_DIGEST_BYTES, 'big')
        ranked = rank_names(key_bytes, self._roster.routers)
        turn = ranked.index(self._roster.key) * TURN_SECONDS
        self._due[digest] = self._clock.monotonic() + turn

    def note_told(self, digest: int) -> None:
        """Record that another router has told the good end of a request."""
        self._due.pop(digest, None)

    def take_due(self) -> list[int]:
        """Return the requests to tell of now; each is returned once."""
        now = self._clock.monotonic()
        due = [digest for digest, at in self._due.items() if at <= now]
        for digest in due:
            del self._due[digest]
        return due
