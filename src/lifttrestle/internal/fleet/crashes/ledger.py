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

"""Records of the requests and prompt parts under which upstreams crashed.

Merging records is commutative and idempotent, because the messages by which
routers exchange them may be lost, duplicated or reordered.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import types

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.crashes.crash_row import KnownCrashes
from lifttrestle.internal.fleet.crashes.hold_rules import CRASH_LIMIT
from lifttrestle.internal.fleet.crashes.hold_rules import HOLD_SECONDS
from lifttrestle.internal.fleet.crashes.hold_rules import is_dangerous
from lifttrestle.internal.fleet.crashes.messages import CrashItem
from lifttrestle.internal.fleet.crashes.suspects import get_kind
from lifttrestle.internal.fleet.crashes.suspects import SuspectKind
from lifttrestle.internal.fleet.crashes.verdicts import judge
from lifttrestle.internal.fleet.crashes.verdicts import PART_CRASH_LIMIT
from lifttrestle.internal.fleet.crashes.verdicts import Suspect
from lifttrestle.internal.fleet.crashes.verdicts import Verdicts

# Maximum number of records, about 500 bytes each. A crashed engine runs about
# 20 requests, so 4,096 records cover 200 crashes.
MAX_RECORDS = 4096
# Maximum number of crashed and of retracted starts in one record.
MAX_STARTS = 64
# Maximum number of retracted starts in a message, whose size is bounded.
MAX_TOLD_STARTS = 16
# Fewer crashes neither make anything guilty nor explain other crashes.
LEAST_CRASHES = min(CRASH_LIMIT, PART_CRASH_LIMIT)
# Crashes expire, so verdicts are renewed after this time without changes.
VERDICT_SECONDS = 1.0
# In this time, first parts that are in use succeed at some router.
YOUNG_SECONDS = 10.0
# Maximum number of remembered successes, about 100 bytes each: those of at
# least the last minute at the 50 requests per second that one router serves.
MAX_SUCCEEDED = 4096
NO_TIMES: Mapping[int, float] = types.MappingProxyType({})


@dataclasses.dataclass
class CrashRecord:
    """Crashes and successes of one request or part.

    :ivar crashed: detection time of each crash, monotonic seconds by digest
        of the start that crashed.
    :ivar retracted: digests of starts whose crashes no longer count, the
        oldest first.
    :ivar succeeded: whether it has ever succeeded at any router.
    """

    crashed: dict[int, float] = dataclasses.field(default_factory=dict)
    retracted: dict[int, None] = dataclasses.field(default_factory=dict)
    succeeded: bool = False


class CrashLedger:
    """Bounded collection of crash records that evicts the oldest."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: collections.OrderedDict[int, CrashRecord] = (
            collections.OrderedDict()
        )
        # Digests of the records that are judged.
        self._candidates: set[int] = set()
        self._verdicts = Verdicts()
        self._judged_at = self._began_at = clock.monotonic()
        self._is_changed = False
        # An ordered set, in the order of the last success.
        self._succeeded: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def note_crashes(
        self,
        digest: int,
        starts: Iterable[int],
        crashed_at: Mapping[int, float] = NO_TIMES,
    ) -> bool:
        """Record crashes under a request; return whether any is new.

        :param crashed_at: when they were noticed, in monotonic seconds, if
            that was earlier than now.
        """
        record = self._get_record(digest)
        new = [
            start
            for start in starts
            if start not in record.crashed and start not in record.retracted
        ]
        for start in new[: MAX_STARTS - len(record.crashed)]:
            now = self._clock.monotonic()
            record.crashed[start] = crashed_at.get(start, now)
        if new:
            self._update_candidate(digest, record)
        return bool(new)

    def note_success(self, digest: int) -> bool:
        """Record a success; return whether it clears earlier crashes."""
        self._succeeded[digest] = None
        self._succeeded.move_to_end(digest)
        if len(self._succeeded) > MAX_SUCCEEDED:
            self._succeeded.popitem(last=False)
        record = self._records.get(digest)
        if record is None:
            return False
        record.succeeded = True
        return self.retract(digest, list(record.crashed))

    def has_seen_success(self, digest: int) -> bool:
        """Return whether this router itself saw a success lately."""
        return digest in self._succeeded

    def retract(self, digest: int, starts: Iterable[int]) -> bool:
        """Retract crashes of starts; return whether one of them counted."""
        record = self._records.get(digest)
        if record is None:
            return False
        starts = list(starts)
        counted = [
            start
            for start in starts
            if record.crashed.pop(start, None) is not None
        ]
        record.retracted.update(dict.fromkeys(starts))
        while len(record.retracted) > MAX_STARTS:
            del record.retracted[next(iter(record.retracted))]
        if counted:
            self._update_candidate(digest, record)
        return bool(counted)

    def merge(self, item: CrashItem) -> bool:
        """Merge the record of another router; return whether to reply.

        A reply is due if this router knows of a success of the request and
        the other router does not.
        """
        self.note_crashes(item.digest, item.crashed)
        record = self._merge_good(item.digest, item.retracted, item.succeeded)
        return record.succeeded and not item.succeeded

    def restore(self, digest: int, known: KnownCrashes) -> None:
        """Merge a record that a router had stored."""
        self.note_crashes(digest, known.crashed, known.crashed)
        self._merge_good(digest, known.retracted, known.succeeded)

    def _merge_good(
        self, digest: int, retracted: Iterable[int], succeeded: bool
    ) -> CrashRecord:
        """Merge what speaks for a request, and return its record."""
        self.retract(digest, retracted)
        record = self._records[digest]
        record.succeeded = record.succeeded or succeeded
        self._update_candidate(digest, record)
        return record

    @property
    def guilty(self) -> frozenset[int]:
        """Return the digests of all that must be held."""
        return self._get_verdicts().guilty

    def is_dangerous(self, digest: int, unconfirmed: int = 0) -> bool:
        """Return whether a request or part must be held.

        :param unconfirmed: number of further upstreams that a request has
            just lost and that are not yet known to have crashed.
        """
        verdicts = self._get_verdicts()
        if digest in verdicts.guilty or not unconfirmed:
            return digest in verdicts.guilty
        record = self._records.get(digest)
        if record is None:
            return False
        now = self._clock.monotonic()
        counted = [
            crashed_at
            for start, crashed_at in self._list_recent(record).items()
            if start not in verdicts.explained
        ]
        counted += [now] * unconfirmed
        return is_dangerous(counted, succeeded=record.succeeded)

    def _get_verdicts(self) -> Verdicts:
        now = self._clock.monotonic()
        is_old = now - self._judged_at >= VERDICT_SECONDS
        if self._is_changed or (is_old and self._candidates):
            self._is_changed = False
            self._judged_at = now
            self._verdicts = judge(self._list_suspects())
        return self._verdicts

    def _list_suspects(self) -> list[Suspect]:
        suspects = []
        for digest in self._candidates:
            record = self._records[digest]
            recent = self._list_recent(record)
            kind = get_kind(digest)
            succeeded = record.succeeded or (
                kind is SuspectKind.FIRST_PART and self._is_young()
            )
            suspects.append(Suspect(digest, kind, recent, succeeded))
        return suspects

    def _is_young(self) -> bool:
        """Return whether much may have succeeded before this ledger began."""
        age = self._clock.monotonic() - self._began_at
        return age < YOUNG_SECONDS

    def _list_recent(self, record: CrashRecord) -> dict[int, float]:
        oldest = self._clock.monotonic() - HOLD_SECONDS
        return {
            start: crashed_at
            for start, crashed_at in record.crashed.items()
            if crashed_at > oldest
        }

    def has_record(self, digest: int) -> bool:
        """Return whether anything is known of a request or part."""
        return digest in self._records

    def count_crashed(self, digest: int) -> int:
        """Return the number of crashes that count against a request."""
        record = self._records.get(digest)
        return len(record.crashed) if record is not None else 0

    def build_item(self, digest: int) -> CrashItem:
        """Return the record of a request as an item of a message."""
        record = self._records.get(digest, CrashRecord())
        return CrashItem(
            digest,
            list(record.crashed),
            list(record.retracted)[-MAX_TOLD_STARTS:],
            record.succeeded,
        )

    def get_crashes(self, digest: int) -> KnownCrashes:
        """Return the record of a request, to be stored."""
        record = self._records.get(digest, CrashRecord())
        return KnownCrashes(
            self._list_recent(record),
            tuple(record.retracted),
            record.succeeded,
        )

    def clear(self, digest: int) -> None:
        """Retract all crashes of a request."""
        record = self._records.get(digest)
        if record is not None:
            self.retract(digest, list(record.crashed))

    def _get_record(self, digest: int) -> CrashRecord:
        record = self._records.get(digest)
        if record is None:
            record = CrashRecord(succeeded=digest in self._succeeded)
            self._records[digest] = record
            if len(self._records) > MAX_RECORDS:
                evicted, _ = self._records.popitem(last=False)
                self._update_candidate(evicted, CrashRecord())
        return record

    def _update_candidate(self, digest: int, record: CrashRecord) -> None:
        """Judge anew if a record that may matter has changed."""
        was_candidate = digest in self._candidates
        if len(record.crashed) >= LEAST_CRASHES:
            self._candidates.add(digest)
        else:
            self._candidates.discard(digest)
        if was_candidate or digest in self._candidates:
            self._is_changed = True
