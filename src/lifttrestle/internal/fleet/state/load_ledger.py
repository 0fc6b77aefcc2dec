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

"""What others have under way, kept in the figures of each upstream."""

from collections.abc import Callable
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.tell_pacing import REPORT_SECONDS
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.load_messages import UpstreamLoad


@dataclasses.dataclass(frozen=True)
class Told:
    """What one other router told last."""

    number: int
    loads: list[UpstreamLoad]
    at: float


class LoadLedger:
    """Adds up what was told last by each teller, while it is fresh.

    :param get_fresh_seconds: returns how long what is told counts.
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
        self._told: dict[str, Told] = {}
        # The loads that the upstreams' figures hold, by who told them.
        self._counted: dict[str, list[UpstreamLoad]] = {}
        self._summed_at = float('-inf')

    def update(
        self, teller: str, number: int, loads: list[UpstreamLoad]
    ) -> None:
        """Take in what was told, unless something newer overtook it."""
        now = self._clock.monotonic()
        held = self._told.get(teller)
        # After a restart a router counts anew; its old report is stale then.
        if held is not None and held.number > number:
            if now - held.at < self._get_fresh_seconds():
                return
        self._told[teller] = Told(number, loads, now)
        if now - self._summed_at >= REPORT_SECONDS:
            self.rebuild()
        else:
            self._replace(teller, loads)

    def reset(self, teller: str) -> None:
        """Believe the next thing that a teller says, whatever its number."""
        self._told.pop(teller, None)

    def rebuild(self) -> None:
        """Add up all that counts, and forget the rest."""
        self._summed_at = self._clock.monotonic()
        latest = self._summed_at - self._get_fresh_seconds()
        for upstream in self._directory:
            upstream.peers_in_flight = 0
            upstream.peers_unread = 0
        self._counted = {
            teller: told.loads
            for teller, told in self._told.items()
            if told.at >= latest
        }
        for loads in self._counted.values():
            self._add(loads, 1)

    def _replace(self, teller: str, loads: list[UpstreamLoad]) -> None:
        """Put loads in the place of the same router's last ones.

        To sum up anew at each report would cost the square of the routers.
        """
        self._add(self._counted.get(teller, []), -1)
        self._counted[teller] = loads
        self._add(loads, 1)

    def _add(self, loads: list[UpstreamLoad], sign: int) -> None:
        for load in loads:
            upstream = self._directory.get_by_digest(load.digest)
            if upstream is None:
                continue
            # An upstream that was forgotten and is back starts from zero; the
            # next sum is right again.
            running = upstream.peers_in_flight + sign * load.in_flight
            unread = upstream.peers_unread + sign * load.unread_tokens
            upstream.peers_in_flight = max(running, 0)
            upstream.peers_unread = max(unread, 0)
