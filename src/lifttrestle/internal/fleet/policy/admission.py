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

"""Decides whether a request may be served, by what is in force now."""

import dataclasses

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.dialect import RequestFacts
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.catalogue import Route
from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.refusal.kind import ErrorKind

# Parts of the time within which a key that was taken away may still work.
# Up to the first a view is good enough to say that a key or a route does not
# exist, and to ask for new connections: other routers may know better. Up to
# the second it is good enough to serve the keys that it holds. Reads of the
# view are sent up to 1.5 s apart, so the second leaves some 3 s of outage.
FRESH_SHARE = 0.6
SERVING_SHARE = 0.92
# The view may be proved current again any moment; another router may do.
STALE_RETRY_SECONDS = 0.3
SHARED_WALL = 'shared'
# The largest urgency by which upstreams order what waits.
MAX_URGENCY = 9


@dataclasses.dataclass(frozen=True)
class AdmittedRequest:
    """A request that may be served.

    :ivar workspace: None on a route without keys.
    """

    catalogue: Catalogue
    route: Route
    workspace: Workspace | None


def admit(parts: FleetParts, facts: RequestFacts) -> AdmittedRequest:
    """Return what a request may use, by the newest configuration.

    It is asked again after each wait: the answer may have changed.

    :raises RequestRefused: if it may not be served, or if that can't be
        known.
    """
    catalogue = parts.view.catalogue
    if catalogue is None:
        raise RequestRefused(
            ErrorKind.NOT_CONFIGURED,
            'this router has not read its configuration yet',
            retry_after=STALE_RETRY_SECONDS,
        )
    route = catalogue.find_route(facts.host, facts.path)
    if route is None:
        _check_fresh(parts)
        raise RequestRefused(
            ErrorKind.NOT_FOUND,
            f'no route leads from host {facts.host!r} to {facts.path!r}',
            field='path',
        )
    return AdmittedRequest(
        catalogue, route, _find_workspace(parts, facts, catalogue, route)
    )


def is_fresh(parts: FleetParts, share: float = FRESH_SHARE) -> bool:
    """Return whether the view is proved current enough to rely on."""
    limit = parts.settings.promises.revoke_seconds * share
    return parts.operator_watch.get_age() < limit


def _find_workspace(
    parts: FleetParts,
    facts: RequestFacts,
    catalogue: Catalogue,
    route: Route,
) -> Workspace | None:
    if catalogue.keys is None or route.open_access:
        return None
    workspace = catalogue.keys.get(facts.key or '')
    _check_fresh(parts, FRESH_SHARE if workspace is None else SERVING_SHARE)
    if workspace is None:
        raise RequestRefused(
            ErrorKind.UNAUTHORISED,
            'the request carries no key of any workspace',
            field='authorization',
        )
    return workspace


def _check_fresh(parts: FleetParts, share: float = FRESH_SHARE) -> None:
    if is_fresh(parts, share):
        return
    raise RequestRefused(
        ErrorKind.NOT_CONFIGURED,
        f'the configuration was last proved current'
        f' {parts.operator_watch.get_age():.1f} s ago',
        retry_after=STALE_RETRY_SECONDS,
    )


def get_cache_scope(admitted: AdmittedRequest) -> str:
    """Return the name under which a request shares cached context."""
    workspace = admitted.workspace
    if workspace is not None and workspace.isolated:
        return f'only-{workspace.name}'
    return SHARED_WALL


def get_urgency(admitted: AdmittedRequest) -> int:
    """Return the rank among waiting requests; the workspace's goes first."""
    workspace = admitted.workspace
    priority = admitted.route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    return min(max(priority, 0), MAX_URGENCY)
