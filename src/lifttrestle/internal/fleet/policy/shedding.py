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

"""Load shedding: decides whether a request is refused rather than queued.

After a change of weights or a crash, the engines lack capacity for some
seconds. A request that joins a queue that is already too long is late, and
delays all that follow it.
"""

import dataclasses

from lifttrestle.internal.fleet.policy.fair_shares import compute_retry_seconds
from lifttrestle.internal.fleet.policy.load_view import WorkspaceStanding

# A request, first attempt or retry, is refused if its time to first token is
# expected to exceed this fraction of its objective at every engine. The
# fraction is below one as requests of other routers may be queued before it.
# In a simulation at 1.27 times the prefill capacity of five engines, 0.79 of
# the requests are answered in time; with a limit of 1.6 objectives, and half
# of the remaining time for retries, it was 0.11, as their work made all others
# late (tests/cover/test_played_load.py). Below the prefill capacity, neither
# limit refuses a request.
SHED_TARGET_SHARE = 0.8
# A prompt whose prefill by itself exceeds that limit is late even at an idle
# engine. It is served if the queue before it is at most this fraction of its
# objective, as it would be refused forever otherwise.
LONG_PROMPT_QUEUE_SHARE = 0.25
# A request of a workspace over its share is refused if the queue before it
# exceeds this fraction of its objective. An engine with such a queue does not
# become idle, and requests of the other workspaces wait no longer than that.
FAIR_QUEUE_SHARE = 0.25
MIN_RETRY_SECONDS = 0.4
MAX_RETRY_SECONDS = 1.0
# A request that was not sent to any upstream yet and that none can serve waits
# for this fraction of its objective from its arrival, and is then refused, so
# that the caller still has time to try elsewhere.
WAIT_TARGET_SHARE = 1 / 8
# A request that an upstream declined or lost waits longer, but at most for
# this fraction of the remaining time: engines that load weights are available
# again within about a second.
MAX_WAIT_SECONDS = 0.8
WAIT_SHARE = 0.2


@dataclasses.dataclass(frozen=True)
class ShedDecision:
    """Decision to refuse a request.

    :ivar limit: maximum expected time to first token, in seconds; maximum
        queue, for a workspace over its share.
    :ivar retry_after: seconds after which the queue should be short enough,
        or the use of the workspace back at its share.
    :ivar is_over_share: whether its workspace is over its share.
    """

    limit: float
    retry_after: float
    is_over_share: bool = False


def is_engine_time_short(queue: float, target: float) -> bool:
    """Return whether requests over a fair share are refused.

    :param queue: time until prefill begins at the best engine, in seconds.
    :param target: objective for the time to first token, in seconds.
    """
    return queue > FAIR_QUEUE_SHARE * target


def decide_shedding(
    expected: float,
    queue: float,
    target: float,
    standing: WorkspaceStanding | None = None,
) -> ShedDecision | None:
    """Return how a request is refused, or None if it should be sent.

    :param expected: expected time to first token at the best engine, in
        seconds.
    :param queue: part of it until prefill of the prompt begins, in seconds.
    :param target: objective for the time to first token, in seconds.
    :param standing: of its workspace, None if it has no share.
    """
    if standing is not None and standing.is_over:
        if is_engine_time_short(queue, target):
            return ShedDecision(
                FAIR_QUEUE_SHARE * target,
                compute_retry_seconds(standing),
                is_over_share=True,
            )
    limit = SHED_TARGET_SHARE * target
    if expected <= limit:
        return None
    without_queue = expected - queue
    if without_queue > limit and queue <= LONG_PROMPT_QUEUE_SHARE * target:
        return None
    excess = expected - limit
    return ShedDecision(
        limit, min(excess + MIN_RETRY_SECONDS, MAX_RETRY_SECONDS)
    )


def find_wait_end(
    started: float,
    now: float,
    target: float,
    remaining: float,
    *,
    was_sent: bool,
) -> float:
    """Return until when a request may wait for an upstream.

    :param started: arrival of the request, monotonic seconds.
    :param now: current time, monotonic seconds.
    :param target: objective for the time to first token, in seconds.
    :param remaining: remaining time of the caller, in seconds.
    :param was_sent: the request was sent to an upstream before.
    :returns: monotonic seconds.
    """
    if not was_sent:
        return started + WAIT_TARGET_SHARE * target
    return now + min(MAX_WAIT_SECONDS, remaining * WAIT_SHARE)
