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

"""Processor time of what a fleet's router does most, without any I/O.

Prints two tables: microseconds a choice of an engine and a report of loads
that is heard, by the number of engines; and a question for the sum of loads
that is answered, by the number of routers that ask one.
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
from lifttrestle.internal.fleet.state.roster import RouterRow
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
ENGINES = (5, 60, 200, 600)
ROUTERS = 200
ROUNDS = 300
# Engines at which one router has requests under way at the same time.
BUSY_ENGINES = 3
# Routers that ask the same one for the sum.
ASKING = (5, 33, 87)
GROUPS = 5
SUMMED_ENGINES = 60
MICROSECONDS = 1e6


class Router:
    """What one router knows of some engines."""

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
        """Choose an engine for a prompt of two shared parts and its own."""
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

    def hear(self, number: int) -> None:
        """Hear a report of another router."""
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
    """A router that some others ask."""

    def __init__(self, asking: int) -> None:
        source = random.Random(1)
        digests = [source.getrandbits(63) for _ in range(SUMMED_ENGINES)]
        self.aggregator = LoadAggregator('me', lambda: 1.0)
        self.questions = []
        for number in range(asking):
            loads = [
                UpstreamLoad(digest, 1, 900)
                for digest in source.sample(digests, BUSY_ENGINES)
            ]
            report = LoadReport(f'r{number}', 1, loads, [], True, True)
            self.questions.append(encode_message(report))
        loads = [UpstreamLoad(digest, 3, 2700) for digest in digests]
        for number in range(GROUPS):
            self.aggregator.handle_group_sum(
                GroupSum(f'g{number}', 1, loads), 0.0
            )

    def answer(self, number: int) -> None:
        """Answer a question of one of them."""
        report = decode_message(self.questions[number % len(self.questions)])
        self.aggregator.handle_report(report, 0.0)
        encode_message(self.aggregator.build_fleet_sum(report.vm, 0.0))


def measure(act: object, rounds: int = ROUNDS) -> float:
    """Return the processor time of one call, in microseconds."""
    began = time.process_time()
    for number in range(rounds):
        act(number)  # type: ignore[operator]
    return (time.process_time() - began) / rounds * MICROSECONDS


def main() -> None:
    """Print the table."""
    print(f'{"engines":>8} {"choice, us":>12} {"report heard, us":>18}')
    for engines in ENGINES:
        router = Router(engines)
        chosen = measure(router.choose)
        heard = measure(router.hear, ROUNDS * 10)
        print(f'{engines:>8} {chosen:>12.0f} {heard:>18.0f}')
    print(f'{"asking":>8} {"answer, us":>12}')
    for asking in ASKING:
        answered = measure(Aggregator(asking).answer, ROUNDS * 10)
        print(f'{asking:>8} {answered:>12.0f}')


if __name__ == '__main__':
    main()
