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

"""Tells the other routers which upstreams have announced that they leave."""

from collections.abc import Callable

from lifttrestle.internal.fleet.state.departure_messages import DepartureUpdate
from lifttrestle.internal.fleet.state.departures import Departures
from lifttrestle.internal.fleet.state.repeated_updates import RepeatedUpdates
from lifttrestle.internal.fleet.state.roster import Roster

# Number of transmissions of each departure.
SEND_COUNT = 2
# A start takes up to 220 bytes, a message at most 8 KiB.
MAX_ITEMS = 30
Send = Callable[[DepartureUpdate, str], None]
Subscribe = Callable[[type, Callable[..., None]], None]


class DepartureNews:
    """Sends departures to all routers.

    Only the routers that received an answer of the upstream do so, so that a
    departure takes few messages at any size of the fleet.
    """

    def __init__(
        self, vm: str, departures: Departures, roster: Roster
    ) -> None:
        self._vm = vm
        self._departures = departures
        self._updates = RepeatedUpdates[str](
            lambda start: roster.list_others(),
            self._send_starts,
            SEND_COUNT,
            MAX_ITEMS,
        )
        self._send: Send = lambda message, key: None

    def connect(self, subscribe: Subscribe, send: Send) -> None:
        """Exchange messages with the other routers.

        :param subscribe: registers the handler of a message type.
        :param send: sends a message to the router whose table row has the
            key.
        """
        subscribe(DepartureUpdate, self.handle_update)
        self._send = send
        self._departures.on_announced = self.announce

    def announce(self, start: str) -> None:
        """Tell all routers that an upstream leaves."""
        self._updates.send_now(start)

    def handle_update(self, update: DepartureUpdate) -> None:
        """Apply what another router has learned."""
        for start in update.starts:
            self._departures.note_told(start)

    async def run(self) -> None:
        """Repeat updates until cancelled."""
        await self._updates.run()

    def _send_starts(self, starts: list[str], key: str) -> None:
        self._send(DepartureUpdate(self._vm, starts), key)
