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

"""Exchanges the usage of workspaces with other routers."""

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.usage.counts import Count
from lifttrestle.internal.fleet.usage.counts import ReceivedCounts
from lifttrestle.internal.fleet.usage.counts import UsageCounts
from lifttrestle.internal.fleet.usage.ledger import UsageLedger
from lifttrestle.internal.fleet.usage.messages import LevelEntry
from lifttrestle.internal.fleet.usage.messages import UsedEntry

# Counts of a router that no longer reports are dropped after this time.
RETENTION_SECONDS = 30.0
# Interval between two usage sums of a data centre. In the meantime, other
# routers may use as much as the rate allows in a tenth of a second. If every
# sum of loads included the usage, it would make up most of the bytes.
SUM_SECONDS = 0.1
# Interval between the reports of an idle router, slightly less than the time
# after which a router without reports counts as unreachable.
IDLE_SECONDS = 0.25


class UsagePublisher:
    """Builds and handles the usage entries in messages of one router.

    Entries are ``None`` in a message that does not report usage; its sender
    may have used units since its last report.

    :param vm: VM of this router.
    """

    def __init__(self, vm: str, ledger: UsageLedger, clock: Clock) -> None:
        self._vm = vm
        self._ledger = ledger
        self._clock = clock
        # Counts of the routers that this one aggregates, itself included.
        self._group_counts = UsageCounts()
        self._senders: dict[str, ReceivedCounts] = {}
        self._received_at: dict[str, float] = {}
        self._reported_at = float('-inf')
        self._aggregator = ''
        self._sum_built_at = float('-inf')

    def is_due(self) -> bool:
        """Return whether a report is due even if this router is idle."""
        if not self._ledger.in_use:
            return False
        return self._clock.monotonic() - self._reported_at >= IDLE_SECONDS

    def build_report(self, aggregator: str = '') -> list[UsedEntry]:
        """Return the recent usage at this router.

        :param aggregator: key of the router that aggregates it, empty if all
            routers receive it.
        """
        now = self._clock.monotonic()
        self._reported_at = now
        counts = self._ledger.counts
        if aggregator != self._aggregator:
            counts.begin_anew(now)
            self._aggregator = aggregator
        return self._build(counts, now)

    def build_sum(self) -> list[UsedEntry] | None:
        """Return the recent usage of this router's group, None if not due."""
        now = self._clock.monotonic()
        if now - self._sum_built_at < SUM_SECONDS:
            return None
        self._sum_built_at = now
        return self._build(self._group_counts, now)

    def _build(self, counts: UsageCounts, now: float) -> list[UsedEntry]:
        return [
            self._build_entry(workspace, count)
            for workspace, count in counts.list_newest(now)
        ]

    def _build_entry(self, workspace: int, count: Count) -> UsedEntry:
        shared = self._ledger.get_level(workspace)
        reliable = shared is not None and self._ledger.is_synced
        level = shared.level if shared is not None and reliable else None
        count.sent = count.reported
        return UsedEntry(workspace, count.serial, count.reported, level)

    def handle_report(
        self, vm: str, group: str, entries: list[UsedEntry] | None
    ) -> None:
        """Handle a report that is not part of the sum of this router's group.

        :param vm: VM of the sender.
        :param group: name of the group in the ledger.
        """
        self._handle(vm, group, entries, None)

    def handle_member_report(
        self, vm: str, group: str, entries: list[UsedEntry] | None
    ) -> None:
        """Handle the report of a member of the group that this one aggregates.

        :param vm: VM of the sender.
        :param group: name of the group in the ledger.
        """
        self._handle(vm, group, entries, self._group_counts)

    def _handle(
        self,
        vm: str,
        group: str,
        entries: list[UsedEntry] | None,
        counts: UsageCounts | None,
    ) -> None:
        if entries is None:
            return
        now = self._clock.monotonic()
        sender = self._senders.setdefault(vm, ReceivedCounts())
        self._received_at[vm] = now
        for entry in entries:
            units = sender.update(
                entry.workspace, entry.serial, entry.used, now
            )
            if counts is not None:
                counts.add(entry.workspace, units or 0.0, now)
            if vm == self._vm:
                # Own usage was counted when it was charged.
                continue
            if entry.level is not None:
                self._ledger.adopt(entry.workspace, entry.level)
            self._ledger.note_group_use(
                entry.workspace, group, units, entry.used
            )
        sender.has_baseline = True
        self._ledger.note_report(group)

    def build_answer(self, vm: str) -> list[LevelEntry] | None:
        """Return the levels of the workspaces that a router reported recently.

        :param vm: VM of the router that sends the query.
        :returns: the levels, None if the router has never reported.
        """
        sender = self._senders.get(vm)
        if sender is None:
            return None
        now = self._clock.monotonic()
        answer = []
        for workspace, count in sender.list_recent(now):
            level = self._ledger.get_level(workspace)
            if level is None:
                continue
            answer.append(
                LevelEntry(
                    workspace,
                    level.get_remaining(now),
                    count.serial,
                    count.used,
                    level.get_total_use(now),
                    level.find_refill_share(),
                )
            )
        return answer

    def handle_answer(self, entries: list[LevelEntry] | None) -> None:
        """Apply an answer of the aggregator of this router."""
        if entries is None or not self._ledger.uses_aggregator:
            return
        self._ledger.note_aggregator_answer()
        for entry in entries:
            count = self._ledger.counts.get(entry.workspace)
            same = count is not None and count.serial == entry.serial
            self._ledger.apply_aggregate(
                entry.workspace,
                entry.level,
                entry.included if same else 0.0,
                entry.use,
                entry.refill_share,
            )

    def drop_inactive(self) -> None:
        """Drop the counts of routers that no longer report."""
        before = self._clock.monotonic() - RETENTION_SECONDS
        for vm in [vm for vm, at in self._received_at.items() if at < before]:
            del self._received_at[vm]
            del self._senders[vm]
        for sender in self._senders.values():
            sender.drop_before(before)
