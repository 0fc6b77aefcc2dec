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

"""What answers prove of the rate that an upstream takes."""

import dataclasses

from lifttrestle.errors import InputRefused


@dataclasses.dataclass(frozen=True)
class NamedLimit:
    """What one answer says of its upstream's limit.

    :ivar rate: requests a second that the upstream takes from all routers
        together, None if the answer names none.
    :ivar fault: why what it names can't be used; such an answer proves
        neither that there is a limit nor that there is none.
    """

    rate: float | None = None
    fault: InputRefused | None = None
