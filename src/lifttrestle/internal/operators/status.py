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

"""Status of a router and its deployment, as operators see it."""

import msgspec

from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.readiness import Readiness
from lifttrestle.internal.upstream.report import EngineReport
from lifttrestle.internal.upstream.state import UpstreamState


class UpstreamStatus(msgspec.Struct, frozen=True):
    """State of one upstream as this router sees it.

    :ivar versions: version of the weights for each loaded model; empty unless
        the upstream is an engine with a current report.
    :ivar leaving: whether its VM is leaving or gone, or the upstream drains.
    """

    name: str
    data_centre: str
    group: str
    incarnation: str
    versions: dict[str, str]
    leaving: bool
    breaker: str
    in_flight: int


class RouterStatus(msgspec.Struct, frozen=True):
    """State of a router and of the deployment as it sees it.

    :ivar revision: latest accepted revision that this router has applied.
    :ivar proposal: identifier of the pending plan, or empty.
    :ivar live_routers: number of live routers, this one included.
    :ivar routers: all registered routers as ``data_centre/name``.
    """

    router: str
    data_centre: str
    ready: bool
    revision: int
    digest: str
    proposal: str
    table_up: bool
    live_routers: int
    routers: tuple[str, ...]
    upstreams: tuple[UpstreamStatus, ...]


def build_status(parts: RouterParts, readiness: Readiness) -> RouterStatus:
    """Return the current status."""
    view = parts.keeper.view
    members = parts.keeper.platform_status.members.routers
    return RouterStatus(
        router=parts.settings.router.name,
        data_centre=parts.settings.router.data_centre,
        ready=readiness.is_ready(),
        revision=view.revision,
        digest=view.accepted.digest,
        proposal=view.proposal.plan_id if view.proposal else '',
        table_up=parts.keeper.platform_status.table_up,
        live_routers=parts.peers.count_live(),
        routers=tuple(f'{item.data_centre}/{item.name}' for item in members),
        upstreams=tuple(_describe(upstream) for upstream in parts.registry),
    )


def _describe(upstream: UpstreamState) -> UpstreamStatus:
    report = upstream.report
    versions = report.versions if isinstance(report, EngineReport) else {}
    return UpstreamStatus(
        name=upstream.name,
        data_centre=upstream.settings.data_centre,
        group=upstream.settings.group,
        incarnation=upstream.incarnation,
        versions=versions,
        leaving=upstream.leaving or upstream.draining,
        breaker=upstream.breaker.state.value,
        in_flight=upstream.in_flight,
    )
