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

"""Exchange of loads at upstreams between routers.

Each router reports its loads in datagrams a few times a second, and at once
when the prefill of a long prompt begins or ends. In a small fleet the reports
go to all other routers; in a large one, to the aggregator of the data centre,
which answers a query with the sum of the whole fleet before an engine is
chosen. A lost datagram is replaced by the next one. Reports expire after a
second or three report periods, whichever is longer, so that a failed router
keeps no upstream busy.
"""

import asyncio

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.load_exchange import uses_aggregation
from lifttrestle.internal.fleet.policy.report_pacing import MAX_QUERY_RATE
from lifttrestle.internal.fleet.policy.report_pacing import ReportPacer
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.fleet.state.aggregator_choice import AggregatorChoice
from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.load_aggregation import LoadAggregator
from lifttrestle.internal.fleet.state.load_aggregation import subtract_loads
from lifttrestle.internal.fleet.state.load_ledger import LoadLedger
from lifttrestle.internal.fleet.state.load_messages import FleetSum
from lifttrestle.internal.fleet.state.load_messages import GroupSum
from lifttrestle.internal.fleet.state.load_messages import LoadReport
from lifttrestle.internal.fleet.state.load_messages import UpstreamLoad
from lifttrestle.internal.fleet.state.peer_datagrams import PeerDatagrams
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import ROUTER_PREFIX
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.fleet.usage.ledger import UsageLedger
from lifttrestle.internal.fleet.usage.publisher import IDLE_SECONDS
from lifttrestle.internal.fleet.usage.publisher import UsagePublisher
from lifttrestle.internal.fleet.usage.roles import UsageRoles
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('peers')
# A report is fresh for at least this long, and for three report periods: a
# lost one must not make a busy upstream look idle.
FRESH_SECONDS = 1.0
FRESH_REPORTS = 3
# Period of the sums that an aggregator sends to the others. In a simulation of
# 195 routers and 59 engines at 0.9 of the prefill capacity, 0.985 of the
# requests were in time with a period of 0.05 s and 0.996 with this one, at
# 4,100 and 4,950 datagrams a second in the whole fleet.
SUM_SECONDS = 0.03
# A sum that was received within this time is used without a new query.
CURRENT_SECONDS = 0.01
# How long a placement decision waits for the sum. A query and its answer cross
# the data centre once each, 2 ms; the first token may take 500 ms.
ANSWER_SECONDS = 0.01
# Report period of a router without load in a large fleet; it still queries the
# sum before it chooses an engine. With 195 routers and 410 streams a second of
# 0.3 s, half of the routers have no load.
IDLE_REPORT_SECONDS = 1.0
# Sender under which the ledger keeps the sum of all other routers.
OTHER_ROUTERS = ''
# Own reports that are kept because a received sum may still include them:
# those of about two seconds.
MAX_OWN_REPORTS = 32


