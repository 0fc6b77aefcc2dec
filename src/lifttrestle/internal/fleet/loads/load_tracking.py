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

"""Tracks load orders until they are executed or lost."""

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
# A load takes 0.6 to 0.8 s, and reports are 0.1 s old. Polling from 0.5 s on,
# every 0.08 s, showed no benefit beyond noise.
FIRST_POLL_SECONDS = 0.7
POLL_SECONDS = 0.2
# An engine that has not loaded by then gets another order.
LOAD_TIMEOUT_SECONDS = 4.0


@dataclasses.dataclass
class PendingLoad:
    """A load order that is not known to be executed; times are monotonic.

    :ivar answered: whether the engine answered the order.
    :ivar ordered_at: when the order was sent.
    :ivar next_poll_at: when the state of the engine is read next.
    """

    upstream: FleetUpstream
    order: LoadOrder
    answered: bool
    ordered_at: float
    next_poll_at: float


class LoadTracker:
    """Tracks the loads of one model that this router has ordered."""

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
        self._loads: dict[str, PendingLoad] = {}

    def __len__(self) -> int:
        """Return how many loads are pending."""
        return len(self._loads)

    def __contains__(self, start: object) -> bool:
        """Return whether the load of a start is pending."""
        return start in self._loads

    @property
    def starts(self) -> list[str]:
        """Return the starts of the engines with a pending load."""
        return list(self._loads)

    def add(
        self, upstream: FleetUpstream, order: LoadOrder, answered: bool
    ) -> None:
        """Track an order that was just sent."""
        now = self._clock.monotonic()
        # An order without an answer may be lost. Until that is detected, the
        # engine gets no requests although it is not loading.
        delay = FIRST_POLL_SECONDS if answered else POLL_SECONDS
        self._loads[upstream.start] = PendingLoad(
            upstream, order, answered, now, now + delay
        )

    async def poll(self) -> None:
        """Read the states of loading engines and drop finished loads."""
        for start, load in list(self._loads.items()):
            now = self._clock.monotonic()
            if self._is_finished(load, now):
                del self._loads[start]
                continue
            pause = load.upstream.rejections.get_requested_seconds(now)
            if now < load.next_poll_at or pause:
                continue
            load.next_poll_at = now + POLL_SECONDS
            state = await self.read_state(load.upstream)
            if _must_resend(load, state) or self._is_finished(load, now):
                del self._loads[start]

    async def read_state(self, upstream: FleetUpstream) -> EngineState | None:
        """Return the state of an engine.

        None if there is no answer, or if another start answers, which has
        not received the orders to the known one.
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

    def _is_finished(self, load: PendingLoad, now: float) -> bool:
        upstream = load.upstream
        return (
            upstream.weights.get(self._model, 0) >= load.order.version
            or upstream.reach.unreachable
            or self._directory.get_start(upstream.start) is None
            or now - load.ordered_at > LOAD_TIMEOUT_SECONDS
        )


def _must_resend(load: PendingLoad, state: EngineState | None) -> bool:
    """Return whether an order must be sent again.

    If the first order arrives after all, the engine refuses whichever of the
    two comes second: both expect the same number of accepted orders.
    """
    return (
        state is not None
        and not load.answered
        and not state.loading
        and state.orders_accepted == load.order.orders_accepted
    )
