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

"""A router process: builds its parts, runs them and stops gracefully."""

import asyncio
import logging
import pathlib
import random
import signal
import ssl

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.admission.gate import AdmissionGate
from lifttrestle.internal.admission.retries import RetryBudget
from lifttrestle.internal.admission.workspaces import WorkspaceLimits
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.guarded import GuardedClock
from lifttrestle.internal.configuration.keeper import ConfigurationKeeper
from lifttrestle.internal.configuration.store import ConfigurationStore
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.answer import Header
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.http.memory_budget import MemoryBudget
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.membership.exchange import exchange_forever
from lifttrestle.internal.membership.exchange import PeerExchange
from lifttrestle.internal.membership.member import Member
from lifttrestle.internal.membership.peers import Peers
from lifttrestle.internal.membership.sponsorship import Sponsorship
from lifttrestle.internal.operators.handler import OperatorHandler
from lifttrestle.internal.operators.intent import IntentService
from lifttrestle.internal.operators.tokens import load_tokens
from lifttrestle.internal.orders.lease import Lease
from lifttrestle.internal.orders.loader import Loader
from lifttrestle.internal.replay.recorder import TraceRecorder
from lifttrestle.internal.router.background import BackgroundTasks
from lifttrestle.internal.router.caller_handler import CallerHandler
from lifttrestle.internal.router.caller_handler import make_request_id
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.planned_stop import PlannedStop
from lifttrestle.internal.router.readiness import Readiness
from lifttrestle.internal.router.recent_durations import RecentDurations
from lifttrestle.internal.router.stop_sequence import StopSequence
from lifttrestle.internal.routing.nested import NestedPolicy
from lifttrestle.internal.runrecord.ledger import RunLedger
from lifttrestle.internal.settings.router import RouterSettings
from lifttrestle.internal.settings.upstream import UpstreamKind
from lifttrestle.internal.store.http_objects import HttpObjects
from lifttrestle.internal.store.http_table import HttpTable
from lifttrestle.internal.store.http_vms import HttpVms
from lifttrestle.internal.telemetry.decisions import DecisionLog
from lifttrestle.internal.telemetry.statsd_client import StatsdClient
from lifttrestle.internal.upstream.prober import Prober
from lifttrestle.internal.upstream.registry import UpstreamRegistry
from lifttrestle.internal.upstream.standard_driver import StandardDriver

LOG = logging.getLogger('lifttrestle.router')
BUCKET = 'lifttrestle'
START_POLL_SECONDS = 0.02
LOADER_LEASE_SECONDS = 10.0


