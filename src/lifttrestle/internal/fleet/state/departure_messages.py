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

"""Messages about upstreams that leave."""

from typing import Annotated

import msgspec

Start = Annotated[str, msgspec.Meta(max_length=250)]


class DepartureUpdate(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Starts of upstreams that leave; may arrive repeatedly."""

    vm: str
    starts: list[Start]
