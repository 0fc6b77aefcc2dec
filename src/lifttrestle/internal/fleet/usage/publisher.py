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

"""Tells other routers what workspaces were given here, and hears of them."""

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.usage.counts import Count
from lifttrestle.internal.fleet.usage.counts import ReceivedCounts
from lifttrestle.internal.fleet.usage.counts import UsageCounts
from lifttrestle.internal.fleet.usage.ledger import UsageLedger
from lifttrestle.internal.fleet.usage.messages import LevelEntry
from lifttrestle.internal.fleet.usage.messages import UsedEntry

# What a router that is gone has told is forgotten after this.
TELLER_SECONDS = 30.0
# Between two sums of a data centre. What others may use meanwhile is a tenth
# of a second's rate; told with each sum of loads it would be most of the
# bytes.
SUM_SECONDS = 0.1
# A router without work tells of itself this often; it counts as out of touch
# a little later.
IDLE_SECONDS = 0.25


class UsagePublisher:
    """Builds and takes the entries of one router's messages.

    Entries are ``None`` in a message that tells nothing of use: its teller
    may have used something since.

    :param vm: this router's.
    """

    def __init__(self, vm: str, ledger: UsageLedger, clock: Clock) -> None:
        self._vm = vm
        self._ledger = ledger
        self._clock = clock
        # Of the routers that tell this one to add up, itself among them.
        self._group = UsageCounts()
        self._tellers: dict[str, ReceivedCounts] = {}
        self._heard_at: dict[str, float] = {}
        self._told_at = float('-inf')
        self._summed_at = float('-inf')

    def is_due(self) -> bool:
        """Return whether others have to hear of this router, idle or not."""
        if not self._ledger.in_use:
            return False
        return self._clock.monotonic() - self._told_at >= IDLE_SECONDS

    def build_report(self) -> list[UsedEntry]:
        """Return what this router gave out lately."""
        now = self._clock.monotonic()
        self._told_at = now
        return self._build(self._ledger.counts, now)

    def build_sum(self) -> list[UsedEntry] | None:
        """Return what this router's group gave out, if that is to be told."""
        now = self._clock.monotonic()
        if now - self._summed_at < SUM_SECONDS:
            return None
        self._summed_at = now
        return self._build(self._group, now)

    def _build(self, counts: UsageCounts, now: float) -> list[UsedEntry]:
        return [
            self._build_entry(workspace, count)
            for workspace, count in counts.list_newest(now)
        ]

    def _build_entry(self, workspace: int, count: Count) -> UsedEntry:
        held = self._ledger.get_level(workspace)
        sure = held is not None and self._ledger.is_synced
        level = held.level if held is not None and sure else None
        return UsedEntry(workspace, count.serial, count.reported, level)

    def handle_report(
        self, vm: str, group: str, entries: list[UsedEntry] | None
    ) -> None:
        """Take in what one router used, to add it up by itself."""
        self._take(vm, group, entries, None)

    def handle_member_report(
        self, vm: str, group: str, entries: list[UsedEntry] | None
    ) -> None:
        """Take in what a router used that has its group's sum told."""
        self._take(vm, group, entries, self._group)

    def _take(
        self,
        vm: str,
        group: str,
        entries: list[UsedEntry] | None,
        counts: UsageCounts | None,
    ) -> None:
        if entries is None:
            return
        now = self._clock.monotonic()
        teller = self._tellers.setdefault(vm, ReceivedCounts())
        self._heard_at[vm] = now
        for entry in entries:
            units = teller.update(
                entry.workspace, entry.serial, entry.used, now
            )
            if counts is not None:
                counts.add(entry.workspace, units or 0.0, now)
            if vm == self._vm:
                # Counted when it was given out.
                continue
            if entry.level is not None:
                self._ledger.adopt(entry.workspace, entry.level)
            self._ledger.note_elsewhere(
                entry.workspace, group, units, entry.used
            )
        teller.has_baseline = True
        self._ledger.note_heard(group)

    def build_answer(self, vm: str) -> list[LevelEntry] | None:
        """Return what a router that asks has to know of its workspaces."""
        teller = self._tellers.get(vm)
        if teller is None:
            return None
        now = self._clock.monotonic()
        answer = []
        for workspace, held in teller.list_recent(now):
            level = self._ledger.get_level(workspace)
            if level is None:
                continue
            answer.append(
                LevelEntry(
                    workspace,
                    level.get_left(now),
                    held.serial,
                    held.used,
                    level.get_total_use(now),
                )
            )
        return answer

    def handle_answer(self, entries: list[LevelEntry] | None) -> None:
        """Go by what the router says that adds up for this one."""
        if entries is None or not self._ledger.uses_aggregator:
            return
        self._ledger.note_aggregator_heard()
        for entry in entries:
            count = self._ledger.counts.get(entry.workspace)
            same = count is not None and count.serial == entry.serial
            self._ledger.apply_aggregate(
                entry.workspace,
                entry.level,
                entry.included if same else 0.0,
                entry.use,
            )

    def drop_inactive(self) -> None:
        """Drop what is held of routers that tell nothing any more."""
        before = self._clock.monotonic() - TELLER_SECONDS
        for vm in [vm for vm, at in self._heard_at.items() if at < before]:
            del self._heard_at[vm]
            del self._tellers[vm]
        for teller in self._tellers.values():
            teller.drop_before(before)
