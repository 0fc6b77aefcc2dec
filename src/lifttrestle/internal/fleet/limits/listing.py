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

"""Listing of the limits that a router knows, for operators."""

from collections.abc import Iterable

import msgspec

from lifttrestle.internal.fleet.limits.limit_state import LimitState


class ListedLimit(msgspec.Struct, frozen=True):
    """One upstream to which requests are sent with a permit only.

    :ivar rate: requests per second that it reports, None while it recovers
        from a limit that has ended.
    :ivar age: seconds since an answer reported the limit, or ended it.
    :ivar share: fraction of the limit that this router grants, zero if it is
        no allocator.
    :ivar used: permits per second that this router granted recently.
    """

    start: str
    data_centre: str
    rate: float | None
    age: float
    share: float
    used: float


def list_limits(limits: Iterable[LimitState], now: float) -> list[ListedLimit]:
    """Return an entry for each limit, sorted by the upstreams' names."""
    listed = [_build_entry(limit, now) for limit in limits]
    return sorted(listed, key=lambda item: item.start)


def _build_entry(limit: LimitState, now: float) -> ListedLimit:
    known_limit = limit.known_limit
    reported_at = (
        known_limit.latest.end
        if known_limit.rate is not None
        else known_limit.ended_at
    )
    bucket = limit.bucket
    return ListedLimit(
        limit.start,
        limit.data_centre,
        known_limit.rate,
        round(now - reported_at, 3),
        bucket.share if bucket is not None else 0.0,
        round(bucket.use.get(now), 3) if bucket is not None else 0.0,
    )
