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

"""Tells routers of pauses that upstreams ask for in what they forward.

An upstream that answers through a tunnel asks the router that forwards it for
the pause, and that router does not read what it forwards.
"""

from collections.abc import Callable
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.pause_messages import PauseUpdate
from lifttrestle.internal.fleet.state.pause_messages import RequestedPause
from lifttrestle.internal.fleet.state.repeated_updates import RepeatedUpdates

SEND_COUNT = 2
MAX_ITEMS = 20
MILLISECONDS = 1000
Send = Callable[[PauseUpdate, str], None]
Subscribe = Callable[[type, Callable[..., None]], None]


def _ignore(start: str) -> None:
    """Do nothing; the default callback."""


@dataclasses.dataclass(frozen=True)
class ForwardedPause:
    """A pause that a start asked for through another router.

    :ivar via: key of that router.
    """

    via: str
    start: str


class PauseNews:
    """Sends pauses to the routers that forwarded them.

    :ivar on_told: called with a start whose pause another router has told.
    """

    def __init__(
        self, vm: str, directory: UpstreamDirectory, clock: Clock
    ) -> None:
        self._vm = vm
        self._directory = directory
        self._clock = clock
        self._updates = RepeatedUpdates[ForwardedPause](
            lambda pause: [pause.via],
            self._send_pauses,
            SEND_COUNT,
            MAX_ITEMS,
        )
        self._send: Send = lambda message, key: None
        self.on_told = _ignore

    def connect(self, subscribe: Subscribe, send: Send) -> None:
        """Exchange messages with the other routers.

        :param subscribe: registers the handler of a message type.
        :param send: sends a message to the router whose table row has the
            key.
        """
        subscribe(PauseUpdate, self.handle_update)
        self._send = send

    def tell(self, via: str, start: str) -> None:
        """Tell a router of a pause that it has forwarded.

        :param via: key of the router.
        """
        self._updates.send_now(ForwardedPause(via, start))

    def handle_update(self, update: PauseUpdate) -> None:
        """Apply the pauses that this router has forwarded."""
        now = self._clock.monotonic()
        for pause in update.pauses:
            upstream = self._directory.get_start(pause.start)
            if upstream is None:
                continue
            seconds = pause.milliseconds / MILLISECONDS
            upstream.rejections.note_requested(seconds, now)
            self.on_told(pause.start)

    async def run(self) -> None:
        """Repeat updates until cancelled."""
        await self._updates.run()

    def _send_pauses(self, forwarded: list[ForwardedPause], key: str) -> None:
        pauses = [
            RequestedPause(pause.start, milliseconds)
            for pause in forwarded
            if (milliseconds := self._get_rest(pause.start))
        ]
        if pauses:
            self._send(PauseUpdate(self._vm, pauses), key)

    def _get_rest(self, start: str) -> int:
        """Return the rest of the pause of a start in milliseconds."""
        upstream = self._directory.get_start(start)
        if upstream is None:
            return 0
        now = self._clock.monotonic()
        seconds = upstream.rejections.get_requested_seconds(now)
        return round(seconds * MILLISECONDS)
