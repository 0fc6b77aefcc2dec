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

"""How long the requests of one route last, from their arrival to their end.

What a request asks for does not tell: streams that all asked for 955 tokens at
the most had 5 to 190 events and took 0.3 to 14 s, by what they had to say and
how busy their engine was.
"""

import collections

# The longest of so many tells what one in a hundred may take.
MAX_ENDED = 100
# Fewer tell nothing of the longest.
MIN_KNOWN = 8


class RouteDurations:
    """The latest requests of one route, at one service."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._ended: collections.deque[float] = collections.deque(
            maxlen=MAX_ENDED
        )
        # In the order in which they began, so that the first is the oldest.
        self._running: dict[int, float] = {}

    def note_begun(self, ticket: int, started: float) -> None:
        """Note a request that arrived at ``started``, monotonic seconds."""
        if self._since is None:
            self._since = started
        self._running[ticket] = started

    def note_ended(self, ticket: int, now: float, *, complete: bool) -> None:
        """Note its end.

        :param complete: it was answered to its end. One that was turned away,
            lost or left by its caller would have lasted longer: it may tell
            of a longer one, but must not hide those that are known.
        """
        age = now - self._running.pop(ticket)
        if complete or age > max(self._ended, default=0.0):
            self._ended.append(age)

    def find_longest(self, now: float, limit: float) -> float | None:
        """Return the seconds of the longest, None if they can't be known yet.

        Those that run are no shorter than they are old. A router that has
        served the route for a few seconds has seen the short ones end only.

        :param limit: seconds after which a request is given up.
        """
        if self._since is None or now - self._since < limit:
            return None
        if len(self._ended) + len(self._running) < MIN_KNOWN:
            return None
        oldest = next(iter(self._running.values()), now)
        return max(now - oldest, max(self._ended, default=0.0))
