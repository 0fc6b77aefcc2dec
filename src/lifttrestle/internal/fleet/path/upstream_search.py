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

"""Finds the upstream that a request is sent to, or refuses it in time."""

import asyncio

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.fleet.path.candidates import Candidates
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.fleet.path.story import build_permit
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.policy.shedding import find_hold_end
from lifttrestle.internal.fleet.policy.shedding import judge_wait
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.refusal.kind import ErrorKind

HELD_POLL_SECONDS = 0.01
# Callers that no upstream takes are told to come back over this time at least.
PERMIT_SPREAD_SECONDS = 0.5


async def find_upstream(
    request: RequestContext, candidates: Candidates
) -> Placement:
    """Return an upstream, waiting a little while there is none.

    :raises RequestRefused: if there is none, or it would only wait there.
    """
    clock = request.parts.clock
    until = find_hold_end(
        request.started,
        clock.monotonic(),
        request.admitted.route.target_seconds,
        request.get_left(),
        offered=request.sends > 0,
    )
    held = False
    while True:
        placement = candidates.choose(
            request.admitted, request.service, repeated=request.is_repeat
        )
        if placement is not None:
            _check_queue(request, placement)
            if await _get_permit(request, candidates, placement.upstream):
                return placement
            continue
        _check_permits(request, candidates, until)
        waits = candidates.may_become_fit(request.service)
        if clock.monotonic() >= until or not waits:
            break
        if not held:
            held = True
            request.story.add('held', reason='no upstream is free for it')
        await asyncio.sleep(HELD_POLL_SECONDS)
        request.admit_again()
    raise request.give_up(
        ErrorKind.NO_UPSTREAM, 'no upstream may serve this now'
    )


async def _get_permit(
    request: RequestContext,
    candidates: Candidates,
    upstream: FleetUpstream,
) -> bool:
    """Return whether a request may be sent to an upstream now."""
    limits = request.parts.limits
    if not limits.is_limited(upstream):
        return True
    permit = await limits.request_permit(upstream, candidates.rank)
    request.story.add(
        'permit',
        **build_permit(upstream, permit, candidates.rank),
    )
    return not permit.wait


def _check_permits(
    request: RequestContext, candidates: Candidates, until: float
) -> None:
    """Refuse at once what no upstream takes in time.

    Callers that are refused together are told times that lie apart.
    """
    wait = candidates.find_permit_seconds(request.service)
    if wait is None or request.parts.clock.monotonic() + wait <= until:
        return
    refused = request.give_up(
        ErrorKind.NO_UPSTREAM,
        'all upstreams name limits, and take no more requests for'
        f' {wait:.2f} s',
    )
    if refused.retry_after:
        spread = max(wait, PERMIT_SPREAD_SECONDS)
        refused.retry_after = wait + request.parts.source.uniform(0, spread)
    raise refused


def _check_queue(request: RequestContext, placement: Placement) -> None:
    """Refuse at once what would only wait too long at the best engine."""
    if request.facts.generation is None or request.sends:
        return
    expected = placement.expected_seconds
    target = request.admitted.route.target_seconds
    shedding = judge_wait(expected, placement.queue_seconds, target)
    if shedding is None:
        return
    raise RequestRefused(
        ErrorKind.OVERLOADED,
        f'a first piece would take {expected:.2f} s at the least loaded'
        f' engine, over {shedding.limit:.2f} s',
        retry_after=shedding.retry_after,
    )