class RouterProcess:
    """A router: servers for callers and operators, and control tasks.

    :param source: a source of randomness for choices and ids.
    :param record: file for a trace of the requests, or None for no trace.
    """

    def __init__(
        self,
        settings: RouterSettings,
        clock: Clock,
        source: random.Random,
        record: pathlib.Path | None = None,
    ) -> None:
        self._trace_path = record
        self._settings = settings
        self._clock = GuardedClock(clock, settings.control.clock_error_seconds)
        self._source = source
        self._stop = asyncio.Event()
        self._planned_stop = PlannedStop()
        self._immediate_stop = asyncio.Event()
        self._control: list[asyncio.Task[None]] = []
        self._control_failed = False
        self._signalled = False
        self._build_control()
        self._build_servers()

    def _build_control(self) -> None:
        settings = self._settings
        self._table = HttpTable(self._make_client(settings.platform.table))
        objects = HttpObjects(
            self._make_client(settings.platform.objects), BUCKET
        )
        self._vms = HttpVms(self._make_client(settings.platform.vms))
        self._store = ConfigurationStore(self._table, objects)
        self._sponsorship = Sponsorship()
        instance = make_request_id(self._source)
        self._peers = Peers(self._clock, instance)
        listen = parse_address(settings.listen.peers)
        self._member = Member(
            instance=instance,
            name=settings.router.name,
            vm=settings.router.vm,
            data_centre=settings.router.data_centre,
            peers=str(listen),
        )
        self._keeper = ConfigurationKeeper(
            self._store,
            self._member,
            settings.control.table_poll_seconds,
            self._sponsorship,
        )
        self._exchange = PeerExchange(
            self._member,
            self._keeper,
            self._peers,
            self._sponsorship,
            settings.peers.seeds,
            self._source,
        )
        self._readiness = Readiness(
            self._keeper, self._exchange, self._clock, self._planned_stop
        )

    def _build_servers(self) -> None:
        settings = self._settings
        metrics = StatsdClient(settings.statsd)
        self._parts = RouterParts(
            settings=settings,
            clock=self._clock,
            source=self._source,
            keeper=self._keeper,
            peers=self._peers,
            registry=UpstreamRegistry(settings, self._clock),
            driver=StandardDriver(),
            policy=NestedPolicy(self._source),
            limits=WorkspaceLimits(self._clock),
            gate=AdmissionGate(
                settings.admission.running,
                settings.admission.queue,
                self._clock,
            ),
            budget=RetryBudget(settings.admission.retry_share),
            ledger=RunLedger(self._table, self._clock, settings.router.name),
            decisions=DecisionLog(),
            metrics=metrics,
            background=BackgroundTasks(),
            stop=self._planned_stop,
            needed=RecentDurations(self._clock),
            memory=MemoryBudget(settings.http.memory_bytes),
            recorder=self._make_recorder(),
        )
        intent = IntentService(
            self._store, self._keeper, self._clock, self._source
        )
        operators = OperatorHandler(
            self._parts,
            self._readiness,
            intent,
            load_tokens(settings.operators.tokens_file),
        )
        tls = settings.tls
        self._callers_server = HttpServer(
            CallerHandler(self._parts, self._readiness).handle,
            settings.http,
            _load_tls(tls.callers_certificate, tls.callers_key),
            self._parts.memory,
        )
        self._operators_server = HttpServer(
            operators.handle,
            settings.http,
            _load_tls(tls.operators_certificate, tls.operators_key),
            self._parts.memory,
        )

    def _make_loader(self) -> Loader:
        settings = self._settings
        data_centre = settings.router.data_centre
        lease = Lease(
            self._table,
            self._clock,
            f'loader/{data_centre}',
            self._member.instance,
            LOADER_LEASE_SECONDS,
            settings.control.clock_error_seconds,
        )
        return Loader(
            lease,
            self._keeper,
            self._store,
            self._parts.registry,
            self._parts.driver,
            self._clock,
            data_centre,
        )

    def _make_recorder(self) -> TraceRecorder | None:
        if self._trace_path is None:
            return None
        engines = [
            item
            for item in self._settings.upstream
            if item.kind is UpstreamKind.ENGINE
        ]
        return TraceRecorder(
            self._trace_path,
            f'recorded by {self._settings.router.name}',
            len(engines),
            self._clock.monotonic(),
        )

    async def run(self) -> bool:
        """Serve until a signal or a fault, then stop gracefully.

        :return: whether every request was ended and no control task failed.
        """
        self._add_signal_handlers()
        listen = self._settings.listen
        peers = self._exchange.start(parse_address(listen.peers))
        self._keeper.set_peers_address(str(peers))
        self._exchange.set_member(self._keeper.member)
        callers = await self._callers_server.start(
            parse_address(listen.callers)
        )
        operators = await self._operators_server.start(
            parse_address(listen.operators)
        )
        self._start_control()
        await self._wait_until_ready()
        if not self._stop.is_set():
            LOG.info(
                'router: ready callers=%s operators=%s peers=%s',
                callers,
                operators,
                peers,
            )
        await self._stop.wait()
        all_ended = await self._shut_down()
        return all_ended and not self._control_failed

    def _start_control(self) -> None:
        exchange_seconds = self._settings.peers.exchange_seconds
        coroutines = [
            self._keeper.run(),
            self._poll_vms(),
            self._exchange.answer_greetings(),
            self._make_loader().run(),
            exchange_forever(
                self._exchange, self._clock.monotonic, exchange_seconds
            ),
        ]
        for upstream in self._parts.registry:
            prober = Prober(
                upstream, self._parts.driver, self._settings, self._clock
            )
            if upstream.settings.can.reports_state:
                coroutines.append(prober.run())
        self._control = [asyncio.create_task(item) for item in coroutines]
        for task in self._control:
            task.add_done_callback(self._handle_control_end)

    def _handle_control_end(self, task: asyncio.Task[None]) -> None:
        # Without one of its control tasks, a router would serve with stale
        # data unnoticed. So it stops, whatever has ended the task.
        error = None if task.cancelled() else task.exception()
        LOG.critical('router: a control task failed', exc_info=error)
        self._control_failed = True
        self._stop.set()

    async def _wait_until_ready(self) -> None:
        while not self._readiness.can_serve() and not self._stop.is_set():
            await asyncio.sleep(START_POLL_SECONDS)

    async def _poll_vms(self) -> None:
        while True:
            try:
                vms = await self._vms.list_vms()
                self._keeper.platform_status.vms = vms
                self._parts.registry.apply_vms(vms)
                self._sponsorship.drop_gone(set(vms))
            except PlatformUnavailable as error:
                LOG.debug('router: VM list unavailable: %s', error)
            await asyncio.sleep(self._settings.control.vms_poll_seconds)

    async def _shut_down(self) -> bool:
        LOG.info(
            'router: stopping, %d requests in progress',
            self._callers_server.busy,
        )
        self._exchange.leaving = True
        sequence = StopSequence(
            self._parts,
            self._callers_server,
            self._operators_server,
            self._deregister,
            self._immediate_stop,
        )
        all_ended = await sequence.run()
        self._exchange.stop()
        self._parts.registry.close()
        if self._parts.recorder is not None:
            self._parts.recorder.close()
        LOG.info('router: stopped, every request ended: %s', all_ended)
        return all_ended

    async def _deregister(self) -> None:
        """Cancel the control tasks and leave the list of routers.

        The routers in the list have to acknowledge changes.
        """
        for task in self._control:
            task.remove_done_callback(self._handle_control_end)
            task.cancel()
        await asyncio.gather(*self._control, return_exceptions=True)
        await self._keeper.deregister()

    def _add_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._handle_stop_signal)
        # By default, SIGHUP would terminate the process and its requests.
        loop.add_signal_handler(signal.SIGHUP, _handle_hangup)

    def _handle_stop_signal(self) -> None:
        if self._signalled:
            LOG.warning('router: second stop signal, ending all requests now')
            self._immediate_stop.set()
        self._signalled = True
        self._stop.set()

    def _make_client(self, address: str) -> JsonClient:
        platform = self._settings.platform
        return JsonClient(
            parse_address(address),
            self._clock,
            platform.timeout_seconds,
            headers=_read_platform_token(platform.token_file),
        )


def _handle_hangup() -> None:
    LOG.warning(
        'router: SIGHUP ignored: settings are read at startup only; stop with'
        ' SIGTERM and start again to apply changes'
    )


def _read_platform_token(path: str) -> tuple[Header, ...]:
    if not path:
        return ()
    token = pathlib.Path(path).read_text(encoding='utf-8').strip()
    return (('authorization', f'Bearer {token}'),)


def _load_tls(certificate: str, key: str) -> ssl.SSLContext | None:
    if not certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(certificate, key)
    return context
