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

"""Opens connections to find out which addresses are reachable.

When an upstream is unreachable, others in its data centre and the cache store
there may be unreachable too. A probe finds this out before a caller's request
fails at each of them.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable

from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.state.cache_stores import CacheStore
from lifttrestle.internal.fleet.state.cache_stores import CacheStores
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.probe_tasks import ProbeTasks
from lifttrestle.internal.fleet.state.reach import Reachability
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.upstream import SILENT_SECONDS
from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('reach')
# Concurrent probes. A data centre has about ten addresses on the largest
# deployment, and a probe of an unreachable one takes the connect timeout
# (0.1 s), so two rounds cover a data centre that is cut off.
MAX_PROBES = 8
# Fraction of the upstreams of a data centre that must be unreachable before
# the others are probed: if only one of ten is, it has probably crashed.
# Without this limit, with 82 routers, the probes for five crashed engines of
# thirty raised the connections of a day from 3,507 to 10,547.
PARTITION_SHARE = 0.2


class ReachProber:
    """Probes upstreams and cache stores that may be unreachable.

    :ivar on_probed: called after each probe with the name of the target,
        whether it accepted the connection, and if not, whether it refused it;
        set by the owner.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        stores: CacheStores,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._stores = stores
        self._clock = clock
        self._probes = ProbeTasks(MAX_PROBES)
        self.on_probed: Callable[[str, bool, bool], None] = _ignore_probe

    async def run(self, ticker: Ticker) -> None:
        """Start due probes periodically until cancelled."""
        await self._probes.run(ticker, self.start_probes)

    def start_probes(self) -> None:
        """Start a probe of each address that is due."""
        now = self._clock.monotonic()
        upstreams = [item for item in self._directory if not item.misdirected]
        suspect_neighbours(upstreams, self._stores, now)
        for upstream in upstreams:
            silent = upstream.is_silent(now)
            if upstream.reach.is_due(now, silent=silent):
                self._start(upstream.start, upstream.reach, upstream.pool)
        for store in self._stores:
            if store.reach.is_due(now):
                self._start(store.address, store.reach, store.pool)

    def _start(self, name: str, reach: Reachability, pool: ClientPool) -> None:
        if not self._probes.may_start(name):
            return
        reach.probed_at = self._clock.monotonic()
        self._probes.start(name, self._probe(name, reach, pool))

    async def _probe(
        self, name: str, reach: Reachability, pool: ClientPool
    ) -> None:
        before = reach.unreachable
        try:
            connection = await pool.open_direct()
        except UpstreamConnectFailed as error:
            reach.note_unreachable(self._clock.monotonic())
            self.on_probed(name, False, error.refused)
            if not before:
                LOG.info('reach.lost', target=name, reason=str(error))
            return
        # The next request to this address reuses the connection.
        pool.give_back(connection)
        reach.note_reachable(self._clock.monotonic())
        self.on_probed(name, True, False)
        if before:
            LOG.info('reach.regained', target=name)


def _ignore_probe(name: str, accepted: bool, refused: bool) -> None:
    """Do nothing."""


def suspect_neighbours(
    upstreams: Iterable[FleetUpstream],
    stores: Iterable[CacheStore],
    now: float,
) -> None:
    """Suspect the addresses in data centres that may be cut off.

    Upstreams that have just sent something are not suspected.
    """
    listed = list(upstreams)
    if not any(item.reach.unreachable for item in listed):
        return
    known = collections.Counter(item.entry.data_centre for item in listed)
    failed = collections.Counter(
        item.entry.data_centre for item in listed if item.reach.unreachable
    )
    cut_off = {
        name
        for name, count in failed.items()
        if count >= PARTITION_SHARE * known[name]
    }
    for upstream in listed:
        received = now - upstream.last_received_at < SILENT_SECONDS
        if upstream.entry.data_centre in cut_off and not received:
            upstream.reach.suspect()
    for store in stores:
        if store.data_centre in cut_off:
            store.reach.suspect()
