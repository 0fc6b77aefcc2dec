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

"""Finds out whether other routers reach a service that this one does not.

A router can't tell by itself whether its own links are cut or the upstreams
are gone. If other routers reach an upstream of the service, requests use
tunnels; if none does, they are refused as before.
"""

import collections
from collections.abc import Iterable

from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.state.probe_tasks import ProbeTasks
from lifttrestle.internal.fleet.state.reach import NEVER
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.tunnels.dialler import TunnelDialler
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('tunnels')
PROBE_SECONDS = 0.4
MAX_PROBES = 8
# Interval between probes of an upstream that no router asked could reach,
# while others of its service are reached.
RETRY_SECONDS = 2.0


class TunnelProber:
    """Decides which upstreams are reached through tunnels.

    :param upstreams: the known upstreams.
    """

    def __init__(
        self,
        upstreams: Iterable[FleetUpstream],
        dialler: TunnelDialler,
        clock: Clock,
    ) -> None:
        self._upstreams = upstreams
        self._dialler = dialler
        self._clock = clock
        # Service -> when it was probed last, monotonic seconds.
        self._probed_at: dict[str, float] = {}
        self._probes = ProbeTasks(MAX_PROBES)

    async def run(self, ticker: Ticker) -> None:
        """Start due probes periodically until cancelled."""
        await self._probes.run(ticker, self.start_probes)

    def start_probes(self) -> None:
        """Start a probe for each service that is due."""
        groups: dict[str, list[FleetUpstream]] = collections.defaultdict(list)
        for upstream in self._upstreams:
            if upstream.tunnel_found_at != NEVER:
                # Tunnels that end, or are used no more, are closed at once, so
                # that they don't hold up a stop of the other router.
                upstream.pool.prune()
            if not upstream.misdirected and not upstream.draining:
                groups[upstream.entry.service].append(upstream)
        for service, group in groups.items():
            due = self._find_due(service, group)
            if due is not None and self._probes.may_start(service):
                self._probed_at[service] = self._clock.monotonic()
                self._probes.start(service, self._probe(due, group))

    def _find_due(
        self, service: str, group: list[FleetUpstream]
    ) -> FleetUpstream | None:
        """Return the upstream to probe now, the one that waits longest."""
        now = self._clock.monotonic()
        if any(not upstream.reach.unreachable for upstream in group):
            return None
        if now - self._probed_at.get(service, NEVER) < PROBE_SECONDS:
            return None
        others_reached = any(upstream.uses_tunnels for upstream in group)
        latest = now - (RETRY_SECONDS if others_reached else 0.0)
        waiting = [
            upstream
            for upstream in group
            if not upstream.uses_tunnels
            and upstream.tunnel_failed_at <= latest
        ]
        return min(
            waiting, key=lambda item: item.tunnel_failed_at, default=None
        )

    async def _probe(
        self, upstream: FleetUpstream, group: list[FleetUpstream]
    ) -> None:
        try:
            connection = await self._dialler.open(upstream)
        except UpstreamConnectFailed as error:
            upstream.note_tunnel_failed(self._clock.monotonic())
            LOG.debug('tunnels.none', reason=str(error))
            return
        first = not any(item.uses_tunnels for item in group)
        # The others are assumed to be reached as well: a request that fails at
        # one of them tries the next.
        for item in group if first else [upstream]:
            item.note_tunnel_found(self._clock.monotonic())
        upstream.pool.give_back(connection)
        LOG.info(
            'tunnels.in_use',
            service=upstream.entry.service,
            instance=upstream.instance,
            via=connection.via,
        )
