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

"""What a workspace may use, over all routers together."""

import dataclasses
import enum

from lifttrestle.internal.fleet.settings import Promises

# Part of what a window may hold beyond the cap that a process may give out
# before it has heard from another. All may have been killed in the moment in
# which a whole burst had just been used, and in a fleet that is split each of
# those that start one after the other in a window has its part of it; the rest
# is for what routers use without each other's knowledge.
START_SHARE = 0.25


class UsageUnit(enum.Enum):
    """What a cap counts."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclasses.dataclass(frozen=True)
class UsageCap:
    """What a workspace may use, over all routers together.

    :ivar rate: units a second, above zero.
    :ivar burst: units that can be saved up.
    :ivar unit: what is counted.
    :ivar default_units: of a request that tells no number of tokens.
    """

    rate: float
    burst: float
    unit: UsageUnit = UsageUnit.REQUESTS
    default_units: float = 0.0

    def count_units(self, tokens: int | None) -> float:
        """Return what one request counts.

        :param tokens: of its prompt and the most that it may generate, or
            None if it does not tell them.
        """
        if self.unit is UsageUnit.REQUESTS:
            return 1.0
        return self.default_units if tokens is None else float(tokens)

    @property
    def capacity(self) -> float:
        """Return what can be saved up; without a burst one unit."""
        return max(self.burst, 1.0)

    def get_start_level(self, promises: Promises) -> float:
        """Return what a process may give out before it knows of others."""
        window = self.rate * promises.cap_window_seconds + self.burst
        spare = promises.cap_over_share * window + promises.cap_slack
        return min(self.capacity, START_SHARE * spare)
