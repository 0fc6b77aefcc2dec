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

"""Measures the CPU time of the most frequent operations of a router.

There is no I/O. Prints two tables with microseconds of CPU time: choosing an
engine and handling a load report, by the number of engines; and answering a
query for the sum of loads, by the number of routers that query an aggregator.
"""

import datetime
import random
import time

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.path.dialect import PromptPart
from lifttrestle.internal.fleet.policy.engine_costs import PlacementContext
from lifttrestle.internal.fleet.policy.placement import choose_engine
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.load_aggregation import LoadAggregator
from lifttrestle.internal.fleet.state.load_messages import decode_message
from lifttrestle.internal.fleet.state.load_messages import encode_message
from lifttrestle.internal.fleet.state.load_messages import GroupSum
from lifttrestle.internal.fleet.state.load_messages import LoadReport
from lifttrestle.internal.fleet.state.load_messages import UpstreamLoad
from lifttrestle.internal.fleet.state.peer_loads import PeerLoads
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.router_row import RouterRow
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
ENGINES = (5, 60, 200, 600)
ROUTERS = 200
ROUNDS = 300
# Engines at which one router has requests in progress at the same time.
BUSY_ENGINES = 3
# Numbers of routers that query the same aggregator.
QUERYING_ROUTERS = (5, 33, 87)
GROUPS = 5
SUMMED_ENGINES = 60
MICROSECONDS = 1e6


class Router:
    """The state of a router that knows a number of engines."""

    def __init__(self, engines: int) -> None:
        self.clock = ManualClock(START)
        self.directory = UpstreamDirectory(PlatformFormat(), self.clock)
        for number in range(engines):
            entry = make_entry(models=[{'name': 'm', 'version': 1}])
            value = msgspec.json.encode(entry)
            self.directory.apply_row(
                VersionedRow(f'i-{number:010x}', value, 1)
            )
        self.parts = SharedParts()
        roster = Roster(MemoryRows(), self.clock, 'me', 'a')
        roster.loaded = True
        for number in range(ROUTERS):
            row = msgspec.json.encode(RouterRow('a', f'10.0.0.{number}:7400'))
            roster.apply_row(
                VersionedRow(f'router/r{number}', row, number + 1)
            )
        self.loads = PeerLoads(
            'me', self.directory, roster, self.parts, self.clock
        )
        self.source = random.Random(1)

    def choose(self, number: int) -> None:
        """Choose an engine for a prompt with a shared and a unique part."""
        parts = (PromptPart('aa', 2520), PromptPart(f'{number:x}', 3780))
        generation = Generation('m', 9190, 10, parts)
        choose_engine(
            self.directory.list_available('s'),
            generation,
            'shared',
            self.parts,
            PlacementContext(self.clock.monotonic(), 'a', 1, slots=24),
            self.source,
        )

    def handle_report(self, number: int) -> None:
        """Handle a load report of another router."""
        digests = [item.digest for item in self.directory]
        loads = [
            UpstreamLoad(digest, 1, 900)
            for digest in self.source.sample(digests, BUSY_ENGINES)
        ]
        report = LoadReport(f'r{number % ROUTERS}', number, loads)
        data = msgspec.msgpack.encode(report)
        self.clock.advance(1 / 250)
        self.loads.datagram_received(data, None)


class Aggregator:
    """A router that answers queries of others for the sum of loads."""

    def __init__(self, routers: int) -> None:
        source = random.Random(1)
        digests = [source.getrandbits(63) for _ in range(SUMMED_ENGINES)]
        self.aggregator = LoadAggregator('me', lambda: 1.0)
        self.queries = []
        for number in range(routers):
            loads = [
                UpstreamLoad(digest, 1, 900)
                for digest in source.sample(digests, BUSY_ENGINES)
            ]
            report = LoadReport(f'r{number}', 1, loads, [], True, True)
            self.queries.append(encode_message(report))
        loads = [UpstreamLoad(digest, 3, 2700) for digest in digests]
        for number in range(GROUPS):
            self.aggregator.handle_group_sum(
                GroupSum(f'g{number}', 1, loads), 0.0
            )

    def answer_query(self, number: int) -> None:
        """Answer a query of one of the routers."""
        report = decode_message(self.queries[number % len(self.queries)])
        self.aggregator.handle_report(report, 0.0)
        encode_message(self.aggregator.build_fleet_sum(report.vm, 0.0))


def measure(action: object, rounds: int = ROUNDS) -> float:
    """Return the CPU time of one call in microseconds."""
    started_at = time.process_time()
    for number in range(rounds):
        action(number)  # type: ignore[operator]
    return (time.process_time() - started_at) / rounds * MICROSECONDS


def main() -> None:
    """Print the tables."""
    print(f'{"engines":>8} {"choice, us":>12} {"load report, us":>18}')
    for engines in ENGINES:
        router = Router(engines)
        chosen = measure(router.choose)
        handled = measure(router.handle_report, ROUNDS * 10)
        print(f'{engines:>8} {chosen:>12.0f} {handled:>18.0f}')
    print(f'{"routers":>8} {"answer, us":>12}')
    for routers in QUERYING_ROUTERS:
        answered = measure(Aggregator(routers).answer_query, ROUNDS * 10)
        print(f'{routers:>8} {answered:>12.0f}')


if __name__ == '__main__':
    main()
