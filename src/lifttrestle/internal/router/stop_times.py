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

"""By when each step of a planned stop ends.

All times are of the monotonic clock, in seconds.
"""

import dataclasses

# The end of an answer may wait that long in a buffer, as a connection that is
# being closed does.
LAST_BYTES_SECONDS = 1.0
# A record is one call of the table service, or after a failure one more to
# read what became of it.
RECORD_CALLS = 2
# The list of routers is read and written.
LEAVE_CALLS = 2
# What is kept of a short grace for the steps behind the requests; the rest is
# the requests' own.
END_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class StopTimes:
    """The ends of the steps, in their order.

    :ivar closes_at: the balancer had its notice, the listener closes.
    :ivar cut_at: requests that have not ended are ended.
    :ivar closed_at: the last answers have left, the connections are closed.
    :ivar recorded_at: operators' calls have ended, records are written.
    :ivar ends_at: the router has left the list; the end of the whole stop.
    """

    closes_at: float
    cut_at: float
    closed_at: float
    recorded_at: float
    ends_at: float


def plan_stop(
    now: float, notice: float, grace: float, call_seconds: float
) -> StopTimes:
    """Return when the steps of a stop that begins now end.

    :param notice: for the balancer, before the grace.
    :param grace: for all that follows.
    :param call_seconds: the longest call of the table service.
    """
    ends_at = now + notice + grace
    leave = LEAVE_CALLS * call_seconds
    record = RECORD_CALLS * call_seconds
    wanted = LAST_BYTES_SECONDS + record + leave
    scale = min(1.0, END_SHARE * grace / wanted)
    return StopTimes(
        closes_at=now + notice,
        cut_at=ends_at - wanted * scale,
        closed_at=ends_at - (record + leave) * scale,
        recorded_at=ends_at - leave * scale,
        ends_at=ends_at,
    )


def hurry_stop(times: StopTimes, now: float) -> StopTimes:
    """Return the times of a stop that waits for no request any longer."""
    early = max(times.cut_at - now, 0.0)
    return StopTimes(
        closes_at=min(times.closes_at, now),
        cut_at=times.cut_at - early,
        closed_at=times.closed_at - early,
        recorded_at=times.recorded_at - early,
        ends_at=times.ends_at - early,
    )
