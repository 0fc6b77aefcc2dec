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

"""The outcome of one routing decision."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen upstream, why, and what the policy expects of it.

    :ivar expected_seconds: to the first token.
    :ivar expected_cached: tokens of the prompt that it should hold.
    """

    name: str
    reason: str
    expected_seconds: float = 0.0
    expected_cached: int = 0
