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

"""Messages between routers on requests under which upstreams crashed."""

from typing import Annotated

import msgspec

Number = Annotated[int, msgspec.Meta(ge=0)]


class CrashItem(msgspec.Struct, frozen=True, array_like=True):
    """The record that one router has of one request.

    :ivar digest: digest of the request.
    :ivar crashed: digests of the starts that crashed under the request.
    :ivar retracted: digests of the starts that no longer count, because the
        request has succeeded since or because they had not crashed.
    :ivar succeeded: whether the request has ever succeeded at any router.
    """

    digest: Number
    crashed: list[Number]
    retracted: list[Number] = []
    succeeded: bool = False


class CrashUpdate(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Changed records; may arrive repeatedly and in any order."""

    vm: str
    items: list[CrashItem]
