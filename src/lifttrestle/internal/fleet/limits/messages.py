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

"""Messages by which routers share the limits that upstreams report.

Times are sent as ages, since the clocks of two machines differ. Messages are
datagrams; the next update or query compensates for a lost one.
"""

from typing import Annotated

import msgspec

Count = Annotated[int, msgspec.Meta(ge=0)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1e308)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=1e7)]


class LimitItem(msgspec.Struct, frozen=True, array_like=True):
    """Limit of one start of an upstream, as one router knows it.

    :ivar start: digest of the start.
    :ivar rate: requests per second, None if the limit has ended.
    :ivar begin_age: seconds since the earliest time at which the answer that
        reported the rate may have been made.
    :ivar receipt_age: seconds since the receipt of that answer.
    :ivar recovering: the limit has ended, and permits are still needed.
    """

    start: Count
    rate: Rate | None
    begin_age: Seconds
    receipt_age: Seconds
    recovering: bool = False


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Limits that a router knows; may be repeated, in any order.

    :ivar complete: whether the update answers a sync request and contains all
        limits that need permits.
    """

    vm: str
    items: list[LimitItem]
    complete: bool = False


class LimitSyncRequest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Requests all limits that the receiver knows."""

    vm: str


class PermitQuery(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Requests a permit to send one request.

    :ivar number: identifies the query; its answer repeats it.
    :ivar known: limit of the upstream, as the sender knows it.
    :ivar rank: of the request; the lowest has precedence.
    """

    vm: str
    number: Count
    known: LimitItem
    rank: Count


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Grants a permit, or states when to retry.

    :ivar wait: seconds until the retry, zero if the permit is granted.
    :ivar unlimited: requests need no permit any more.
    """

    vm: str
    number: Count
    wait: Seconds
    unlimited: bool = False
