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

"""Gauges of a router, read when the metrics are scraped."""

from collections.abc import Callable
import dataclasses
import functools

from lifttrestle.internal.fleet.crashes.tracker import CrashTracker
from lifttrestle.internal.fleet.lateness_watch import LatenessWatch
from lifttrestle.internal.fleet.limits.upstream_limits import UpstreamLimits
from lifttrestle.internal.fleet.news.exchange import PeerNews
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.relay_follower import RelayFollower
from lifttrestle.internal.fleet.state.relay_server import RelayServer
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.table_watch import TableWatch
from lifttrestle.internal.fleet.tunnels.server import TunnelServer
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.telemetry.fleet_metrics import FleetMetrics


@dataclasses.dataclass(frozen=True)
class GaugeSources:
    """The components of a router that gauges read."""

    store: RowStore
    operator_watch: TableWatch
    roster: Roster
    directory: UpstreamDirectory
    relays: RelayFollower
    relay_server: RelayServer
    tunnel_server: TunnelServer
    callers: HttpServer
    crashes: CrashTracker
    limits: UpstreamLimits
    news: PeerNews
    lateness: LatenessWatch


@dataclasses.dataclass(frozen=True)
class Gauge:
    """The definition of one gauge.

    :ivar text: help text that is exported with the gauge.
    :ivar read: returns the current value.
    """

    name: str
    text: str
    read: Callable[[GaugeSources], float]


GAUGES = (
    Gauge(
        'view_age_seconds',
        'Since what the operator put in force was proved current.',
        lambda sources: sources.operator_watch.get_age(),
    ),
    Gauge(
        'store_epoch',
        'Rises each time the store comes back as an older copy of itself.',
        lambda sources: float(sources.store.epoch),
    ),
    Gauge(
        'live_routers',
        'Routers that share budgets, counted high.',
        lambda sources: sources.roster.live,
    ),
    Gauge(
        'upstreams',
        'Upstreams that are known.',
        lambda sources: len(list(sources.directory)),
    ),
    Gauge(
        'unreachable_upstreams',
        'Upstreams to which the last connection failed.',
        lambda sources: sum(
            upstream.reach.unreachable for upstream in sources.directory
        ),
    ),
    Gauge(
        'tunnelled_upstreams',
        'Upstreams that are reached through other routers.',
        lambda sources: sum(
            upstream.uses_tunnels for upstream in sources.directory
        ),
    ),
    Gauge(
        'tunnels',
        'Connections to upstreams that this router forwards for others.',
        lambda sources: sources.tunnel_server.tunnels,
    ),
    Gauge(
        'reads_store',
        'One if this router reads the store itself, zero if others do.',
        lambda sources: float(sources.relays.reads_store),
    ),
    Gauge(
        'followers',
        'Routers that learn of the store from this one.',
        lambda sources: sources.relay_server.followers,
    ),
    Gauge(
        'requests_running',
        'Requests that are being served.',
        lambda sources: sources.callers.busy,
    ),
    Gauge(
        'connections_displaced',
        'Connections of callers that made place for another, since the start.',
        lambda sources: sources.callers.displaced,
    ),
    Gauge(
        'held_requests',
        'Requests that run no more, as upstreams crashed under them.',
        lambda sources: len(sources.crashes.holds),
    ),
    Gauge(
        'limited_upstreams',
        'Upstreams that get a request with a permit only.',
        lambda sources: len(sources.limits),
    ),
    Gauge(
        'limit_rate_lowest',
        'The lowest limit in force, requests a second; -1 without any.',
        lambda sources: min(
            (
                limit.known_limit.rate
                for limit in sources.limits
                if limit.known_limit.rate is not None
            ),
            default=-1.0,
        ),
    ),
    Gauge(
        'news_age_seconds',
        'Since the last news of other routers; -1 without any.',
        lambda sources: sources.news.age_seconds,
    ),
    Gauge(
        'news_entries',
        'Entries about engines and workspaces from other routers, in use.',
        lambda sources: sources.news.entries,
    ),
    Gauge(
        'lateness_seconds',
        'How late timers run: above zero, processor time is short.',
        lambda sources: sources.lateness.mean,
    ),
)


def register_gauges(metrics: FleetMetrics, sources: GaugeSources) -> None:
    """Register every gauge of a router."""
    for gauge in GAUGES:
        metrics.add_gauge(
            gauge.name, gauge.text, functools.partial(gauge.read, sources)
        )
