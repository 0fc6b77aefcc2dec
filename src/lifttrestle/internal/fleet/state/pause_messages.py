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

"""Messages about pauses that upstreams ask for."""

from typing import Annotated

import msgspec

from lifttrestle.internal.fleet.state.departure_messages import Start

Milliseconds = Annotated[int, msgspec.Meta(ge=0)]


class RequestedPause(msgspec.Struct, frozen=True, array_like=True):
    """The rest of the pause that a start asked for."""

    start: Start
    milliseconds: Milliseconds


class PauseUpdate(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Pauses asked for in answers that the receiver forwarded.

    It may arrive repeatedly.
    """

    vm: str
    pauses: list[RequestedPause]
