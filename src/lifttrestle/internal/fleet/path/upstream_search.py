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

"""Finds the upstream for a request, or refuses the request in time."""

import asyncio

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.fleet.path.candidates import Candidates
from lifttrestle.internal.fleet.path.event_buffer import build_permit_fields
from lifttrestle.internal.fleet.path.event_buffer import build_reach_fields
from lifttrestle.internal.fleet.path.fair_share import get_standing
from lifttrestle.internal.fleet.path.fair_share import make_share_refusal
from lifttrestle.internal.fleet.path.fair_share import note_asked
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.policy.shedding import decide_shedding
from lifttrestle.internal.fleet.policy.shedding import find_wait_end
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.refusal.kind import ErrorKind

WAIT_POLL_SECONDS = 0.01
# The retry times of callers that are refused for rate limits or pauses are
# spread over at least this time.
RETRY_SPREAD_SECONDS = 0.5
# A router that is not overloaded answers sooner.
PATH_SEARCH_SECONDS = 1.0
PATH_POLL_SECONDS = 0.05
# Upstreams with the software of a stream are few: one that fails or is full is
# available again later than some upstream is for a new request.
SAME_SOFTWARE_RETRY_SECONDS = 1.0


async def find_upstream(
    request: RequestContext, candidates: Candidates
) -> Placement:
    """Return an upstream, waiting for a short time if there is none.

    :raises RequestRefused: if none becomes available, or the request would
        wait too long in the queue of the best one.
    """
    clock = request.parts.clock
    path_until = clock.monotonic() + PATH_SEARCH_SECONDS
    until = find_wait_end(
        request.received_at,
        clock.monotonic(),
        request.admitted.route.target_seconds,
        request.get_remaining_seconds(),
        was_sent=request.sends > 0 or request.is_restricted,
    )
    waiting = False
    while True:
        placement = candidates.choose(
            request.admitted,
            request.service,
            request.urgency,
            repeated=request.is_repeat,
        )
        if placement is not None:
            _check_queue(request, placement)
            if await _request_permit(request, candidates, placement.upstream):
                return placement
            continue
        _check_waits(request, candidates, until)
        now = clock.monotonic()
        if now < until and candidates.may_become_available(request.service):
            poll_seconds = WAIT_POLL_SECONDS
        elif now < path_until and candidates.may_find_path(request.service):
            poll_seconds = PATH_POLL_SECONDS
        else:
            break
        if not waiting:
            waiting = True
            request.event_buffer.add('held', reason='no upstream is available')
        await asyncio.sleep(poll_seconds)
        request.readmit()
    request.event_buffer.add(
        'unavailable',
        **build_reach_fields(
            candidates.list_unavailable(request.service), clock.monotonic()
        ),
    )
    raise _make_refusal(request, candidates)


def _make_refusal(
    request: RequestContext, candidates: Candidates
) -> RequestRefused:
    origin = request.binding.origin
    if origin is None or not request.is_restricted:
        return request.make_refusal(
            ErrorKind.NO_UPSTREAM, 'no upstream may serve this request now'
        )
    version = origin.software_version or 'of an unknown version'
    if not candidates.list_unavailable(request.service):
        return request.make_refusal(
            ErrorKind.STREAM_NOT_RESUMABLE,
            f'no upstream with the software {version} that began the stream'
            ' serves any more',
        )
    refused = request.make_refusal(
        ErrorKind.NO_UPSTREAM,
        f'no upstream with the software {version} that began the stream may'
        ' serve it now',
    )
    if refused.retry_after:
        refused.retry_after = SAME_SOFTWARE_RETRY_SECONDS
    return refused


async def _request_permit(
    request: RequestContext,
    candidates: Candidates,
    upstream: FleetUpstream,
) -> bool:
    """Return whether the rate limit of an upstream permits a request now."""
    limits = request.parts.limits
    if not limits.is_limited(upstream):
        return True
    permit = await limits.request_permit(upstream, candidates.rank)
    request.event_buffer.add(
        'permit',
        **build_permit_fields(upstream, permit, candidates.rank),
    )
    return not permit.wait


def _check_waits(
    request: RequestContext, candidates: Candidates, until: float
) -> None:
    """Refuse a request at once if it is known to wait for too long."""
    now = request.parts.clock.monotonic()
    service = request.service
    waits = (
        ('are rate limited', candidates.find_permit_seconds(service)),
        ('asked for a pause', candidates.find_pause_seconds(service)),
    )
    for reason, seconds in waits:
        if seconds is not None and now + seconds > until:
            raise _make_timed_refusal(
                request,
                f'all upstreams {reason}, and accept no more requests for'
                f' {seconds:.2f} s',
                seconds,
            )


def _make_timed_refusal(
    request: RequestContext, message: str, wait: float
) -> RequestRefused:
    """Return the refusal of a request that can be served after ``wait``.

    The retry times are randomized, so that callers that are refused together
    do not all retry at once.
    """
    refused = request.make_refusal(ErrorKind.NO_UPSTREAM, message)
    if refused.retry_after:
        spread = max(wait, RETRY_SPREAD_SECONDS)
        refused.retry_after = wait + request.parts.source.uniform(0, spread)
    return refused


def _check_queue(request: RequestContext, placement: Placement) -> None:
    """Refuse a request at once if the best engine would answer too late."""
    if request.facts.generation is None or request.sends:
        return
    expected = placement.expected_seconds
    target = request.admitted.route.target_seconds
    if request.is_restricted:
        # Other upstreams could not serve it sooner.
        target = request.get_remaining_seconds()
    standing = get_standing(request, placement, target)
    note_asked(request, placement)
    shedding = decide_shedding(
        expected, placement.queue_seconds, target, standing
    )
    if shedding is None:
        return
    if shedding.is_over_share and standing is not None:
        raise make_share_refusal(request, placement, shedding, standing)
    raise RequestRefused(
        ErrorKind.OVERLOADED,
        f'the first token would take {expected:.2f} s at the least loaded'
        f' engine, more than {shedding.limit:.2f} s',
        retry_after=shedding.retry_after,
    )
