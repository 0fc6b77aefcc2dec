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

"""What routers tell each other of requests that upstreams crashed under."""

from typing import Annotated

import msgspec

Number = Annotated[int, msgspec.Meta(ge=0)]


class CrashItem(msgspec.Struct, frozen=True, array_like=True):
    """All that one router knows of one request.

    :ivar digest: of the request.
    :ivar crashed: digests of the starts that crashed under it.
    :ivar forgiven: of those that don't count any more: it has ended well
        since, or they had not crashed.
    :ivar ended_well: it has ended well somewhere, at some time.
    """

    digest: Number
    crashed: list[Number]
    forgiven: list[Number] = []
    ended_well: bool = False


class CrashUpdate(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """What is new; the same may be told again, and in any order."""

    vm: str
    items: list[CrashItem]
