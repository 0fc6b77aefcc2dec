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

"""Messages between routers on what began a stream."""

from typing import Annotated

import msgspec

Number = Annotated[int, msgspec.Meta(ge=0)]
Text = Annotated[str, msgspec.Meta(max_length=200)]


class OriginItem(msgspec.Struct, frozen=True, array_like=True):
    """What began one stream.

    :ivar digest: digest of the request that brought the first event.
    :ivar software_version: None if it is not known.
    :ivar start: digest of the upstream's start.
    """

    digest: Number
    service: Text
    software_version: Text | None
    start: Number


class OriginUpdate(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """New records; may arrive repeatedly and in any order."""

    vm: str
    items: list[OriginItem]


class OriginQuery(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Requests the record of one stream.

    :ivar number: identifies the query; its answer repeats it.
    """

    vm: str
    number: Number
    digest: Number


class OriginAnswer(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Answers a query; the item is None if the record is not known."""

    vm: str
    number: Number
    item: OriginItem | None = None
