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

"""Counts of what workspaces were given, as one router tells and hears them."""

from collections.abc import Iterator
import dataclasses

# A count that was not touched for so long is told no more, and the next use
# begins a new one. Within it each message tells the count again, so that one
# that is lost is made up for.
COUNT_LIFETIME_SECONDS = 1.0
MILLISECONDS = 1000
# Entries of one message, so that it stays one datagram.
MAX_ENTRIES = 100


@dataclasses.dataclass(slots=True)
class Count:
    """Units that a workspace was given since the count began.

    :ivar reported: the highest that ``net`` was; a count never goes down.
    """

    serial: int
    touched_at: float
    net: float = 0.0
    reported: float = 0.0


class UsageCounts:
    """This router's counts, or those of a group that it adds up for."""

    def __init__(self) -> None:
        # The one that was touched last stands last.
        self._counts: dict[int, Count] = {}

    def touch(self, workspace: int, now: float) -> Count:
        """Return the count of a workspace, a new one after a pause."""
        count = self._counts.pop(workspace, None)
        if count is None or now - count.touched_at > COUNT_LIFETIME_SECONDS:
            count = Count(int(now * MILLISECONDS), now)
        count.touched_at = now
        self._counts[workspace] = count
        return count

    def add(self, workspace: int, units: float, now: float) -> None:
        """Count units that were given out; below zero, given back."""
        count = self.touch(workspace, now)
        count.net += units
        count.reported = max(count.reported, count.net)

    def get(self, workspace: int) -> Count | None:
        """Return the count of a workspace, if there is one."""
        return self._counts.get(workspace)

    def list_newest(self, now: float) -> Iterator[tuple[int, Count]]:
        """Return what was touched lately, the newest first; drop the rest."""
        for workspace in list(self._counts):
            if (
                now - self._counts[workspace].touched_at
                <= COUNT_LIFETIME_SECONDS
            ):
                break
            del self._counts[workspace]
        newest = list(reversed(self._counts.items()))
        return iter(newest[:MAX_ENTRIES])


@dataclasses.dataclass(slots=True)
class ReceivedCount:
    """What was last heard of one count of one teller."""

    serial: int
    used: float
    at: float


class ReceivedCounts:
    """What one teller's counts were when they were last heard."""

    def __init__(self) -> None:
        self._counts: dict[int, ReceivedCount] = {}
        self.has_baseline = False

    def update(
        self, workspace: int, serial: int, used: float, now: float
    ) -> float | None:
        """Return the units that are new, None if nobody can know.

        A count that is met with the first message of a teller may hold what
        was used long before.
        """
        held = self._counts.get(workspace)
        if held is not None and serial < held.serial:
            # An older message came late.
            return 0.0
        self._counts[workspace] = ReceivedCount(serial, used, now)
        if held is not None and held.serial == serial:
            # Messages overtake each other.
            self._counts[workspace].used = max(used, held.used)
            return max(used - held.used, 0.0)
        return used if self.has_baseline else None

    def list_recent(self, now: float) -> list[tuple[int, ReceivedCount]]:
        """Return what the teller has told lately."""
        return [
            (workspace, held)
            for workspace, held in self._counts.items()
            if now - held.at <= COUNT_LIFETIME_SECONDS
        ]

    def drop_before(self, before: float) -> None:
        """Drop counts that were last heard earlier."""
        stale = [
            workspace
            for workspace, held in self._counts.items()
            if held.at < before
        ]
        for workspace in stale:
            del self._counts[workspace]
