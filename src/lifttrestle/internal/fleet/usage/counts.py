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

"""Usage counts of workspaces, as routers send and receive them."""

from collections.abc import Iterator
import dataclasses

# A count that was not touched for this long is no longer reported, and the
# next use begins a new one. Until then every message repeats the count, which
# compensates for lost messages.
COUNT_LIFETIME_SECONDS = 1.0
MILLISECONDS = 1000
# Limit on the entries of a message, so that it fits into one datagram.
MAX_ENTRIES = 100


@dataclasses.dataclass(slots=True)
class Count:
    """Units that a workspace has used since the count began.

    :ivar serial: identifies the count: milliseconds of the monotonic clock at
        its beginning.
    :ivar touched_at: monotonic time of the last use, in seconds.
    :ivar net: units charged less units returned.
    :ivar reported: maximum of ``net``; a reported count never decreases.
    :ivar sent: part of ``reported`` that was sent.
    """

    serial: int
    touched_at: float
    net: float = 0.0
    reported: float = 0.0
    sent: float = 0.0


class UsageCounts:
    """Counts by workspace, of this router or of the group it aggregates."""

    def __init__(self) -> None:
        # In order of the last touch, the most recent last.
        self._counts: dict[int, Count] = {}

    def touch(self, workspace: int, now: float) -> Count:
        """Return the count of a workspace and mark it as used.

        A new count begins if there is none or if it has expired.
        """
        count = self._counts.pop(workspace, None)
        if count is None or now - count.touched_at > COUNT_LIFETIME_SECONDS:
            count = Count(int(now * MILLISECONDS), now)
        count.touched_at = now
        self._counts[workspace] = count
        return count

    def add(self, workspace: int, units: float, now: float) -> None:
        """Count charged units; negative ones are returned."""
        count = self.touch(workspace, now)
        count.net += units
        count.reported = max(count.reported, count.net)

    def begin_anew(self, now: float) -> None:
        """Begin new counts, with the units that were not sent yet.

        Called when another router becomes the aggregator. Both aggregators
        forward what they are told, so a unit must be part of a single count.
        """
        for workspace, count in self._counts.items():
            net = count.net - count.sent
            serial = max(int(now * MILLISECONDS), count.serial + 1)
            self._counts[workspace] = Count(
                serial, count.touched_at, net, max(net, 0.0)
            )

    def get(self, workspace: int) -> Count | None:
        """Return the count of a workspace, None if there is none."""
        return self._counts.get(workspace)

    def list_newest(self, now: float) -> Iterator[tuple[int, Count]]:
        """Return unexpired counts, the newest first, and drop expired ones.

        At most ``MAX_ENTRIES`` counts are returned.
        """
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
    """The last received state of a count of another router.

    :ivar used: units.
    :ivar at: monotonic time of receipt in seconds.
    """

    serial: int
    used: float
    at: float


class ReceivedCounts:
    """The last received counts of one sender.

    :ivar has_baseline: whether a message of the sender was received before.
    """

    def __init__(self) -> None:
        self._counts: dict[int, ReceivedCount] = {}
        self.has_baseline = False

    def update(
        self, workspace: int, serial: int, used: float, now: float
    ) -> float | None:
        """Update a count from a message.

        :returns: units used since the last message, or None if that is
            unknown: a count in the first message of a sender may include
            units that were used long before.
        """
        previous = self._counts.get(workspace)
        if previous is not None and serial < previous.serial:
            if now - previous.at <= COUNT_LIFETIME_SECONDS:
                # A delayed message with an older count.
                return 0.0
            # The sender's VM was restarted, and its monotonic clock with it.
        self._counts[workspace] = ReceivedCount(serial, used, now)
        if previous is not None and previous.serial == serial:
            # Messages may arrive out of order.
            self._counts[workspace].used = max(used, previous.used)
            return max(used - previous.used, 0.0)
        return used if self.has_baseline else None

    def list_recent(self, now: float) -> list[tuple[int, ReceivedCount]]:
        """Return the counts that were received recently."""
        return [
            (workspace, count)
            for workspace, count in self._counts.items()
            if now - count.at <= COUNT_LIFETIME_SECONDS
        ]

    def drop_before(self, before: float) -> None:
        """Drop counts that were last received before a time."""
        stale = [
            workspace
            for workspace, count in self._counts.items()
            if count.at < before
        ]
        for workspace in stale:
            del self._counts[workspace]
