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

"""Whether an address accepts connections, as far as this router knows."""

import dataclasses

NEVER = float('-inf')
# Interval between probes of an address that is unreachable or silent, or has
# broken off an answer. Requests are sent to it again within half a second of
# the end of a network partition. A partition of five seconds costs about ten
# connections per address and router.
PROBE_SECONDS = 0.4
# Minimum interval between probes of an address that accepts connections but is
# suspected: late answers also have other causes than a network partition.
SUSPECT_SECONDS = 1.0


@dataclasses.dataclass
class Reachability:
    """The reachability of one address.

    An address counts as reachable until a connection fails, and then as
    unreachable until one succeeds, so that no caller's request is used as a
    probe.

    :ivar suspected: whether it may be unreachable and has to be probed.
    :ivar connection_lost: whether it broke off an answer and has not been
        probed since.
    :ivar unreachable_since: monotonic time of the first failure since the last
        success, or None.
    :ivar probed_at: monotonic time of the last probe.
    :ivar reached_at: monotonic time of its last connection or answer.
    """

    unreachable_since: float | None = None
    suspected: bool = False
    connection_lost: bool = False
    probed_at: float = NEVER
    reached_at: float = NEVER

    @property
    def unreachable(self) -> bool:
        """Return whether the last connection failed."""
        return self.unreachable_since is not None

    def note_reachable(self, now: float) -> None:
        """Record that it accepted a connection."""
        self.unreachable_since = None
        self.note_received(now)

    def note_received(self, now: float) -> None:
        """Record an answer, which does not prove that it accepts connections.

        Connections may live on while new ones fail.
        """
        self.suspected = False
        self.connection_lost = False
        self.reached_at = now

    def note_unreachable(self, now: float) -> None:
        """Record that it accepted no connection."""
        if not self.unreachable:
            self.unreachable_since = now
        self.connection_lost = False

    def note_connection_lost(self) -> None:
        """Record that it broke off an answer; it is probed soon."""
        self.connection_lost = True

    def suspect(self) -> None:
        """Schedule a probe; the address stays in use until that fails."""
        self.suspected = True

    def is_due(self, now: float, *, silent: bool = False) -> bool:
        """Return whether a probe is due.

        :param silent: whether it has pending answers and sends nothing.
        """
        since = now - self.probed_at
        if self.unreachable or silent or self.connection_lost:
            return since >= PROBE_SECONDS
        since_reached = now - self.reached_at
        return self.suspected and min(since, since_reached) >= SUSPECT_SECONDS
