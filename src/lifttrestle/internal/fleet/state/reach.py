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

"""Whether an address takes connections, as far as this router knows."""

import dataclasses

NEVER = float('-inf')
# One that is in doubt, or can't be reached, is tried again after this long. A
# cut of five seconds then ends for callers within half a second of its end,
# and costs some ten connections an address and router.
PROBE_SECONDS = 0.4
# One that takes connections and was suspected is not tried again sooner: late
# answers have other causes than a cut too.
SUSPECT_SECONDS = 1.0


@dataclasses.dataclass
class Reachability:
    """What is known of one address.

    It is believed to be reachable until a connection fails, and then not
    until one succeeds: no caller's request is spent on finding out.

    :ivar unreached: the last connection failed.
    :ivar suspected: there are signs that it can't be reached.
    :ivar lost: it broke an answer off, and nobody looked since whether it is
        still there.
    :ivar probed_at: when a connection was last tried for its own sake.
    :ivar reached_at: when it last took a connection, or answered.
    """

    unreachable: bool = False
    suspected: bool = False
    lost: bool = False
    probed_at: float = NEVER
    reached_at: float = NEVER

    def note_reachable(self, now: float) -> None:
        """Note that it took a connection, or answered."""
        self.unreachable = False
        self.suspected = False
        self.lost = False
        self.reached_at = now

    def note_unreachable(self) -> None:
        """Note that it took no connection."""
        self.unreachable = True
        self.lost = False

    def note_connection_lost(self) -> None:
        """Note that it broke an answer off; it is probed at once."""
        self.lost = True

    def suspect(self) -> None:
        """Have it probed soon; it is used until that fails."""
        self.suspected = True

    def is_due(self, now: float, *, silent: bool = False) -> bool:
        """Return whether it is to be probed now.

        :param silent: it owes answers and sends nothing.
        """
        since = now - self.probed_at
        if self.unreachable or silent or self.lost:
            return since >= PROBE_SECONDS
        known_since = now - self.reached_at
        return self.suspected and min(since, known_since) >= SUSPECT_SECONDS
