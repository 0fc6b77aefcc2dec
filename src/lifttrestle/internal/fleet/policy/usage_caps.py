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

"""Usage caps of workspaces, over all routers together."""

import dataclasses
import enum

from lifttrestle.internal.fleet.settings import Promises

# Fraction of the tolerated excess of a window that a process may use before it
# has received a report of another router. All routers may have been killed
# just after a whole burst was used, and in a partitioned fleet each process
# that starts within a window uses this fraction; the rest covers usage that
# routers have not yet reported to each other.
START_SHARE = 0.25
# The same for a router that adds up the use of others. Only one per data
# centre starts with a level of its own; all others take over its level.
AGGREGATOR_START_SHARE = 0.5


class UsageUnit(enum.Enum):
    """Unit of a cap."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclasses.dataclass(frozen=True)
class UsageCap:
    """Usage cap of a workspace, over all routers together.

    :ivar rate: units per second, above zero.
    :ivar burst: units that can accumulate.
    :ivar unit: what is counted.
    :ivar default_units: units of a request without a token count.
    """

    rate: float
    burst: float
    unit: UsageUnit = UsageUnit.REQUESTS
    default_units: float = 0.0

    def count_units(self, tokens: int | None) -> float:
        """Return the units of one request.

        :param tokens: prompt tokens plus the maximum number of generated
            tokens, or None if the request does not specify them.
        """
        if self.unit is UsageUnit.REQUESTS:
            return 1.0
        return self.default_units if tokens is None else float(tokens)

    @property
    def capacity(self) -> float:
        """Return the units that can accumulate, at least one."""
        return max(self.burst, 1.0)

    def get_start_level(
        self, promises: Promises, *, aggregates: bool = False
    ) -> float:
        """Return the units for a process without reports of other routers.

        :param aggregates: whether it reports the level to other routers.
        """
        window = self.rate * promises.cap_window_seconds + self.burst
        spare = promises.cap_over_share * window + promises.cap_slack
        share = AGGREGATOR_START_SHARE if aggregates else START_SHARE
        return min(self.capacity, share * spare)
