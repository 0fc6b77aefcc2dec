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

"""A router process of a fleet: builds, runs and stops its components."""

import asyncio
from collections.abc import Coroutine
import random
import signal

import prometheus_client

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.control_tasks import ControlTasks
from lifttrestle.internal.fleet.gauges import GaugeSources
from lifttrestle.internal.fleet.gauges import register_gauges
from lifttrestle.internal.fleet.lateness_watch import LatenessWatch
from lifttrestle.internal.fleet.listeners import RouterListeners
from lifttrestle.internal.fleet.loads.engine_control import EngineControl
from lifttrestle.internal.fleet.loads.weights_loader import WeightsLoader
from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.dialect import RequestDialect
from lifttrestle.internal.fleet.path.handlers import ReadinessHandler
from lifttrestle.internal.fleet.peer_exchange import PeerExchange
from lifttrestle.internal.fleet.policy.cache_sources import CacheSources
from lifttrestle.internal.fleet.policy.retry_budget import SharedRetryBudget
from lifttrestle.internal.fleet.probing_tasks import probe_upstreams
from lifttrestle.internal.fleet.process_watches import watch_process
from lifttrestle.internal.fleet.settings import FleetSettings
from lifttrestle.internal.fleet.settings_follower import SettingsFollower
from lifttrestle.internal.fleet.settings_follower import SettingsReader
from lifttrestle.internal.fleet.shared_state import SharedState
from lifttrestle.internal.fleet.state.cache_stores import CacheStores
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.decoding import StoredFormat
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.relay_follower import RelayFollower
from lifttrestle.internal.fleet.state.relay_server import RelayServer
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.shutdown import Shutdown
from lifttrestle.internal.fleet.streams.start_check import StartCheck
from lifttrestle.internal.fleet.tunnels.dialler import TunnelDialler
from lifttrestle.internal.fleet.tunnels.opener import UpstreamOpener
from lifttrestle.internal.fleet.tunnels.server import TunnelServer
from lifttrestle.internal.fleet.usage.ledger import UsageLedger
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log
from lifttrestle.internal.telemetry.fleet_metrics import FleetMetrics

LOG = get_event_log('router')


