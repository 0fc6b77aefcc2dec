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

"""The view that routing policies have of an upstream."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An upstream that is eligible to serve the request.

    :ivar incarnation: identifies the process; it changes on restart, so that
        cache evidence of an earlier process no longer applies.
    :ivar distance_seconds: additional network latency to the upstream.
    :ivar in_flight: requests of this router in progress at the upstream.
    :ivar reported: running and queued requests in its last report.
    :ivar slots: requests that it processes concurrently.
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
        """Return the larger of the in-flight and the reported requests.

        The report may be outdated; the local count omits other routers.
        """
        return max(self.in_flight, self.reported)
