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

"""Decides which holds begin and end, and who writes their rows."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.crashes.crash_row import StoredRecord
from lifttrestle.internal.fleet.crashes.held_row import build_held_row
from lifttrestle.internal.fleet.crashes.held_row import format_digest
from lifttrestle.internal.fleet.crashes.held_row import HeldRow
from lifttrestle.internal.fleet.crashes.hold_judge import HoldJudge
from lifttrestle.internal.fleet.crashes.hold_rules import CRASH_LIMIT
from lifttrestle.internal.fleet.crashes.holds import HoldRows
from lifttrestle.internal.fleet.crashes.ledger import CrashLedger
from lifttrestle.internal.fleet.crashes.lost_origins import LostOrigins
from lifttrestle.internal.fleet.crashes.messages import CrashItem
from lifttrestle.internal.fleet.crashes.replicator import CrashReplicator
from lifttrestle.internal.fleet.crashes.suspects import get_kind
from lifttrestle.internal.fleet.crashes.suspects import get_kind_name
from lifttrestle.internal.fleet.crashes.suspects import SuspectKind
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('crashes')
# Delay between the detection of a dangerous request and the write of its row.
# A router that has seen the request succeed replies within some milliseconds.
WRITE_DELAY_SECONDS = 0.2
# Delay after which the owners of the request write the row if the routers
# that saw the crashes have not.
OWNER_DELAY_SECONDS = 1.0


class HoldDecisions(HoldJudge):
    """Begins and ends holds as the ledger's verdicts change.

    :param ledger: the crashes under requests and parts.
    :param origins: where the lost requests came from.
    :param replicator: sends crash records to other routers.
    :ivar holds: persistent rows of held requests.
    :ivar on_lifted: called with the digest of a request whose row was removed.
    """

    def __init__(
        self,
        vm: str,
        store: RowStore,
        clock: Clock,
        refusals: InputRefusals,
        ledger: CrashLedger,
        origins: LostOrigins,
        replicator: CrashReplicator,
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._ledger = ledger
        self._origins = origins
        self._replicator = replicator
        # What the ledger found guilty when holds were last begun and ended.
        self._guilty: frozenset[int] = frozenset()
        self.holds = HoldRows(store, clock, refusals, self)
        self.on_lifted: Callable[[int], None] = _ignore

    def apply_verdicts(self, received: Iterable[CrashItem] = ()) -> None:
        """Begin and end holds if other requests or parts are guilty now.

        :param received: the records of another router that were just merged.
        """
        items = {item.digest: item for item in received}
        self._apply(items, lambda digest: self._is_news(items[digest]))

    def apply_stored(self, records: Iterable[StoredRecord]) -> None:
        """Begin and end holds after a row was merged.

        All routers merge it, so that only the owners tell others.
        """
        digests = {record.digest for record in records}
        self._apply(digests, self._replicator.is_owner)

    def _apply(
        self, learned: Container[int], is_news: Callable[[int], bool]
    ) -> None:
        """Begin and end holds if other requests or parts are guilty now.

        :param learned: digests of the records that were just merged.
        :param is_news: returns whether a hold of one of them is news to
            others.
        """
        guilty = self._ledger.guilty
        if guilty == self._guilty:
            return
        before, self._guilty = self._guilty, guilty
        for digest in sorted(before - guilty):
            # A record that was evicted tells nothing; the row stays.
            if self._ledger.has_record(digest):
                self._end_hold(digest)
        for digest in sorted(guilty - before):
            is_learned = digest in learned
            if not is_learned or is_news(digest):
                self._replicator.queue_update(digest)
            self._begin_hold(digest, is_learned)

    def _end_hold(self, digest: int) -> None:
        """Cancel the scheduled write, or remove the written row."""
        if digest in self._origins:
            self._replicator.queue_update(digest)
        if self._writes_row(digest):
            self.holds.schedule_write(digest, 0.0, None)

    def _begin_hold(self, digest: int, is_learned: bool) -> None:
        """Hold a request or part.

        :param is_learned: whether another router has made it known.
        """
        origin = self._origins.get(digest)
        crashed = self._ledger.count_crashed(digest)
        LOG.warning(
            'hold.begun',
            digest=format_digest(digest),
            kind=get_kind_name(digest),
            crashed=crashed,
            workspace=origin.workspace,
            route=origin.route,
        )
        if not self._writes_row(digest):
            # Other routers write the row. If all did, the whole fleet would
            # retry its writes at an unavailable store.
            return
        delay = OWNER_DELAY_SECONDS if is_learned else WRITE_DELAY_SECONDS
        row = build_held_row(
            self._clock, origin.workspace, origin.route, crashed, self._vm
        )
        self.holds.schedule_write(digest, delay, row)

    def _is_news(self, received: CrashItem) -> bool:
        """Return whether a hold is new to the router that sent a record.

        It is if this router has added up the crashes, or has judged a part
        against others as one of the owners.
        """
        if get_kind(received.digest) is SuspectKind.REQUEST:
            return len(received.crashed) < CRASH_LIMIT
        return self._replicator.is_owner(received.digest)

    def _writes_row(self, digest: int) -> bool:
        """Return whether this router writes the row of a request or part."""
        return digest in self._origins or self._replicator.is_owner(digest)

    def must_hold(self, digest: int) -> bool:
        """Return whether crashes speak against a request or part."""
        return self._ledger.is_dangerous(digest)

    def handle_lost(self, digest: int, row: HeldRow) -> None:
        """Schedule a new write of a lost row.

        The router that wrote the row writes it at once; the owners of the
        request write it later, in case that router is gone.
        """
        if row.by == self._vm:
            self.holds.schedule_repair(digest, 0.0, row)
        elif self._replicator.is_owner(digest):
            self.holds.schedule_repair(digest, OWNER_DELAY_SECONDS, row)

    def handle_undeleted(self, digest: int) -> None:
        """Schedule the removal of an undeleted row."""
        if self._replicator.is_owner(digest):
            self.holds.schedule_repair(digest, 0.0, None)

    def handle_lifted(self, digest: int) -> None:
        """Clear a request whose row was removed."""
        self.on_lifted(digest)
        self._ledger.clear(digest)
        self.apply_verdicts()


def _ignore(digest: int) -> None:
    """Do nothing; the default callback."""
