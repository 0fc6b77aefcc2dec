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

"""Admission of requests by the current configuration and its age."""

import dataclasses

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.dialect import RequestFacts
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.catalogue import Route
from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.refusal.kind import ErrorKind

# Maximum age of the configuration view, as fractions of the time within which
# a revoked key may still be accepted. Up to the first, a router may reject an
# unknown key or route and attract new connections: beyond it, other routers
# may hold a newer view. Up to the second, it may serve the keys in its view.
# The view is read at intervals of up to 1.5 s, so the second tolerates an
# outage of about 3 s.
FRESH_SHARE = 0.6
SERVING_SHARE = 0.92
# The view may be confirmed as current at any moment, and another router may
# already hold a current one.
STALE_RETRY_SECONDS = 0.3
SHARED_CACHE_SCOPE = 'shared'
# The largest urgency value that upstreams use to order waiting requests.
MAX_URGENCY = 9


@dataclasses.dataclass(frozen=True)
class AdmittedRequest:
    """The configuration that applies to an admitted request.

    :ivar workspace: None on a route without keys.
    """

    catalogue: Catalogue
    route: Route
    workspace: Workspace | None

    @property
    def workspace_name(self) -> str:
        """Return the name of the workspace, empty without one."""
        return self.workspace.name if self.workspace is not None else ''


def admit(parts: FleetParts, facts: RequestFacts) -> AdmittedRequest:
    """Return the route and workspace of a request.

    Must be called again after each wait, as the configuration may have
    changed.

    :raises RequestRefused: if the request may not be served, or if the
        configuration is missing or too old to decide.
    """
    catalogue = parts.view.catalogue
    if catalogue is None:
        raise RequestRefused(
            ErrorKind.NOT_CONFIGURED,
            'this router has not loaded its configuration yet',
            retry_after=STALE_RETRY_SECONDS,
        )
    route = catalogue.find_route(facts.host, facts.path)
    if route is None:
        _check_fresh(parts)
        raise RequestRefused(
            ErrorKind.NOT_FOUND,
            f'no route matches host {facts.host!r} and path {facts.path!r}',
            field='path',
        )
    return AdmittedRequest(
        catalogue, route, _find_workspace(parts, facts, catalogue, route)
    )


def is_fresh(parts: FleetParts, share: float = FRESH_SHARE) -> bool:
    """Return whether the view was confirmed recently enough.

    :param share: maximum age as a fraction of the key revocation time.
    """
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
            'the request has no valid workspace key',
            field='authorization',
        )
    return workspace


def _check_fresh(parts: FleetParts, share: float = FRESH_SHARE) -> None:
    if is_fresh(parts, share):
        return
    raise RequestRefused(
        ErrorKind.NOT_CONFIGURED,
        f'the configuration was last confirmed current'
        f' {parts.operator_watch.get_age():.1f} s ago',
        retry_after=STALE_RETRY_SECONDS,
    )


def get_cache_scope(admitted: AdmittedRequest) -> str:
    """Return the scope within which a request shares cached prefixes.

    Isolated workspaces have a scope of their own.
    """
    workspace = admitted.workspace
    if workspace is not None and workspace.isolated:
        return f'only-{workspace.name}'
    return SHARED_CACHE_SCOPE


def get_urgency(admitted: AdmittedRequest) -> int:
    """Return the urgency of a request, from 0 to ``MAX_URGENCY``.

    The priority of the workspace takes precedence over that of the route.
    """
    workspace = admitted.workspace
    priority = admitted.route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    return min(max(priority, 0), MAX_URGENCY)
