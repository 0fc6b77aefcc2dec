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

"""Follows the orders to load weights until they are carried out or lost."""

import dataclasses

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.loads.engine_control import EngineControl
from lifttrestle.internal.fleet.loads.engine_control import EngineState
from lifttrestle.internal.fleet.loads.engine_control import LoadOrder
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('weights')
# A load takes 0.6 to 0.8 s; reports tell of 0.1 s before. To ask from 0.5 s
# on, every 0.08 s, gained nothing beyond noise.
REPORT_FIRST_SECONDS = 0.7
REPORT_SECONDS = 0.2
# An engine that has not loaded by then is ordered once more.
LOAD_LIMIT_SECONDS = 4.0


@dataclasses.dataclass
class LoadUnderWay:
    """An order that an engine has not yet been seen to have carried out.

    :ivar answered: it said that it took the order.
    """

    upstream: FleetUpstream
    order: LoadOrder
    answered: bool
    ordered_at: float
    ask_at: float


class LoadTracker:
    """The loads of one model that this router has ordered."""

    def __init__(
        self,
        model: str,
        control: EngineControl,
        directory: UpstreamDirectory,
        clock: Clock,
    ) -> None:
        self._model = model
        self._control = control
        self._directory = directory
        self._clock = clock
        self._loads: dict[str, LoadUnderWay] = {}

    def __len__(self) -> int:
        """Return how many loads are under way."""
        return len(self._loads)

    def __contains__(self, start: object) -> bool:
        """Return whether an engine is loading."""
        return start in self._loads

    @property
    def starts(self) -> list[str]:
        """Return the starts of the engines that are loading."""
        return list(self._loads)

    def add(
        self, upstream: FleetUpstream, order: LoadOrder, answered: bool
    ) -> None:
        """Follow an order that was just sent."""
        now = self._clock.monotonic()
        # An order that nobody answered may be lost: to find that out late
        # leaves the engine without work for nothing.
        pause = REPORT_FIRST_SECONDS if answered else REPORT_SECONDS
        self._loads[upstream.start] = LoadUnderWay(
            upstream, order, answered, now, now + pause
        )

    async def follow(self) -> None:
        """Ask the engines how far they are, and drop what is over."""
        for start, load in list(self._loads.items()):
            now = self._clock.monotonic()
            if self._is_over(load, now):
                del self._loads[start]
                continue
            if now < load.ask_at:
                continue
            load.ask_at = now + REPORT_SECONDS
            state = await self.read_state(load.upstream)
            if _was_lost(load, state) or self._is_over(load, now):
                del self._loads[start]

    async def read_state(self, upstream: FleetUpstream) -> EngineState | None:
        """Return what an engine says of itself.

        None if there is no answer, or if it is that of another start, which
        knows nothing of what the known one was ordered.
        """
        try:
            state = await self._control.read_state(upstream)
        except PlatformUnavailable as error:
            LOG.info(
                'weights.no_report',
                instance=upstream.instance,
                reason=str(error),
            )
            return None
        if not self._directory.note_start(upstream, state.born, state.weights):
            LOG.info(
                'weights.other_start',
                instance=upstream.instance,
                born=state.born,
                expected=upstream.entry.born,
            )
            return None
        known = state.weights.get(self._model, 0)
        upstream.note_weights(self._model, known, self._clock.monotonic())
        return state

    def _is_over(self, load: LoadUnderWay, now: float) -> bool:
        upstream = load.upstream
        return (
            upstream.weights.get(self._model, 0) >= load.order.version
            or upstream.reach.unreachable
            or self._directory.get_start(upstream.start) is None
            or now - load.ordered_at > LOAD_LIMIT_SECONDS
        )


def _was_lost(load: LoadUnderWay, state: EngineState | None) -> bool:
    """Return whether an order is to be sent again.

    Should it arrive after all, one of the two finds another count of orders
    than it expects, and does nothing.
    """
    return (
        state is not None
        and not load.answered
        and not state.loading
        and state.orders_accepted == load.order.orders_accepted
    )
