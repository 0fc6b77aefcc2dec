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

"""Interface for load orders to engines and for reading their state."""

import abc
from collections.abc import Callable
import dataclasses
import enum

from lifttrestle.internal.fleet.policy.known_limit import ReportedLimit
from lifttrestle.internal.fleet.state.upstream import FleetUpstream

LimitCallback = Callable[[FleetUpstream, ReportedLimit, float], None]


@dataclasses.dataclass(frozen=True)
class EngineState:
    """State that an engine reports, delayed by some hundred milliseconds.

    :ivar weights: loaded version of each model.
    :ivar loading: whether it is executing a load order.
    :ivar orders_accepted: orders accepted since its start; an order that
        expects another number is refused, so that a delayed order has no
        effect.
    :ivar born: start time in Unix milliseconds, None if not reported.
    """

    weights: dict[str, int]
    loading: bool
    orders_accepted: int
    waiting: int
    running: int
    born: int | None = None


@dataclasses.dataclass(frozen=True)
class LoadOrder:
    """An order to load a version of a model's weights.

    Running generations of the engine continue with the new weights.

    :ivar holder: router that holds the lease.
    :ivar fence: fencing token, increases with each change of the lease.
    :ivar orders_accepted: number that the engine must report.
    """

    model: str
    version: int
    holder: str
    fence: int
    orders_accepted: int


class OrderOutcome(enum.Enum):
    """Response of an engine to a load order."""

    ACCEPTED = 'accepted'
    ALREADY_LOADED = 'holds already'
    OTHER_ORDER = 'another order came between'
    FENCED = 'fenced'
    OTHER_INSTANCE = 'another instance'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


def _ignore_limit(
    engine: FleetUpstream, reported: ReportedLimit, sent_at: float
) -> None:
    """Ignore the limit that an answer reports."""


class EngineControl(abc.ABC):
    """Calls engines; raises ``PlatformUnavailable`` if they do not answer.

    :ivar note_limit: called for each answer with its engine, the limit that
        it reports and the time at which the call was sent.
    """

    note_limit: LimitCallback = staticmethod(_ignore_limit)

    @abc.abstractmethod
    async def read_state(self, engine: FleetUpstream) -> EngineState:
        """Return the state that an engine reports."""

    @abc.abstractmethod
    async def send_load(
        self, engine: FleetUpstream, order: LoadOrder
    ) -> OrderOutcome:
        """Send a load order to an engine."""
