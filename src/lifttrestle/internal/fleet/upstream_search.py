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
from lifttrestle.internal.fleet.candidates import Candidates
from lifttrestle.internal.fleet.placement import Placement
from lifttrestle.internal.fleet.request_context import RequestContext
from lifttrestle.internal.refusal.kind import ErrorKind

# A request is refused when its first piece would take more than this many
# times its objective wherever it is sent.
SHED_TARGETS = 1.0
MIN_SHED_RETRY_SECONDS = 0.4
MAX_SHED_RETRY_SECONDS = 1.0
# A caller with less than this share of its route's time has been here before.
FIRST_COME_SHARE = 0.95
# It is served if its first piece comes within this share of what is left.
RETURNED_SHARE = 0.5
# A request waits for an upstream at most so long, and at most that share of
# its time: engines that load are back within about a second.
MAX_HELD_SECONDS = 0.8
HELD_SHARE = 0.2
HELD_POLL_SECONDS = 0.03


async def find_upstream(
    request: RequestContext, candidates: Candidates
) -> Placement:
    """Return an upstream, waiting a little while there is none.

    :raises RequestRefused: if there is none, or it would only wait there.
    """
    clock = request.parts.clock
    until = clock.monotonic() + min(
        MAX_HELD_SECONDS, request.get_left() * HELD_SHARE
    )
    held = False
    while True:
        placement = candidates.choose(request.admitted, request.service)
        if placement is not None:
            _check_queue(request, placement)
            return placement
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


def _check_queue(request: RequestContext, placement: Placement) -> None:
    """Refuse at once what would only wait too long.

    The best engine has a queue: to join it makes this request late, and all
    that follow as well. A caller that comes back with a part of its time gone
    is not turned away again while it can be served at all.
    """
    if request.facts.generation is None or request.sends:
        return
    route = request.admitted.route
    left = request.get_left()
    limit = SHED_TARGETS * route.target_seconds
    if left < FIRST_COME_SHARE * route.timeout_seconds:
        limit = max(limit, left * RETURNED_SHARE)
    wait = placement.expected_seconds
    if wait <= limit:
        return
    excess = wait - limit
    raise RequestRefused(
        ErrorKind.OVERLOADED,
        f'a first piece would take {wait:.2f} s at the least loaded'
        f' engine, over {limit:.2f} s',
        retry_after=min(
            excess + MIN_SHED_RETRY_SECONDS, MAX_SHED_RETRY_SECONDS
        ),
    )
