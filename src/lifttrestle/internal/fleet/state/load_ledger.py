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

"""Loads of the other routers, summed at each upstream."""

from collections.abc import Callable
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.report_pacing import REPORT_SECONDS
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.load_messages import UpstreamLoad


@dataclasses.dataclass(frozen=True)
class ReceivedLoads:
    """Last report of one other router."""

    number: int
    loads: list[UpstreamLoad]
    received_at: float


class LoadLedger:
    """Sums the last report of each sender while it is fresh.

    The sums are kept in ``peers_in_flight`` and ``peers_unread`` of each
    upstream.

    :param get_fresh_seconds: returns how many seconds a report is fresh.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        clock: Clock,
        get_fresh_seconds: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._get_fresh_seconds = get_fresh_seconds
        self._received: dict[str, ReceivedLoads] = {}
        # By sender, the loads that are part of the sums.
        self._included: dict[str, list[UpstreamLoad]] = {}
        self._rebuilt_at = float('-inf')

    def update(
        self, sender: str, number: int, loads: list[UpstreamLoad]
    ) -> None:
        """Apply a report unless a newer one has already arrived."""
        now = self._clock.monotonic()
        previous = self._received.get(sender)
        # A restarted router numbers its reports from one again; the last
        # report from before the restart is stale by then.
        if previous is not None and previous.number > number:
            if now - previous.received_at < self._get_fresh_seconds():
                return
        self._received[sender] = ReceivedLoads(number, loads, now)
        if now - self._rebuilt_at >= REPORT_SECONDS:
            self.rebuild()
        else:
            self._replace(sender, loads)

    def reset(self, sender: str) -> None:
        """Accept the next report of a sender regardless of its number."""
        self._received.pop(sender, None)

    def rebuild(self) -> None:
        """Compute the sums from all fresh reports."""
        self._rebuilt_at = self._clock.monotonic()
        latest = self._rebuilt_at - self._get_fresh_seconds()
        for upstream in self._directory:
            upstream.peers_in_flight = 0
            upstream.peers_unread = 0
        self._included = {
            sender: received.loads
            for sender, received in self._received.items()
            if received.received_at >= latest
        }
        for loads in self._included.values():
            self._add(loads, 1)

    def _replace(self, sender: str, loads: list[UpstreamLoad]) -> None:
        """Replace the loads of a sender in the sums.

        Rebuilding the sums at each report would be quadratic in the number of
        routers.
        """
        self._add(self._included.get(sender, []), -1)
        self._included[sender] = loads
        self._add(loads, 1)

    def _add(self, loads: list[UpstreamLoad], sign: int) -> None:
        for load in loads:
            upstream = self._directory.get_by_digest(load.digest)
            if upstream is None:
                continue
            # The sums of an upstream that was removed and added again start
            # from zero. The next rebuild corrects them.
            in_flight = upstream.peers_in_flight + sign * load.in_flight
            unread = upstream.peers_unread + sign * load.unread_tokens
            upstream.peers_in_flight = max(in_flight, 0)
            upstream.peers_unread = max(unread, 0)
