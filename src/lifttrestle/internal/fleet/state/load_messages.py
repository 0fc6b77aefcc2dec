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

"""What routers tell each other of the work that they have at upstreams.

Datagrams: one that is lost is made up for by the next of its kind.
"""

from typing import Annotated

import msgspec

from lifttrestle.internal.fleet.crashes.messages import CrashUpdate
from lifttrestle.internal.fleet.limits.messages import LimitCall
from lifttrestle.internal.fleet.limits.messages import LimitNews
from lifttrestle.internal.fleet.limits.messages import PermitAnswer
from lifttrestle.internal.fleet.limits.messages import PermitQuery
from lifttrestle.internal.fleet.usage.messages import LevelEntry
from lifttrestle.internal.fleet.usage.messages import UsedEntry
from lifttrestle.internal.intake.decoding import decode_msgpack

Count = Annotated[int, msgspec.Meta(ge=0)]
MAX_DATAGRAM_BYTES = 8 * 1024


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """What there is under way at one start of an upstream.

    :ivar digest: of the start, shorter than its name.
    """

    digest: Count
    in_flight: Count
    unread_tokens: Count


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """All that one router has under way; it replaces its last report.

    :ivar parts: shared parts of prompts that engines read lately; only those
        that were not in an earlier report.
    :ivar summed: the hearer is to add it up with those of others.
    :ivar asks: the hearer is to tell its sender the sum at once.
    :ivar usage: what workspaces were given, None if it is not told.
    """

    vm: str
    number: int
    loads: list[UpstreamLoad]
    parts: list[int] = []
    for_aggregator: bool = False
    is_query: bool = False
    usage: list[UsedEntry] | None = None


class GroupSum(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """What all routers that tell ``vm`` have under way together.

    :ivar usage: what workspaces were given, None if it is not told.
    """

    vm: str
    number: int
    loads: list[UpstreamLoad]
    parts: list[int] = []
    usage: list[UsedEntry] | None = None


class FleetSum(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """What all routers have under way together, told to one of them.

    :ivar included: the number of the hearer's own report that is in it.
    :ivar levels: what is left to the workspaces that the hearer told of.
    """

    vm: str
    number: int
    included: int
    loads: list[UpstreamLoad]
    parts: list[int] = []
    levels: list[LevelEntry] | None = None


LimitMessage = LimitNews | LimitCall | PermitQuery | PermitAnswer
LoadMessage = LoadReport | GroupSum | FleetSum | CrashUpdate | LimitMessage


def decode_message(data: bytes) -> LoadMessage:
    """Return the message of a datagram.

    :raises InputRefused: if it holds none.
    """
    return decode_msgpack(data, LoadMessage)  # type: ignore[arg-type]


def encode_message(message: LoadMessage) -> bytes:
    """Return the datagram of a message."""
    return msgspec.msgpack.encode(message)
