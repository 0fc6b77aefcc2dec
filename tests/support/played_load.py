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

"""A load that several routers place on engines, played in simulated time.

The engines read prompts one after the other at a fixed pace and begin each
answer when its prompt is read; nothing else takes time. Each router chooses
by the product's own code, by what it has under way itself and what the others
have told. What counts is what callers get.
"""

import collections
import dataclasses
import datetime
import enum
import heapq
import itertools
import random

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.path.dialect import PromptPart
from lifttrestle.internal.fleet.policy.placement import choose_engine
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.policy.placement import Surroundings
from lifttrestle.internal.fleet.policy.shedding import judge_wait
from lifttrestle.internal.fleet.policy.tell_pacing import TELL_SECONDS
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.engine_pace import EnginePace
from lifttrestle.internal.fleet.state.engine_pace import FIRST_STEP_SECONDS
from lifttrestle.internal.fleet.state.peer_loads import LoadReport
from lifttrestle.internal.fleet.state.peer_loads import PeerLoads
from lifttrestle.internal.fleet.state.peer_loads import UpstreamLoad
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
# From a refusal to the next try, beside the time that the caller was told.
ROUND_TRIP_SECONDS = 0.05


class Fate(enum.Enum):
    """What a caller got."""

    IN_TIME = 'in time'
    LATE = 'late'
    REFUSED_TWICE = 'refused twice'


@dataclasses.dataclass(frozen=True)
class PlayedLoad:
    """What is played.

    :ivar rate: requests a second that all routers get together.
    :ivar long_share: of them, with ``long_tokens`` to read.
    :ivar read_seconds: that an engine really takes for a token.
    :ivar told_at_once: routers tell of long prompts as they send them.
    :ivar learns: routers learn the engines' pace from their answers.
    :ivar sheds: routers refuse what would wait too long.
    """

    seconds: float = 20.0
    routers: int = 8
    engines: int = 5
    rate: float = 25.0
    long_share: float = 0.45
    long_tokens: int = 7000
    short_tokens: int = 700
    target_seconds: float = 0.6
    read_seconds: float = 30e-6
    told_at_once: bool = True
    learns: bool = True
    sheds: bool = True


class PlayedRouter:
    """One router's view, and its choices."""

    def __init__(self, name: str, engines: list[str], clock: ManualClock):
        self.clock = clock
        self.directory = UpstreamDirectory(PlatformFormat(), clock)
        for engine in engines:
            entry = make_entry(models=[{'name': 'm', 'version': 1}])
            row = VersionedRow(engine, msgspec.json.encode(entry), 1)
            self.directory.take(row)
        self.parts = SharedParts()
        self.pace = EnginePace()
        roster = Roster(MemoryRows(), clock, name, 'a')
        self.loads = PeerLoads(name, self.directory, roster, self.parts, clock)
        self._name = name
        self._numbers = itertools.count(1)

    def build_report(self) -> LoadReport:
        """Return what the others are told."""
        loads = [
            UpstreamLoad(item.instance, item.in_flight, item.unread_tokens)
            for item in self.directory
        ]
        return LoadReport(self._name, next(self._numbers), loads)


class PlayedFleet:
    """Plays one load."""

    def __init__(self, load: PlayedLoad, seed: int) -> None:
        self._load = load
        self._source = random.Random(seed)
        self._clock = ManualClock(START)
        engines = [f'e{number}' for number in range(load.engines)]
        self._free_at = dict.fromkeys(engines, 0.0)
        self._routers = [
            PlayedRouter(f'r{number}', engines, self._clock)
            for number in range(load.routers)
        ]
        self._events: list[tuple[float, int, object]] = []
        self._order = itertools.count()
        self.fates: collections.Counter[Fate] = collections.Counter()

    def play(self) -> collections.Counter[Fate]:
        """Return what the callers got."""
        self._plan()
        while self._events:
            at, _, act = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.monotonic())
            act()  # type: ignore[operator]
        return self.fates

    def _plan(self) -> None:
        load = self._load
        at = 0.0
        while at < load.seconds:
            at += self._source.expovariate(load.rate)
            long_one = self._source.random() < load.long_share
            self._at(at, lambda at=at, long=long_one: self._arrive(at, long))
        for router in self._routers:
            at = self._source.uniform(0, TELL_SECONDS)
            while at < load.seconds:
                self._at(at, lambda router=router: self._tell(router))
                at += TELL_SECONDS

    def _at(self, at: float, act: object) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))

    def _tell(self, teller: PlayedRouter) -> None:
        report = teller.build_report()
        for router in self._routers:
            if router is not teller:
                router.loads.note(report)

    def _arrive(self, first_at: float, is_long: bool) -> None:
        """Place a request; ``first_at`` is when its caller first tried."""
        load = self._load
        router = self._source.choice(self._routers)
        tokens = load.long_tokens if is_long else load.short_tokens
        own = PromptPart(f'{self._source.getrandbits(32):x}', tokens)
        now = self._clock.monotonic()
        placement = choose_engine(
            list(router.directory),
            Generation('m', tokens, 50, (own,)),
            'shared',
            router.parts,
            Surroundings(now, 'a', 1, read_seconds=router.pace.read_seconds),
        )
        assert placement is not None, 'no engine is ever lost here'
        shedding = None
        if load.sheds:
            shedding = judge_wait(
                placement.expected_seconds,
                placement.queue_seconds,
                load.target_seconds,
            )
        if shedding is None:
            self._send(router, placement, tokens, first_at)
        elif now > first_at:
            self.fates[Fate.REFUSED_TWICE] += 1
        else:
            back_at = now + shedding.retry_after + ROUND_TRIP_SECONDS
            self._at(back_at, lambda: self._arrive(first_at, is_long))

    def _send(
        self,
        router: PlayedRouter,
        placement: Placement,
        tokens: int,
        first_at: float,
    ) -> None:
        load = self._load
        is_long = tokens == load.long_tokens
        now = self._clock.monotonic()
        upstream = placement.upstream
        ticket = next(self._order)
        begun = max(now, self._free_at[upstream.instance])
        read_at = begun + tokens * load.read_seconds
        self._free_at[upstream.instance] = read_at
        upstream.in_flight += 1
        upstream.note_sent(ticket, now, unread=tokens)
        if load.told_at_once and is_long:
            self._tell(router)

        def answer() -> None:
            seconds = self._clock.monotonic() - now
            upstream.in_flight -= 1
            upstream.note_heard(ticket, self._clock.monotonic())
            if load.learns:
                router.pace.note_answer(
                    placement.queue_tokens, tokens, seconds
                )
            since_first = self._clock.monotonic() - first_at
            in_time = since_first <= load.target_seconds
            self.fates[Fate.IN_TIME if in_time else Fate.LATE] += 1
            if load.told_at_once and is_long:
                self._tell(router)

        self._at(read_at + FIRST_STEP_SECONDS, answer)
