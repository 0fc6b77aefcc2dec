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

"""Aggregates the loads of a group of routers.

Any router aggregates for the routers that report to it, and answers queries
with the sum. In a fleet of n routers, each one then receives one sum per
placement decision instead of n reports per period.
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

# Shared parts that are forwarded in one message.
MAX_MESSAGE_PARTS = 200
# Shared parts that are kept for later queries: those of about two seconds
# after a change of weights, when engines behind 195 routers compute 1,000 a
# second.
MAX_LOGGED_PARTS = 2000


class PartLog:
    """Bounded log of shared parts; each receiver has its own position."""

    def __init__(self) -> None:
        self._items: collections.deque[int] = collections.deque(
            maxlen=MAX_LOGGED_PARTS
        )
        self._end = 0

    def add(self, items: list[int]) -> None:
        """Append items; the oldest ones are evicted."""
        self._items.extend(items)
        self._end += len(items)

    def list_since(self, position: int) -> tuple[list[int], int]:
        """Return the next items from a position, and the position after them.

        A position whose items were evicted continues at the oldest item.
        """
        first = self._end - len(self._items)
        begin = min(max(position, first), self._end)
        items = list(
            itertools.islice(
                self._items,
                begin - first,
                begin - first + MAX_MESSAGE_PARTS,
            )
        )
        return items, begin + len(items)


class LoadAggregator:
    """Sums the loads of member routers and of other groups.

    :param vm: VM of this router.
    :param get_fresh_seconds: returns how many seconds a message is fresh.
    """

    def __init__(
        self, vm: str, get_fresh_seconds: Callable[[], float]
    ) -> None:
        self._vm = vm
        self._number = 0
        self._members = FreshSum(get_fresh_seconds)
        self._groups = FreshSum(get_fresh_seconds)
        self._group_parts = PartLog()
        self._fleet_parts = PartLog()
        # Positions in the logs up to which the parts have been sent to the
        # other groups and to each member.
        self._group_position = 0
        self._member_positions: dict[str, int] = {}

    def handle_report(self, report: LoadReport, now: float) -> None:
        """Handle the report of a member unless a newer one has arrived."""
        if self._members.update(report, now):
            self._group_parts.add(report.parts)
            self._fleet_parts.add(report.parts)

    def handle_group_sum(self, group: GroupSum, now: float) -> None:
        """Handle the sum of another group."""
        if self._groups.update(group, now):
            self._fleet_parts.add(group.parts)

    def list_members(self, now: float) -> list[str]:
        """Return the routers that reported their loads recently."""
        members = self._members.list_senders(now)
        if len(self._member_positions) > len(members):
            self._member_positions = {
                vm: position
                for vm, position in self._member_positions.items()
                if vm in self._members
            }
        return members

    def list_aggregators(self, now: float) -> list[str]:
        """Return the other aggregators that sent their sums recently."""
        return self._groups.list_senders(now)

    def build_group_sum(
        self, now: float, usage: list[UsedEntry] | None = None
    ) -> GroupSum:
        """Return the message to the other aggregators."""
        self._number += 1
        self._members.expire(now)
        loads = self._members.list_loads()
        parts, self._group_position = self._group_parts.list_since(
            self._group_position
        )
        return GroupSum(self._vm, self._number, loads, parts, usage)

    def build_fleet_sum(
        self, vm: str, now: float, levels: list[LevelEntry] | None = None
    ) -> FleetSum:
        """Return the answer to the query of a member."""
        self._number += 1
        self._members.expire(now)
        self._groups.expire(now)
        loads = sum_loads(
            [self._members.list_loads(), self._groups.list_loads()]
        )
        parts, self._member_positions[vm] = self._fleet_parts.list_since(
            self._member_positions.get(vm, 0)
        )
        included = self._members.get_number(vm)
        return FleetSum(self._vm, self._number, included, loads, parts, levels)


def sum_loads(
    load_lists: Iterable[list[UpstreamLoad]],
) -> list[UpstreamLoad]:
    """Return the sum by upstream start, omitting starts at zero."""
    in_flight: collections.Counter[int] = collections.Counter()
    unread: collections.Counter[int] = collections.Counter()
    for loads in load_lists:
        for load in loads:
            in_flight[load.digest] += load.in_flight
            unread[load.digest] += load.unread_tokens
    return [
        UpstreamLoad(digest, total, unread[digest])
        for digest, total in in_flight.items()
        if total or unread[digest]
    ]


def subtract_loads(
    total: list[UpstreamLoad], own: list[UpstreamLoad]
) -> list[UpstreamLoad]:
    """Return ``total`` minus ``own``, at least zero for each start.

    ``own`` may differ from the own loads that ``total`` includes.
    """
    own_by_digest = {load.digest: load for load in own}
    rest = []
    for load in total:
        own_load = own_by_digest.get(load.digest)
        if own_load is None:
            rest.append(load)
            continue
        in_flight = max(load.in_flight - own_load.in_flight, 0)
        unread = max(load.unread_tokens - own_load.unread_tokens, 0)
        rest.append(UpstreamLoad(load.digest, in_flight, unread))
    return rest
