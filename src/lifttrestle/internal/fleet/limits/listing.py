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

"""What a router tells operators of the limits that it knows."""

from collections.abc import Iterable

import msgspec

from lifttrestle.internal.fleet.limits.limit_state import HeldLimit


class ListedLimit(msgspec.Struct, frozen=True):
    """One upstream that gets a request with a permit only.

    :ivar rate: that it names, None while its limit has ended lately.
    :ivar age: seconds since an answer named the limit, or ended it.
    :ivar share: of the limit that this router gives out, zero if others do.
    :ivar used: permits a second that it gave lately.
    """

    start: str
    data_centre: str
    rate: float | None
    age: float
    share: float
    used: float


def list_limits(limits: Iterable[HeldLimit], now: float) -> list[ListedLimit]:
    """Return what is told, sorted by the upstreams' names."""
    listed = [_list_one(held, now) for held in limits]
    return sorted(listed, key=lambda item: item.start)


def _list_one(held: HeldLimit, now: float) -> ListedLimit:
    belief = held.belief
    named = belief.named.end if belief.rate is not None else belief.ended_at
    bucket = held.bucket
    return ListedLimit(
        held.start,
        held.data_centre,
        belief.rate,
        round(now - named, 3),
        bucket.share if bucket is not None else 0.0,
        round(bucket.use.get(now), 3) if bucket is not None else 0.0,
    )
