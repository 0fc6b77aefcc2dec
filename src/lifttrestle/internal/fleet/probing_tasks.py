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

"""The tasks that probe which upstreams a router reaches, and how."""

import asyncio

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.crashes.loss_watch import LossWatch
from lifttrestle.internal.fleet.state.cache_stores import CacheStores
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.reach_probing import ReachProber
from lifttrestle.internal.fleet.tunnels.dialler import TunnelDialler
from lifttrestle.internal.fleet.tunnels.probing import TunnelProber


async def probe_upstreams(
    ticker: Ticker,
    clock: Clock,
    directory: UpstreamDirectory,
    stores: CacheStores,
    dialler: TunnelDialler,
    losses: LossWatch,
) -> None:
    """Probe upstreams and stores, directly and through others, forever."""
    prober = ReachProber(directory, stores, clock)
    prober.on_probed = losses.note_probed
    tunnel_prober = TunnelProber(directory, dialler, clock)
    await asyncio.gather(prober.run(ticker), tunnel_prober.run(ticker))
