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

"""Counts the engine time of a request for the share of its workspace.

Only workspaces with a usage cap have a share, and only at services whose load
decisions consider each engine by itself.
"""

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.fleet.path.event_buffer import MILLISECONDS
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.fleet.policy.fair_shares import estimate_cost
from lifttrestle.internal.fleet.policy.load_view import WorkspaceStanding
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.policy.shedding import is_engine_time_short
from lifttrestle.internal.fleet.policy.shedding import ShedDecision
from lifttrestle.internal.fleet.state.catalogue import EngineConfig
from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.refusal.kind import ErrorKind


def get_standing(
    request: RequestContext, placement: Placement, target: float
) -> WorkspaceStanding | None:
    """Return the standing of a workspace while engine time is short.

    A stream that the caller resumes at the few upstreams that may continue it
    is not refused for the share of its workspace.

    :param placement: the best engine.
    :param target: objective for the time to first token, in seconds.
    """
    workspace = _find_workspace(request)
    if workspace is None or request.is_restricted:
        return None
    if not is_engine_time_short(placement.queue_seconds, target):
        return None
    return request.parts.workspace_use.get_standing(
        workspace, _estimate_cost(request, placement)
    )


def note_asked(request: RequestContext, placement: Placement) -> None:
    """Record a request that arrived, once.

    Its cost is known when an engine was considered first. Requests that were
    refused for the cap of their workspace do not get as far.
    """
    workspace = _find_workspace(request)
    if workspace is None or request.cost_seconds is not None:
        return
    request.cost_seconds = _estimate_cost(request, placement)
    request.parts.workspace_use.note_asked(workspace, request.cost_seconds)


def note_used(request: RequestContext) -> None:
    """Record a request that is sent to an engine."""
    workspace = request.admitted.workspace
    if workspace is not None and request.cost_seconds is not None:
        request.parts.workspace_use.note_used(workspace, request.cost_seconds)


def make_share_refusal(
    request: RequestContext,
    placement: Placement,
    shedding: ShedDecision,
    standing: WorkspaceStanding,
) -> RequestRefused:
    """Return the refusal of a request over its share; log and count it."""
    workspace = request.admitted.workspace_name
    request.parts.metrics.count_over_share(workspace)
    request.event_buffer.add(
        'fair_share',
        asked_ms_per_s=round(standing.asked_seconds * MILLISECONDS),
        used_ms_per_s=round(standing.used_seconds * MILLISECONDS),
        share_ms_per_s=round(standing.share_seconds * MILLISECONDS),
        queue_ms=round(placement.queue_seconds * MILLISECONDS),
        limit_ms=round(shedding.limit * MILLISECONDS),
    )
    return RequestRefused(
        ErrorKind.OVERLOADED,
        f'workspace {workspace!r} uses more than its share of engine time,'
        f' and the least loaded engine has a queue of'
        f' {placement.queue_seconds:.2f} s, more than {shedding.limit:.2f} s',
        retry_after=shedding.retry_after,
    )


def _estimate_cost(request: RequestContext, placement: Placement) -> float:
    """Return the engine time of a request in seconds."""
    engine = _find_engine(request)
    generation = request.facts.generation
    if engine is None or generation is None:
        return 0.0
    return estimate_cost(
        placement.unread_tokens,
        request.parts.get_pace(request.service).prefill_seconds,
        generation.output_tokens,
        engine.slots,
    )


def _find_workspace(request: RequestContext) -> Workspace | None:
    """Return the workspace of a request if it has a share."""
    workspace = request.admitted.workspace
    if workspace is None or workspace.cap is None:
        return None
    return workspace if _find_engine(request) is not None else None


def _find_engine(request: RequestContext) -> EngineConfig | None:
    """Return the engine configuration of a service with large slots."""
    service = request.admitted.catalogue.services.get(request.service)
    if service is None or not service.has_large_slots:
        return None
    return service.engine
