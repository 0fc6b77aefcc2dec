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

"""Refuses requests that are held because upstreams crashed under them."""

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.fleet.crashes.held_row import format_digest
from lifttrestle.internal.fleet.crashes.suspects import get_kind_name
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.refusal.kind import ErrorKind


def check_held(request: RequestContext) -> None:
    """Check that neither the request nor a part of its prompt is held.

    :raises RequestRefused: if it is held and may not be tried. The refusal has
        no retry time, since a repeat would be refused, too.
    """
    _find_trial(request)


async def check_held_before_send(request: RequestContext) -> None:
    """Check that the request may be sent now, claiming a trial if held.

    :raises RequestRefused: if it may not be sent.
    """
    digest = _find_trial(request)
    if digest is None:
        return
    request.on_trial = await request.parts.crashes.claim_trial(digest)
    if not request.on_trial:
        raise _make_refusal(request, [digest])


def _find_trial(request: RequestContext) -> int | None:
    """Return the digest of the hold that its run would try, None if not held.

    :raises RequestRefused: if it is held and may not be tried.
    """
    if request.on_trial:
        return None
    crashes = request.parts.crashes
    held = crashes.list_held((request.digest, *request.part_digests))
    if not held:
        return None
    # With two held parts a trial would not tell which hold is right.
    may_run = len(held) == 1 and crashes.may_run_trial(held[0])
    if request.sends or not may_run:
        raise _make_refusal(request, held)
    return held[0]


def _make_refusal(request: RequestContext, held: list[int]) -> RequestRefused:
    for digest in held:
        request.parts.crashes.note_refused(digest)
    kind = get_kind_name(held[0])
    return RequestRefused(
        ErrorKind.CRASHES_UPSTREAMS,
        f'upstreams have crashed while running this {kind}; it is held as'
        f' {format_digest(held[0])}',
    )
