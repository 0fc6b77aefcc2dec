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

"""What the other routers have under way at each upstream.

Each router tells its loads a few times a second over datagrams, and at once
when an engine begins or ends to read a long prompt for it: all others in a
small fleet, one of its data centre that adds up in a large one. That one
answers with the sum of the whole fleet when it is asked, before an engine is
chosen. A datagram that is lost is made up for by the next; what is older than
a second counts for nothing, so that a router that is gone holds no upstream
busy.
"""

import asyncio

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.load_paths import uses_aggregation
from lifttrestle.internal.fleet.policy.tell_pacing import MAX_QUERY_RATE
from lifttrestle.internal.fleet.policy.tell_pacing import ReportPacer
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.fleet.state.aggregator_choice import AggregatorChoice
from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.load_aggregation import LoadAggregator
from lifttrestle.internal.fleet.state.load_aggregation import take_off
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
# What is told counts for at least this long, and for three regular reports:
# one that is lost must not make a busy upstream look idle.
FRESH_SECONDS = 1.0
FRESH_TELLS = 3
# Between two sums of a data centre that are told to the others. With 195
# routers before 59 engines at 0.9 of what they can read 0.985 of the callers
# are in time with a sum every 0.05 s and 0.996 with this, at 4,100 and 4,950
# datagrams a second of all routers together (played load).
SUM_SECONDS = 0.03
# A sum that was heard within this time is not asked for again.
CURRENT_SECONDS = 0.01
# A choice waits so long for the sum. The answer takes two ways within the
# data centre, 2 ms, and a first piece may take 500 ms.
ANSWER_SECONDS = 0.01
# A router of a large fleet that has nothing under way tells so this often; it
# asks for the sum when it chooses. Of 195 routers before 410 streams a second
# of 0.3 s half have nothing under way.
IDLE_TELL_SECONDS = 1.0
# The fleet's sum is held like the report of one router more.
FLEET = ''
# Own reports that a sum may yet include: those of some two seconds.
REMEMBERED_REPORTS = 32