class FleetRouterProcess:
    """A router that reads its configuration and upstreams from a store."""

    def __init__(
        self,
        settings: FleetSettings,
        clock: Clock,
        source: random.Random,
        store: RowStore,
        stored_format: StoredFormat,
        dialect: RequestDialect,
        control: EngineControl,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self.store = store
        self.ticker = Ticker(clock, source.random())
        self._lateness = LatenessWatch(clock)
        self._stop = asyncio.Event()
        self._follower = SettingsFollower(settings, self._apply_settings)
        self._control_tasks = ControlTasks(self._stop.set)
        metrics = FleetMetrics()
        refusals = InputRefusals(metrics.count_refused_input)
        state = SharedState(
            settings, store, stored_format, clock, source, refusals
        )
        self._view = state.view
        self._directory = state.directory
        self._watches = state.watches
        self._streams = state.streams
        self.roster = state.roster
        self.crashes = state.crashes
        self.limits = state.limits
        self.stores = CacheStores(clock)
        control.note_limit = self.limits.note_answer
        self._usage = UsageLedger(
            clock, settings.promises, lambda: self._view.caps
        )
        self._parts = FleetParts(
            settings=settings,
            clock=clock,
            source=source,
            dialect=dialect,
            view=self._view,
            operator_watch=self._watches.operator,
            directory=self._directory,
            sources=CacheSources(clock),
            stores=self.stores,
            roster=self.roster,
            metrics=metrics,
            shutdown=Shutdown(clock),
            crashes=self.crashes,
            usage=self._usage,
            limits=self.limits,
            streams=self._streams,
            confirm_start=StartCheck(control, self._directory, clock).confirm,
        )
        self._weights_loader = WeightsLoader(
            store,
            control,
            self._view,
            self._directory,
            state.weights_view,
            self.roster,
            settings.promises,
            clock,
            source,
            settings.vm,
        )
        self._peers = PeerExchange(state, self._parts, refusals)
        self._peer_loads = self._peers.loads
        self._peer_loads.choice.get_allowance = self._lateness.get_allowance
        watches = self._watches.list_all()
        self.relay_server = RelayServer(watches, clock)
        self.relays = RelayFollower(
            watches, self.roster, clock, self._lateness.get_allowance
        )
        self._dialler = TunnelDialler(self.roster, clock)
        self._directory.make_opener = lambda upstream, direct: UpstreamOpener(
            upstream, direct, self._dialler, clock
        )
        self.tunnel_server = TunnelServer(self._directory, self.roster, clock)
        self._peers.pauses.on_told = self.tunnel_server.announce_pause
        # A router that does not know the held requests yet would run them, and
        # one that does not know the limits yet would exceed them.
        self._readiness = ReadinessHandler(
            self._parts,
            {
                'routers not read': lambda: self._watches.routers.copy.loaded,
                'limits not known': self.limits.is_synced,
            },
        )
        self._listeners = RouterListeners(self._parts, self._readiness)
        state.on_catalogue = self._listeners.apply_limits
        register_gauges(
            self._parts.metrics,
            GaugeSources(
                self.store,
                self._watches.operator,
                self.roster,
                self._directory,
                self.relays,
                self.relay_server,
                self.tunnel_server,
                self._listeners.callers,
                self.crashes,
                self.limits,
                self._peers.news,
                self._lateness,
            ),
        )

    @property
    def directory(self) -> UpstreamDirectory:
        """Return the directory of known upstreams."""
        return self._directory

    def get_budget(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service."""
        return self._parts.get_budget(service)

    @property
    def registry(self) -> prometheus_client.CollectorRegistry:
        """Return the registry of this router's metrics."""
        return self._parts.metrics.registry

    @property
    def catalogue(self) -> Catalogue | None:
        """Return the configuration in force, None before the first one."""
        return self._view.catalogue

    @property
    def callers_address(self) -> Address:
        """Return where callers are served, once started."""
        return self._listeners.callers_address

    @property
    def ready_address(self) -> Address:
        """Return where readiness is served, once started."""
        return self._listeners.ready_address

    @property
    def busy(self) -> int:
        """Return the number of requests of callers in progress."""
        return self._listeners.callers.busy

    @property
    def settings(self) -> FleetSettings:
        """Return the settings in force."""
        return self._parts.settings

    def request_reload(self) -> None:
        """Request an immediate reload of the settings."""
        self._follower.request_reload()

    def is_ready(self) -> bool:
        """Return whether requests can be served."""
        return self._readiness.is_ready()

    async def run(self, *extra: Coroutine[None, None, None]) -> bool:
        """Serve until a signal or a fault.

        :param extra: further control tasks to run while the process serves.
        :return: whether no control task failed and every request was ended.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.request_reload)
        await self.start()
        self._control_tasks.start(*extra)
        await self._stop.wait()
        all_ended = await self.stop()
        return all_ended and not self._control_tasks.failed

    async def follow_settings(self, read: SettingsReader) -> None:
        """Apply the settings whenever they change, forever."""
        await self._follower.run(read)

    def _apply_settings(self, settings: FleetSettings) -> None:
        self._parts.settings = settings
        for budget in self._parts.budgets.values():
            budget.promises = settings.promises
        self._weights_loader.lease.promises = settings.promises
        self._usage.promises = settings.promises

    async def start(self) -> None:
        """Open the listeners and start the control tasks."""
        settings = self._settings
        await self._listeners.start()
        if settings.peers_address:
            peers = await self.relay_server.start(
                parse_address(settings.peers_address)
            )
            # Load reports are received as datagrams on the same address.
            await self._peer_loads.start(peers)
            self.roster.address = str(peers)
        if settings.tunnels_address:
            tunnels = await self.tunnel_server.start(
                parse_address(settings.tunnels_address)
            )
            self.roster.tunnel_address = str(tunnels)
        LOG.info(
            'router.started',
            callers=str(self.callers_address),
            ready=str(self.ready_address),
            data_centre=settings.data_centre,
        )
        self._control_tasks.start(
            self.relays.run(self.ticker),
            self.relay_server.run(self.ticker),
            *(watch.run() for watch in self._watches.list_all()),
            self.roster.run(),
            self._weights_loader.run(self.ticker),
            watch_process(self.ticker, self._lateness, self._readiness),
            probe_upstreams(
                self.ticker,
                self._clock,
                self._directory,
                self.stores,
                self._dialler,
                self.crashes.losses,
            ),
            self._peers.run(self.ticker),
            self.crashes.run(self.ticker),
            self.limits.run(self.ticker),
            self._streams.run(self.ticker),
        )

    async def stop(self) -> bool:
        """Stop gracefully; return whether every request was ended."""
        self.tunnel_server.announce_stop()
        all_ended = await self._listeners.stop_callers()
        await self.tunnel_server.stop(self._parts.shutdown.get_abort_seconds())
        await self._listeners.stop_others()
        await self._control_tasks.cancel()
        self._peer_loads.close()
        await self.relay_server.close()
        self._directory.close()
        self.stores.close()
        self.store.close()
        return all_ended
