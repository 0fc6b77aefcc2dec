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

"""What is known of the requests under which upstreams crashed.

All of it can be merged in any order and any number of times: routers tell each
other what they know by messages that may be lost, repeated and overtaken.
"""

import collections
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.crashes.judgement import HOLD_SECONDS
from lifttrestle.internal.fleet.crashes.judgement import is_dangerous
from lifttrestle.internal.fleet.crashes.messages import CrashItem

# Requests that are remembered. A crashed engine had some 20 requests under
# way; 4,096 are those of 200 crashes, at some 500 bytes each.
MAX_RECORDS = 4096
# Starts that are remembered of one request, crashed or forgiven.
MAX_STARTS = 64
# Requests whose good end is remembered, at some 100 bytes each: those of the
# last minute or more at the 50 a second that one router serves.
MAX_GOOD = 4096


@dataclasses.dataclass
class CrashRecord:
    """What is known of one request.

    :ivar crashed: when it was learned of each start that crashed under it.
    :ivar forgiven: starts that don't count any more.
    :ivar ended_well: it has ended well somewhere, at some time.
    """

    crashed: dict[int, float] = dataclasses.field(default_factory=dict)
    forgiven: set[int] = dataclasses.field(default_factory=set)
    ended_well: bool = False


class CrashLedger:
    """Keeps a record of each request, and forgets the oldest."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: collections.OrderedDict[int, CrashRecord] = (
            collections.OrderedDict()
        )
        # Without values, in the order of the last good end.
        self._good: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def note_crashes(self, digest: int, starts: list[int]) -> bool:
        """Note that starts crashed under a request; return if it is news."""
        record = self._get_record(digest)
        new = [
            start
            for start in starts
            if start not in record.crashed and start not in record.forgiven
        ]
        for start in new[: MAX_STARTS - len(record.crashed)]:
            record.crashed[start] = self._clock.monotonic()
        return bool(new)

    def note_success(self, digest: int) -> bool:
        """Note a good end; return whether that clears the request."""
        self._good[digest] = None
        self._good.move_to_end(digest)
        if len(self._good) > MAX_GOOD:
            self._good.popitem(last=False)
        record = self._records.get(digest)
        if record is None or not record.crashed:
            return False
        record.ended_well = True
        self.forgive(digest, list(record.crashed))
        return True

    def forgive(self, digest: int, starts: list[int]) -> bool:
        """Count starts no more; return whether one of them did count."""
        record = self._records.get(digest)
        if record is None:
            return False
        counted = [
            start
            for start in starts
            if record.crashed.pop(start, None) is not None
        ]
        if len(record.forgiven) + len(starts) <= MAX_STARTS:
            record.forgiven.update(starts)
        return bool(counted)

    def merge(self, item: CrashItem) -> bool:
        """Take in what another router knows; return if it should know more.

        It should if this router has seen the request end well, and that one
        does not know that it ever did.
        """
        self.note_crashes(item.digest, item.crashed)
        self.forgive(item.digest, item.forgiven)
        record = self._records[item.digest]
        record.ended_well = record.ended_well or item.ended_well
        return record.ended_well and not item.ended_well

    def is_dangerous(self, digest: int, unproved: int = 0) -> bool:
        """Return whether a request is to run no more.

        :param unproved: further upstreams that it has just lost, of which
            nobody knows yet whether they crashed.
        """
        record = self._records.get(digest)
        if record is None:
            return False
        now = self._clock.monotonic()
        recent = [
            crashed_at
            for crashed_at in record.crashed.values()
            if now - crashed_at < HOLD_SECONDS
        ]
        recent += [now] * unproved
        return is_dangerous(recent, ended_well=record.ended_well)

    def count_crashed(self, digest: int) -> int:
        """Return how many starts count against a request."""
        record = self._records.get(digest)
        return len(record.crashed) if record is not None else 0

    def build_item(self, digest: int) -> CrashItem:
        """Return all that is known of a request."""
        record = self._records.get(digest, CrashRecord())
        return CrashItem(
            digest,
            list(record.crashed),
            list(record.forgiven),
            record.ended_well,
        )

    def clear(self, digest: int) -> None:
        """Count nothing of what is known of a request any more."""
        record = self._records.get(digest)
        if record is not None:
            self.forgive(digest, list(record.crashed))

    def _get_record(self, digest: int) -> CrashRecord:
        record = self._records.get(digest)
        if record is None:
            record = CrashRecord(ended_well=digest in self._good)
            self._records[digest] = record
            if len(self._records) > MAX_RECORDS:
                self._records.popitem(last=False)
        return record