class PeerLoads(PeerDatagrams):
    """Tells this router's loads and keeps what the others told."""

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
        self._told_something = False
        self._own_reports: dict[int, list[UpstreamLoad]] = {}
        self._pacing = ReportPacer(clock)
        self._asking = ReportPacer(clock, MAX_QUERY_RATE)
        self._asked_at = float('-inf')
        self._heard_at = float('-inf')
        self._summed_by = ''
        self._answered = asyncio.Event()
        self._changed = asyncio.Event()
        self._aggregator = LoadAggregator(vm, self._get_fresh_seconds)
        self._choice = AggregatorChoice(roster, clock)
        if usage is None:
            usage = UsageLedger(clock, Promises(), dict)
        self._usage = usage
        self._usage_telling = UsagePublisher(vm, self._usage, clock)
        self._usage_roles = UsageRoles(self._usage, roster, self._choice)
        self._asked_for_sums = asyncio.Event()
        self.hear(LoadReport, self._take_report)
        self.hear(GroupSum, self._take_group_sum)
        self.hear(FleetSum, self._take_fleet_sum)

    def note_change(self) -> None:
        """Tell the others soon: a load has changed by a lot."""
        self._changed.set()

    def _take_report(self, report: LoadReport) -> None:
        if not report.summed:
            self.note(report)
            return
        self._parts.note_reported(report.parts, self._clock.monotonic())
        self._aggregator.take_report(report, self._clock.monotonic())
        self._usage_telling.handle_member_report(
            report.vm, f'{ROUTER_PREFIX}{report.vm}', report.usage
        )
        self._asked_for_sums.set()
        if report.asks:
            self._answer(report.vm)

    def _answer(self, vm: str) -> None:
        """Tell a router that asks what all have under way."""
        whole = self._aggregator.build_fleet_sum(
            vm,
            self._clock.monotonic(),
            self._usage_telling.build_answer(vm),
        )
        if vm == self._vm:
            self._take_fleet_sum(whole)
        else:
            self.send(whole, f'{ROUTER_PREFIX}{vm}')

    def _take_group_sum(self, group: GroupSum) -> None:
        self._aggregator.take_group(group, self._clock.monotonic())
        data_centre = self._roster.get_data_centre(
            f'{ROUTER_PREFIX}{group.vm}'
        )
        self._usage_telling.handle_report(group.vm, data_centre, group.usage)

    def _take_fleet_sum(self, whole: FleetSum) -> None:
        """Believe the sum of the router that this one tells its loads."""
        now = self._clock.monotonic()
        self._parts.note_reported(whole.parts, now)
        if self._choice.note_heard(f'{ROUTER_PREFIX}{whole.vm}'):
            own = self._own_reports.get(whole.included, [])
            rest = take_off(whole.loads, own)
            if whole.vm != self._summed_by:
                # Each counts its sums by itself.
                self._ledger.forget(FLEET)
                self._summed_by = whole.vm
            self._ledger.believe(FLEET, whole.number, rest)
            self._usage_telling.handle_answer(whole.levels)
            self._heard_at = now
            self._answered.set()

    def note(self, report: LoadReport) -> None:
        """Believe a router's report, unless a newer one overtook it."""
        self._parts.note_reported(report.parts, self._clock.monotonic())
        self._ledger.believe(report.vm, report.number, report.loads)
        self._usage_telling.handle_report(
            report.vm, f'{ROUTER_PREFIX}{report.vm}', report.usage
        )

    def get_tell_seconds(self) -> float:
        """Return the time between two regular reports of this router."""
        return self._pacing.get_regular_seconds(self._count_tellers())

    def _get_regular_seconds(self) -> float:
        """Return the time until the next report if no load changes a lot."""
        if uses_aggregation(self._roster.live) and not self._told_something:
            return IDLE_SECONDS if self._usage.in_use else IDLE_TELL_SECONDS
        return self.get_tell_seconds()

    def _count_tellers(self) -> int:
        """Return how many routers tell their loads to the same one."""
        live = self._roster.live
        return (
            self._choice.count_neighbours() if uses_aggregation(live) else live
        )

    def _get_fresh_seconds(self) -> float:
        return max(FRESH_SECONDS, FRESH_TELLS * self.get_tell_seconds())

    async def run(self) -> None:
        """Tell the others, and add up for those that ask, for ever."""
        await asyncio.gather(self._run_telling(), self._run_summing())

    async def _run_telling(self) -> None:
        while True:
            regular = False
            try:
                async with asyncio.timeout(self._get_regular_seconds()):
                    await self._changed.wait()
            except TimeoutError:
                self._ledger.sum_up()
                self._usage_telling.drop_inactive()
                regular = True
            pause = self._pacing.take(self._count_tellers())
            if pause:
                await self._clock.sleep(pause)
            self._changed.clear()
            # A regular question finds out whether the other one lives.
            self._tell(asks=regular)

    async def _run_summing(self) -> None:
        while True:
            await self._asked_for_sums.wait()
            self._asked_for_sums.clear()
            while self.tell_sums():
                await self._clock.sleep(SUM_SECONDS)

    def tell_sums(self) -> bool:
        """Tell this group's sum to the others; return if there is one."""
        now = self._clock.monotonic()
        if not self._aggregator.list_members(now):
            return False
        group = self._aggregator.build_group_sum(
            now, self._usage_telling.build_sum()
        )
        others = {
            f'{ROUTER_PREFIX}{vm}'
            for vm in self._aggregator.list_aggregators(now)
        }
        others.update(self._choice.list_all())
        others.discard(self._roster.key)
        for key in others:
            self.send(group, key)
        return True

    def is_current(self) -> bool:
        """Return whether a choice can go by what was told."""
        if not uses_aggregation(self._roster.live):
            return True
        return self._clock.monotonic() - self._heard_at < CURRENT_SECONDS

    def ask(self) -> None:
        """Ask for the sum, unless that is under way or was done too often."""
        now = self._clock.monotonic()
        under_way = now - self._asked_at < ANSWER_SECONDS
        if under_way and self._heard_at < self._asked_at:
            return
        if self._asking.try_take(self._count_tellers()):
            self._tell(asks=True)

    async def learn(self, workspace: Workspace | None = None) -> None:
        """Wait a moment for the newest loads, if they are to be asked for.

        :param workspace: whose use of its cap is to be known, too.

        Sums that each router was told every 0.05 s, asked for or not, left
        0.945 of the callers in time in place of 0.996, at 6,100 datagrams a
        second in place of 4,950 (played load, 195 routers before 59 engines
        at 0.9 of what they can read).
        """
        if workspace is not None:
            self._usage.request_level(workspace)
        known = workspace is None or self._usage.is_level_fresh(workspace)
        if known and self.is_current():
            return
        self.ask()
        if self._heard_at >= self._asked_at:
            # It adds up itself, or it has asked too often.
            return
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                await self._answered.wait()
        except TimeoutError:
            # What was heard before is the best there is; a router that does
            # not answer at all is told of when another one is chosen.
            LOG.debug('peers.no_sum')

    def _tell(self, *, asks: bool = False) -> None:
        loads = [
            UpstreamLoad(
                upstream.digest, upstream.in_flight, upstream.unread_tokens
            )
            for upstream in self._directory
            if upstream.in_flight
        ]
        parts = self._parts.pop_updates()
        self._usage_roles.update(self._choice.choose())
        if uses_aggregation(self._roster.live):
            self._tell_aggregator(loads, parts, asks=asks)
            return
        idle = not loads and not parts and not self._told_something
        if idle and not self._usage_telling.is_due():
            # Without work there is nothing to tell, and silence says so.
            return
        self._told_something = bool(loads)
        self._number += 1
        report = LoadReport(
            self._vm,
            self._number,
            loads,
            parts,
            usage=self._usage_telling.build_report(),
        )
        for key in self._roster.list_others():
            self.send(report, key)

    def _tell_aggregator(
        self, loads: list[UpstreamLoad], parts: list[int], *, asks: bool
    ) -> None:
        """Tell the router that adds up, which answers if it is asked."""
        self._number += 1
        report = LoadReport(
            self._vm,
            self._number,
            loads,
            parts,
            True,
            asks,
            self._usage_telling.build_report(),
        )
        self._told_something = bool(loads)
        self._own_reports[self._number] = loads
        self._own_reports.pop(self._number - REMEMBERED_REPORTS, None)
        key = self._choice.choose()
        if asks:
            self._asked_at = self._clock.monotonic()
            self._answered.clear()
            self._choice.note_asked()
        if key == self._roster.key:
            self._take_report(report)
        else:
            self.send(report, key)
