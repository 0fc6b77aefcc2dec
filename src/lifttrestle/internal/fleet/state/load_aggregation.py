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

"""Adds up what routers have under way, for a group of them.

Any router does this for those that tell it their loads, and answers with the
sum when it is asked. In a fleet of n routers each then hears one sum for each
of its choices, in place of n reports a period.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import itertools

from lifttrestle.internal.fleet.state.fresh_sum import FreshSum
from lifttrestle.internal.fleet.state.load_messages import FleetSum
from lifttrestle.internal.fleet.state.load_messages import GroupSum
from lifttrestle.internal.fleet.state.load_messages import LoadReport
from lifttrestle.internal.fleet.state.load_messages import UpstreamLoad
from lifttrestle.internal.fleet.usage.messages import LevelEntry
from lifttrestle.internal.fleet.usage.messages import UsedEntry

# Parts that are told on in one message.
MAX_MESSAGE_PARTS = 200
# Parts that are kept for those that ask later: of some two seconds after new
# weights, when a fleet of 195 routers has 1,000 a second read.
MAX_LOGGED_PARTS = 2000


class PartLog:
    """The newest of what is told on, for hearers that ask now and then."""

    def __init__(self) -> None:
        self._items: collections.deque[int] = collections.deque(
            maxlen=MAX_LOGGED_PARTS
        )
        self._end = 0

    def add(self, items: list[int]) -> None:
        """Keep items; the oldest yield."""
        self._items.extend(items)
        self._end += len(items)

    def list_since(self, place: int) -> tuple[list[int], int]:
        """Return the next items from a place on, and the place after them."""
        first = self._end - len(self._items)
        begin = min(max(place, first), self._end)
        items = list(
            itertools.islice(
                self._items,
                begin - first,
                begin - first + MAX_MESSAGE_PARTS,
            )
        )
        return items, begin + len(items)


class LoadAggregator:
    """What one router adds up for others.

    :param vm: this router's.
    :param get_fresh_seconds: returns how long what is told counts.
    """

    def __init__(
        self, vm: str, get_fresh_seconds: Callable[[], float]
    ) -> None:
        self._vm = vm
        self._number = 0
        self._members = FreshSum(get_fresh_seconds)
        self._groups = FreshSum(get_fresh_seconds)
        self._group_news = PartLog()
        self._fleet_news = PartLog()
        # How far the other groups, and each member, have been told.
        self._group_told = 0
        self._member_told: dict[str, int] = {}

    def handle_report(self, report: LoadReport, now: float) -> None:
        """Take in the report of a member, unless a newer one overtook it."""
        if self._members.update(report, now):
            self._group_news.add(report.parts)
            self._fleet_news.add(report.parts)

    def handle_group_sum(self, group: GroupSum, now: float) -> None:
        """Take in the sum of another group."""
        if self._groups.update(group, now):
            self._fleet_news.add(group.parts)

    def list_members(self, now: float) -> list[str]:
        """Return the routers that have told their loads."""
        members = self._members.list_senders(now)
        if len(self._member_told) > len(members):
            self._member_told = {
                vm: place
                for vm, place in self._member_told.items()
                if vm in self._members
            }
        return members

    def list_aggregators(self, now: float) -> list[str]:
        """Return the other routers that have told their groups' sums."""
        return self._groups.list_senders(now)

    def build_group_sum(
        self, now: float, usage: list[UsedEntry] | None = None
    ) -> GroupSum:
        """Return what is told to other aggregators."""
        self._number += 1
        self._members.expire(now)
        loads = self._members.list_loads()
        parts, self._group_told = self._group_news.list_since(self._group_told)
        return GroupSum(self._vm, self._number, loads, parts, usage)

    def build_fleet_sum(
        self, vm: str, now: float, levels: list[LevelEntry] | None = None
    ) -> FleetSum:
        """Return what is told to a member that asks."""
        self._number += 1
        self._members.expire(now)
        self._groups.expire(now)
        loads = sum_loads(
            [self._members.list_loads(), self._groups.list_loads()]
        )
        parts, self._member_told[vm] = self._fleet_news.list_since(
            self._member_told.get(vm, 0)
        )
        included = self._members.get_number(vm)
        return FleetSum(self._vm, self._number, included, loads, parts, levels)


def sum_loads(
    several: Iterable[list[UpstreamLoad]],
) -> list[UpstreamLoad]:
    """Return the sum of loads; what comes to nothing is left out."""
    running: collections.Counter[int] = collections.Counter()
    unread: collections.Counter[int] = collections.Counter()
    for loads in several:
        for load in loads:
            running[load.digest] += load.in_flight
            unread[load.digest] += load.unread_tokens
    return [
        UpstreamLoad(digest, count, unread[digest])
        for digest, count in running.items()
        if count or unread[digest]
    ]


def subtract_loads(
    whole: list[UpstreamLoad], part: list[UpstreamLoad]
) -> list[UpstreamLoad]:
    """Return ``whole`` without ``part``, which may have changed since."""
    own = {load.digest: load for load in part}
    rest = []
    for load in whole:
        mine = own.get(load.digest)
        if mine is None:
            rest.append(load)
            continue
        running = max(load.in_flight - mine.in_flight, 0)
        unread = max(load.unread_tokens - mine.unread_tokens, 0)
        rest.append(UpstreamLoad(load.digest, running, unread))
    return rest
