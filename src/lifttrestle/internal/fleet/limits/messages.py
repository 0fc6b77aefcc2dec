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

"""What routers tell each other of the limits that upstreams name.

Times are told as ages, as clocks of two machines differ. Datagrams: one that
is lost is made up for by the next news, or by the next question.
"""

from typing import Annotated

import msgspec

Count = Annotated[int, msgspec.Meta(ge=0)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1e308)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=1e7)]


class LimitItem(msgspec.Struct, frozen=True, array_like=True):
    """What one router believes of one start of an upstream.

    :ivar start: digest of the start.
    :ivar rate: that it names, None if it names none any more.
    :ivar begun: age of the moment at which the answer that says so was made
        at the soonest.
    :ivar heard: age of the moment at which it was heard.
    :ivar recovering: its limit has ended, and permits are still needed.
    """

    start: Count
    rate: Rate | None
    begun: Seconds
    heard: Seconds
    recovering: bool = False


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """What is believed; the same may be told again, and in any order.

    :ivar whole: it was asked for, and holds all that needs permits.
    """

    vm: str
    items: list[LimitItem]
    whole: bool = False


class LimitSyncRequest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks for all that the hearer believes."""

    vm: str


class PermitQuery(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks for a permit to send one request.

    :ivar number: of the question, by which the answer is known.
    :ivar known: what the teller believes of the upstream.
    :ivar rank: of the request; the lowest comes first.
    """

    vm: str
    number: Count
    known: LimitItem
    rank: Count


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Gives a permit, or tells when to ask again.

    :ivar wait: seconds, zero for a permit.
    :ivar free: no permits are needed any more.
    """

    vm: str
    number: Count
    wait: Seconds
    free: bool = False
