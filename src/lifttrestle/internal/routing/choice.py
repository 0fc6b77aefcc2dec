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

"""The result of a routing decision."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen upstream with the reason and the expected outcome.

    :ivar expected_seconds: estimated time to the first token.
    :ivar expected_cached: prompt tokens expected in its prefix cache.
    """

    name: str
    reason: str
    expected_seconds: float = 0.0
    expected_cached: int = 0
