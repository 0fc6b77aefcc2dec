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

"""The deadlines of the steps of a planned stop.

All times are readings of the monotonic clock, in seconds.
"""

import dataclasses

# Time to send the ends of buffered answers and to close the connections.
FLUSH_SECONDS = 1.0
# A record takes one call to the table service, and after a failure a second
# one to read whether the first took effect.
RECORD_CALLS = 2
# Leaving the list of routers takes one read and one write.
DEREGISTER_CALLS = 2
# The steps after the requests get at most this share of the grace period, so
# that most of a short one is left for the requests.
MAX_RESERVED_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class StopTimes:
    """The deadlines of the steps, in the order of the steps.

    :ivar notice_ends_at: when the listener closes, since the load balancer
        has been notified.
    :ivar cut_at: when requests in progress are ended.
    :ivar closed_at: when the last answers are sent and the connections are
        closed.
    :ivar recorded_at: when calls of operators have ended and records are
        written.
    :ivar ends_at: when the router has left the list of routers, which ends
        the stop.
    """

    notice_ends_at: float
    cut_at: float
    closed_at: float
    recorded_at: float
    ends_at: float


def plan_stop(
    now: float, notice: float, grace: float, call_seconds: float
) -> StopTimes:
    """Return the deadlines of a stop that begins now.

    :param notice: seconds for the load balancer, before the grace period.
    :param grace: seconds for all following steps.
    :param call_seconds: timeout of a call to the table service.
    """
    ends_at = now + notice + grace
    deregister = DEREGISTER_CALLS * call_seconds
    record = RECORD_CALLS * call_seconds
    reserved = FLUSH_SECONDS + record + deregister
    scale = min(1.0, MAX_RESERVED_SHARE * grace / reserved)
    return StopTimes(
        notice_ends_at=now + notice,
        cut_at=ends_at - reserved * scale,
        closed_at=ends_at - (record + deregister) * scale,
        recorded_at=ends_at - deregister * scale,
        ends_at=ends_at,
    )


def shorten_stop(times: StopTimes, now: float) -> StopTimes:
    """Return the deadlines of a stop that ends all requests now.

    The following steps keep their durations.
    """
    saved = max(times.cut_at - now, 0.0)
    return StopTimes(
        notice_ends_at=min(times.notice_ends_at, now),
        cut_at=times.cut_at - saved,
        closed_at=times.closed_at - saved,
        recorded_at=times.recorded_at - saved,
        ends_at=times.ends_at - saved,
    )
