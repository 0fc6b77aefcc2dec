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

"""Upstreams that have announced in an answer that they leave.

That holds for a start of an upstream until it is gone, whatever its entry in
the store says: the entry may be older than the answer, or lapse and return.
"""

import collections
from collections.abc import Callable
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.reach import NEVER
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('upstreams')
# Maximum number of starts that are remembered, about 300 bytes each.
MAX_DEPARTURES = 2000


def _ignore(start: str) -> None:
    """Do nothing; the default callback."""


@dataclasses.dataclass
class Departure:
    """Whether one start of an upstream is known to leave.

    :ivar since: when this router learned it first, monotonic seconds.
    :ivar on_announced: called with the start when an answer announces it.
    """

    start: str = ''
    on_announced: Callable[[str], None] = _ignore
    since: float = NEVER

    @property
    def has_begun(self) -> bool:
        """Return whether the upstream leaves."""
        return self.since != NEVER

    def note_announced(self, now: float) -> None:
        """Record that an answer of the upstream announced it."""
        if self.note_told(now):
            self.on_announced(self.start)

    def note_told(self, now: float) -> bool:
        """Record it as told by another router; return whether it is new."""
        if self.has_begun:
            return False
        self.since = now
        LOG.info('upstream.leaving', start=self.start)
        return True


class Departures:
    """Remembers which starts leave, also while their entry is missing.

    :ivar on_announced: called with a start when an answer announces it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._departures: collections.OrderedDict[str, Departure] = (
            collections.OrderedDict()
        )
        self.on_announced: Callable[[str], None] = _ignore

    def get(self, start: str) -> Departure:
        """Return the departure of a start, which may not have begun."""
        departure = self._departures.get(start)
        if departure is None:
            departure = Departure(start, self._announce)
            self._departures[start] = departure
        return departure

    def note_told(self, start: str) -> None:
        """Record that another router knows of the departure of a start."""
        self.get(start).note_told(self._clock.monotonic())
        self._remove_oldest()

    def note_ended(self, start: str) -> None:
        """Forget a start that is no longer listed, unless it leaves."""
        departure = self._departures.get(start)
        if departure is not None and not departure.has_begun:
            del self._departures[start]
        self._remove_oldest()

    def _announce(self, start: str) -> None:
        self.on_announced(start)

    def _remove_oldest(self) -> None:
        """Remove the oldest departures beyond the limit."""
        begun = [
            start
            for start, departure in self._departures.items()
            if departure.has_begun
        ]
        for start in begun[: max(len(begun) - MAX_DEPARTURES, 0)]:
            del self._departures[start]
