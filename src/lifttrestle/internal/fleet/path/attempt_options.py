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

"""Builds what the router adds to a request that it sends to an upstream."""

from lifttrestle.internal.fleet.path.dialect import AttemptOptions
from lifttrestle.internal.fleet.path.dialect import CacheUse
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.fleet.policy.admission import get_cache_scope
from lifttrestle.internal.fleet.state.shared_parts import build_salt
from lifttrestle.internal.fleet.state.upstream import FleetUpstream


def build_options(
    request: RequestContext, upstream: FleetUpstream, last_event_id: int | None
) -> AttemptOptions:
    """Return the options for one attempt.

    :param last_event_id: event after which a stream resumes, or None.
    """
    admitted = request.admitted
    generation = request.facts.generation
    weights = None
    if generation is not None:
        weights = upstream.weights.get(generation.model)
    return AttemptOptions(
        instance=upstream.instance,
        wait_seconds=request.get_remaining_seconds(),
        workspace=admitted.workspace_name,
        hide_key=admitted.catalogue.keys is not None,
        weights=weights,
        cache=_build_cache_use(request, weights),
        urgency=request.urgency if generation else None,
        last_event_id=last_event_id,
    )


def _build_cache_use(
    request: RequestContext, weights: int | None
) -> CacheUse | None:
    generation = request.facts.generation
    if generation is None or weights is None:
        return None
    admitted = request.admitted
    address = ''
    if generation.shared:
        last = generation.shared[-1].part_id
        store_name = admitted.catalogue.find_cache_store(last)
        if store_name is not None:
            store = request.parts.stores.get(store_name)
            # With an unreachable store, an engine would wait some hundred
            # milliseconds for it in each request.
            address = '' if store.reach.unreachable else store.address
    salt = build_salt(get_cache_scope(admitted), generation.model, weights)
    return request.parts.sources.choose(salt, generation, address)
