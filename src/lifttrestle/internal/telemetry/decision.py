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

"""Record of one routing decision and its outcome."""

import dataclasses


@dataclasses.dataclass
class Decision:
    """The chosen upstream, the reason, and expected and observed costs.

    Durations are in seconds, lengths in tokens. It never holds prompt text.
    """

    request_id: str
    workspace: str
    data_centre: str
    target: str
    upstream: str
    reason: str
    expected_seconds: float = 0.0
    expected_cached: int = 0
    observed_seconds: float = 0.0
    observed_cached: int = 0
    tokens: int = 0
    outcome: str = 'pending'
