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

"""The messages that the routers of a fleet exchange."""

import asyncio

from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.crashes.messages import CrashUpdate
from lifttrestle.internal.fleet.news.exchange import PeerNews
from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.shared_state import SharedState
from lifttrestle.internal.fleet.state.departure_news import DepartureNews
from lifttrestle.internal.fleet.state.pause_news import PauseNews
from lifttrestle.internal.fleet.state.peer_loads import PeerLoads
from lifttrestle.internal.intake.refusals import InputRefusals


class PeerExchange:
    """Connects the parts of a router that exchange messages to its peers.

    :ivar loads: sends and receives all messages.
    """

    def __init__(
        self, state: SharedState, parts: FleetParts, refusals: InputRefusals
    ) -> None:
        vm = parts.settings.vm
        self.loads = PeerLoads(
            vm,
            state.directory,
            state.roster,
            parts.sources.shared,
            parts.clock,
            refusals,
            parts.usage,
        )
        self.news = PeerNews(
            vm,
            state.roster,
            self.loads.choice,
            parts.clock,
            state.directory,
            parts.news_sources,
            lambda: state.view.catalogue,
            parts.metrics,
        )
        self.departures = DepartureNews(
            vm, state.directory.departures, state.roster
        )
        self.pauses = PauseNews(vm, state.directory, parts.clock)
        subscribe = self.loads.add_handler
        send = self.loads.send
        subscribe(CrashUpdate, state.crashes.handle_update)
        state.crashes.replicator.send = send
        state.limits.connect(subscribe, send, parts.metrics.count_permit)
        state.streams.connect(subscribe, send)
        self.news.connect(subscribe, send)
        self.departures.connect(subscribe, send)
        self.pauses.connect(subscribe, send)
        parts.tell_pause = self.pauses.tell
        parts.note_load_change = self.loads.note_change
        parts.refresh_loads = self.loads.refresh

    async def run(self, ticker: Ticker) -> None:
        """Send what is due, until cancelled."""
        await asyncio.gather(
            self.loads.run(),
            self.news.run(ticker),
            self.departures.run(),
            self.pauses.run(),
        )