class PeerLoads(PeerDatagrams):
    """Reports the loads of this router and applies those of the others.

    :param vm: VM of this router.
    :param parts: shared parts that engines computed recently.
    """

    def __init__(
        self,
        vm: str,
        directory: UpstreamDirectory,
        roster: Roster,
        parts: SharedParts,
        clock: Clock,
        refusals: InputRefusals | None = None,
        usage: UsageLedger | None = None,
    ) -> None:
        super().__init__(roster, refusals)
        self._vm = vm
        self._parts = parts
        self._directory = directory
        self._clock = clock
        self._ledger = LoadLedger(directory, clock, self._get_fresh_seconds)
        self._number = 0
        self._reported_load = False
        self._own_reports: dict[int, list[UpstreamLoad]] = {}
        self._report_pacer = ReportPacer(clock)
        self._query_pacer = ReportPacer(clock, MAX_QUERY_RATE)
        self._queried_at = float('-inf')
        self._sum_received_at = float('-inf')
        self._sum_sender = ''
        self._sum_received = asyncio.Event()
        self._load_changed = asyncio.Event()
        self._aggregator = LoadAggregator(vm, self._get_fresh_seconds)
        self._choice = AggregatorChoice(roster, clock)
        if usage is None:
            usage = UsageLedger(clock, Promises(), dict)
        self._usage = usage
        self._usage_publisher = UsagePublisher(vm, self._usage, clock)
        self._usage_roles = UsageRoles(self._usage, roster, self._choice)
        self._report_received = asyncio.Event()
        self.add_handler(LoadReport, self._handle_report)
        self.add_handler(GroupSum, self._handle_group_sum)
        self.add_handler(FleetSum, self._handle_fleet_sum)

    @property
    def choice(self) -> AggregatorChoice:
        """Return the choice of this router's aggregator."""
        return self._choice

    def note_change(self) -> None:
        """Schedule a report after a large change of load."""
        self._load_changed.set()

    def _handle_report(self, report: LoadReport) -> None:
        if not report.for_aggregator:
            self.apply_report(report)
            return
        self._parts.note_reported(report.parts, self._clock.monotonic())
        self._aggregator.handle_report(report, self._clock.monotonic())
        self._usage_publisher.handle_member_report(
            report.vm, f'{ROUTER_PREFIX}{report.vm}', report.usage
        )
        self._report_received.set()
        if report.is_query:
            self._send_fleet_sum(report.vm)

    def _send_fleet_sum(self, vm: str) -> None:
        """Answer the query of a router with the sum of the fleet."""
        fleet_sum = self._aggregator.build_fleet_sum(
            vm,
            self._clock.monotonic(),
            self._usage_publisher.build_answer(vm),
        )
        if vm == self._vm:
            self._handle_fleet_sum(fleet_sum)
        else:
            self.send(fleet_sum, f'{ROUTER_PREFIX}{vm}')

    def _handle_group_sum(self, group: GroupSum) -> None:
        self._aggregator.handle_group_sum(group, self._clock.monotonic())
        data_centre = self._roster.get_data_centre(
            f'{ROUTER_PREFIX}{group.vm}'
        )
        self._usage_publisher.handle_report(group.vm, data_centre, group.usage)

    def _handle_fleet_sum(self, fleet_sum: FleetSum) -> None:
        """Apply a sum if it is from the aggregator of this router."""
        now = self._clock.monotonic()
        self._parts.note_reported(fleet_sum.parts, now)
        if self._choice.note_answer(f'{ROUTER_PREFIX}{fleet_sum.vm}'):
            own = self._own_reports.get(fleet_sum.included, [])
            rest = subtract_loads(fleet_sum.loads, own)
            if fleet_sum.vm != self._sum_sender:
                # Each aggregator numbers its sums independently.
                self._ledger.reset(OTHER_ROUTERS)
                self._sum_sender = fleet_sum.vm
            self._ledger.update(OTHER_ROUTERS, fleet_sum.number, rest)
            self._usage_publisher.handle_answer(fleet_sum.levels)
            self._sum_received_at = now
            self._sum_received.set()

    def apply_report(self, report: LoadReport) -> None:
        """Apply the report of a router unless a newer one has arrived."""
        self._parts.note_reported(report.parts, self._clock.monotonic())
        self._ledger.update(report.vm, report.number, report.loads)
        self._usage_publisher.handle_report(
            report.vm, f'{ROUTER_PREFIX}{report.vm}', report.usage
        )

    def get_report_seconds(self) -> float:
        """Return the period of the regular reports in seconds."""
        return self._report_pacer.get_regular_seconds(self._count_reporters())

    def _get_wait_seconds(self) -> float:
        """Return how long to wait for a large change before a report."""
        if uses_aggregation(self._roster.live) and not self._reported_load:
            return IDLE_SECONDS if self._usage.in_use else IDLE_REPORT_SECONDS
        return self.get_report_seconds()

    def _count_reporters(self) -> int:
        """Return the number of routers that report to the same receiver."""
        live = self._roster.live
        return (
            self._choice.count_neighbours() if uses_aggregation(live) else live
        )

    def _get_fresh_seconds(self) -> float:
        return max(FRESH_SECONDS, FRESH_REPORTS * self.get_report_seconds())

    async def run(self) -> None:
        """Send reports and aggregate those of others, until cancelled."""
        await asyncio.gather(self._run_reporting(), self._run_aggregation())

    async def _run_reporting(self) -> None:
        while True:
            regular = False
            try:
                async with asyncio.timeout(self._get_wait_seconds()):
                    await self._load_changed.wait()
            except TimeoutError:
                self._ledger.rebuild()
                self._usage_publisher.drop_inactive()
                regular = True
            pause = self._report_pacer.take(self._count_reporters())
            if pause:
                await self._clock.sleep(pause)
            self._load_changed.clear()
            # Regular queries detect a failed aggregator.
            self._send_report(is_query=regular)

    async def _run_aggregation(self) -> None:
        while True:
            await self._report_received.wait()
            self._report_received.clear()
            while self.send_sums():
                await self._clock.sleep(SUM_SECONDS)

    def send_sums(self) -> bool:
        """Send the sum of this group to the other aggregators.

        :return: whether any router reports to this one.
        """
        now = self._clock.monotonic()
        if not self._aggregator.list_members(now):
            return False
        group = self._aggregator.build_group_sum(
            now, self._usage_publisher.build_sum()
        )
        others = {
            f'{ROUTER_PREFIX}{vm}'
            for vm in self._aggregator.list_aggregators(now)
        }
        others.update(self._choice.list_candidates())
        others.discard(self._roster.key)
        for key in others:
            self.send(group, key)
        return True

    def is_current(self) -> bool:
        """Return whether the known loads are recent enough for a choice."""
        if not uses_aggregation(self._roster.live):
            return True
        return (
            self._clock.monotonic() - self._sum_received_at < CURRENT_SECONDS
        )

    def request_sum(self) -> None:
        """Query the sum unless a query is pending or the rate is exceeded."""
        now = self._clock.monotonic()
        pending = now - self._queried_at < ANSWER_SECONDS
        if pending and self._sum_received_at < self._queried_at:
            return
        if self._query_pacer.try_take(self._count_reporters()):
            self._send_report(is_query=True)

    async def refresh(self, workspace: Workspace | None = None) -> None:
        """Query the newest loads if needed, and wait briefly for them.

        Sums that were sent to each router every 0.05 s, without queries, kept
        only 0.945 of the requests in time instead of 0.996, and took 6,100
        datagrams a second instead of 4,950 (simulation of 195 routers and 59
        engines at 0.9 of the prefill capacity).

        :param workspace: workspace whose usage is needed as well.
        """
        if workspace is not None:
            self._usage.request_level(workspace)
        fresh = workspace is None or self._usage.is_level_fresh(workspace)
        if fresh and self.is_current():
            return
        self.request_sum()
        if self._sum_received_at >= self._queried_at:
            # This router is the aggregator, or the query rate is exceeded.
            return
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                await self._sum_received.wait()
        except TimeoutError:
            # The choice uses the last known loads. AggregatorChoice logs an
            # aggregator that stays silent.
            LOG.debug('peers.no_sum')

    def _send_report(self, *, is_query: bool = False) -> None:
        loads = [
            UpstreamLoad(
                upstream.digest, upstream.in_flight, upstream.unread_tokens
            )
            for upstream in self._directory
            if upstream.in_flight
        ]
        parts = self._parts.pop_unreported()
        self._usage_roles.update(self._choice.choose())
        if uses_aggregation(self._roster.live):
            self._send_to_aggregator(loads, parts, is_query=is_query)
            return
        idle = not loads and not parts and not self._reported_load
        if idle and not self._usage_publisher.is_due():
            # Expired and absent reports both mean no load.
            return
        self._reported_load = bool(loads)
        self._number += 1
        report = LoadReport(
            self._vm,
            self._number,
            loads,
            parts,
            usage=self._usage_publisher.build_report(),
        )
        for key in self._roster.list_others():
            self.send(report, key)

    def _send_to_aggregator(
        self, loads: list[UpstreamLoad], parts: list[int], *, is_query: bool
    ) -> None:
        """Send a report to the aggregator, which answers if it is a query."""
        self._number += 1
        key = self._choice.choose()
        report = LoadReport(
            self._vm,
            self._number,
            loads,
            parts,
            True,
            is_query,
            self._usage_publisher.build_report(key),
        )
        self._reported_load = bool(loads)
        self._own_reports[self._number] = loads
        self._own_reports.pop(self._number - MAX_OWN_REPORTS, None)
        if is_query:
            self._queried_at = self._clock.monotonic()
            self._sum_received.clear()
            self._choice.note_query()
        if key == self._roster.key:
            self._handle_report(report)
        else:
            self.send(report, key)
