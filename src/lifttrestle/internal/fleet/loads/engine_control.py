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

"""Orders to and reports of engines, behind an interface."""

import abc
from collections.abc import Callable
import dataclasses
import enum

from lifttrestle.internal.fleet.policy.limit_belief import ReportedLimit
from lifttrestle.internal.fleet.state.upstream import FleetUpstream

LimitNote = Callable[[FleetUpstream, ReportedLimit, float], None]


@dataclasses.dataclass(frozen=True)
class EngineState:
    """What an engine says of itself, some hundred milliseconds late.

    :ivar born: Unix milliseconds of the start that says it, None if not told.
    :ivar loading: it is carrying an order out.
    :ivar orders_accepted: since its start; an order that expects another
        number is refused, so that a late one does no harm.
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

    The engine's runs go on under the new weights.

    :ivar fence: grows with each change of the lease.
    :ivar orders_accepted: the number that the engine must have.
    """

    model: str
    version: int
    holder: str
    fence: int
    orders_accepted: int


class OrderOutcome(enum.Enum):
    """What an engine says to an order."""

    ACCEPTED = 'accepted'
    ALREADY_LOADED = 'holds already'
    OTHER_ORDER = 'another order came between'
    FENCED = 'fenced'
    OTHER_INSTANCE = 'another instance'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


def _note_nowhere(
    engine: FleetUpstream, named: ReportedLimit, sent_at: float
) -> None:
    """Note nothing."""


class EngineControl(abc.ABC):
    """Calls engines; raises ``PlatformUnavailable`` without an answer.

    :ivar note_limit: is told what each answer says of its engine's limit,
        and when the call was sent.
    """

    note_limit: LimitNote = staticmethod(_note_nowhere)

    @abc.abstractmethod
    async def read_state(self, engine: FleetUpstream) -> EngineState:
        """Return an engine's own report."""

    @abc.abstractmethod
    async def send_load(
        self, engine: FleetUpstream, order: LoadOrder
    ) -> OrderOutcome:
        """Order an engine to load weights."""
