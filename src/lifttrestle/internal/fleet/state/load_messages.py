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

"""Messages by which routers exchange their loads at upstreams.

They are sent as datagrams. A lost one needs no retransmission: the next
message of its kind replaces it.
"""

from typing import Annotated

import msgspec

from lifttrestle.internal.fleet.crashes.messages import CrashUpdate
from lifttrestle.internal.fleet.limits.messages import LimitSyncRequest
from lifttrestle.internal.fleet.limits.messages import LimitUpdate
from lifttrestle.internal.fleet.limits.messages import PermitAnswer
from lifttrestle.internal.fleet.limits.messages import PermitQuery
from lifttrestle.internal.fleet.news.messages import NewsMessage
from lifttrestle.internal.fleet.state.departure_messages import DepartureUpdate
from lifttrestle.internal.fleet.state.pause_messages import PauseUpdate
from lifttrestle.internal.fleet.streams.messages import OriginAnswer
from lifttrestle.internal.fleet.streams.messages import OriginQuery
from lifttrestle.internal.fleet.streams.messages import OriginUpdate
from lifttrestle.internal.fleet.usage.messages import LevelEntry
from lifttrestle.internal.fleet.usage.messages import UsedEntry
from lifttrestle.internal.intake.decoding import decode_msgpack

Count = Annotated[int, msgspec.Meta(ge=0)]
MAX_DATAGRAM_BYTES = 8 * 1024


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load at one start of an upstream.

    :ivar digest: digest of the start, shorter than its name.
    :ivar in_flight: number of requests in flight.
    :ivar unread_tokens: prompt tokens whose prefill has not finished.
    """

    digest: Count
    in_flight: Count
    unread_tokens: Count


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """All loads of one router; replaces its previous report.

    :ivar number: sequence number of the report.
    :ivar parts: shared parts that engines computed recently; only those that
        no earlier report contained.
    :ivar for_aggregator: the receiver aggregates it with other reports.
    :ivar is_query: the receiver answers at once with the sum of the fleet.
    :ivar usage: usage of workspaces, None if it is not reported.
    """

    vm: str
    number: int
    loads: list[UpstreamLoad]
    parts: list[int] = []
    for_aggregator: bool = False
    is_query: bool = False
    usage: list[UsedEntry] | None = None


class GroupSum(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Sum of the loads of all routers that report to the aggregator ``vm``.

    :ivar usage: usage of workspaces, None if it is not reported.
    """

    vm: str
    number: int
    loads: list[UpstreamLoad]
    parts: list[int] = []
    usage: list[UsedEntry] | None = None


class FleetSum(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Sum of the loads of all routers, sent to one of them.

    :ivar included: number of the receiver's own report that the sum contains.
    :ivar levels: remaining units of the workspaces that the receiver reported.
    """

    vm: str
    number: int
    included: int
    loads: list[UpstreamLoad]
    parts: list[int] = []
    levels: list[LevelEntry] | None = None


LimitMessage = LimitUpdate | LimitSyncRequest | PermitQuery | PermitAnswer
OriginMessage = OriginUpdate | OriginQuery | OriginAnswer
LoadMessage = (
    LoadReport
    | GroupSum
    | FleetSum
    | CrashUpdate
    | LimitMessage
    | OriginMessage
    | PauseUpdate
    | NewsMessage
    | DepartureUpdate
)


def decode_message(data: bytes) -> LoadMessage:
    """Decode the message in a datagram.

    :raises InputRefused: if the datagram holds no valid message.
    """
    return decode_msgpack(data, LoadMessage)  # type: ignore[arg-type]


def encode_message(message: LoadMessage) -> bytes:
    """Encode a message as a datagram."""
    return msgspec.msgpack.encode(message)
