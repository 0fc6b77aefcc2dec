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

"""An upstream as a routing policy sees it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Candidate:
    """One upstream that may serve the request.

    :ivar incarnation: ties evidence to a process; it changes on restart.
    :ivar distance_seconds: the extra network time to reach it.
    :ivar in_flight: requests of this router that it works on.
    :ivar reported: running and waiting requests by its last report.
    :ivar slots: requests that it works on at the same time.
    """

    name: str
    incarnation: str
    slots: int
    prefill_tokens_per_second: float
    in_flight: int = 0
    reported: int = 0
    distance_seconds: float = 0.0

    @property
    def load(self) -> int:
        """Return the larger of the two views of its load."""
        return max(self.in_flight, self.reported)
