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

"""Finds out by connections of its own which addresses can be reached.

When an upstream can't be reached, others in its data centre may be cut off
with it, and so may a store of cached context there; they are suspected and
probed, so that not every one of them costs a caller its request.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable

from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.state.cache_stores import CacheStore
from lifttrestle.internal.fleet.state.cache_stores import CacheStores
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.reach import Reach
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.upstream import SILENT_SECONDS
from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('reach')
LOOK_SECONDS = 0.1
# Connections that are tried at the same time. A cut-off data centre has some
# ten addresses on the largest deployment; each takes as long as a connection
# may take (0.1 s), so all are known after two turns.
MAX_PROBES = 8
# One upstream of ten that is lost has crashed, and the others are not probed
# for it. With 82 routers, five crashed engines of thirty had made 10,547
# connections of a day that took 3,507 without probes.
LOST_SHARE = 0.2


class ReachProber:
    """Probes upstreams and stores of cached context that are in doubt."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        stores: CacheStores,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._stores = stores
        self._clock = clock
        self._probes: dict[str, asyncio.Task[None]] = {}
        # Set from outside: is told of each probe whether it was taken, and
        # if it was not, whether nothing listens there.
        self.tell_probed: Callable[[str, bool, bool], None] = _tell_nobody

    async def run(self, beat: Ticker) -> None:
        """Probe what is in doubt, for ever."""
        try:
            while True:
                await beat.wait(LOOK_SECONDS)
                self.begin_probes()
        finally:
            for probe in self._probes.values():
                probe.cancel()
            await asyncio.gather(
                *self._probes.values(), return_exceptions=True
            )

    def begin_probes(self) -> None:
        """Begin a probe of each address that is due for one."""
        now = self._clock.monotonic()
        upstreams = [item for item in self._directory if not item.misdirected]
        suspect_neighbours(upstreams, self._stores, now)
        for upstream in upstreams:
            silent = upstream.is_silent(now)
            if upstream.reach.is_due(now, silent=silent):
                self._begin(upstream.start, upstream.reach, upstream.pool)
        for store in self._stores:
            if store.reach.is_due(now):
                self._begin(store.address, store.reach, store.pool)

    def _begin(self, name: str, reach: Reach, pool: ClientPool) -> None:
        if name in self._probes or len(self._probes) >= MAX_PROBES:
            return
        reach.probed_at = self._clock.monotonic()
        probe = asyncio.create_task(self._probe(name, reach, pool))
        self._probes[name] = probe
        probe.add_done_callback(lambda _: self._probes.pop(name, None))

    async def _probe(self, name: str, reach: Reach, pool: ClientPool) -> None:
        before = reach.unreached
        try:
            connection = await pool.take(fresh=True)
        except UpstreamConnectFailed as error:
            reach.note_unreached()
            self.tell_probed(name, False, error.refused)
            if not before:
                LOG.info('reach.lost', target=name, reason=str(error))
            return
        # The next request there has use for it.
        pool.give_back(connection)
        reach.note_reached(self._clock.monotonic())
        self.tell_probed(name, True, False)
        if before:
            LOG.info('reach.regained', target=name)


def _tell_nobody(name: str, taken: bool, refused: bool) -> None:
    """Tell nobody."""


def suspect_neighbours(
    upstreams: Iterable[FleetUpstream],
    stores: Iterable[CacheStore],
    now: float,
) -> None:
    """Suspect what is in a data centre that may be cut off."""
    listed = list(upstreams)
    if not any(item.reach.unreached for item in listed):
        return
    present = collections.Counter(item.entry.data_centre for item in listed)
    absent = collections.Counter(
        item.entry.data_centre for item in listed if item.reach.unreached
    )
    lost = {
        name
        for name, count in absent.items()
        if count >= LOST_SHARE * present[name]
    }
    for upstream in listed:
        heard = now - upstream.heard_at < SILENT_SECONDS
        if upstream.entry.data_centre in lost and not heard:
            upstream.reach.suspect()
    for store in stores:
        if store.data_centre in lost:
            store.reach.suspect()
