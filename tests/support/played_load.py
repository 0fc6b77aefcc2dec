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
from collections.abc import Callable
import dataclasses
import datetime
import enum
import heapq
import itertools
import random
from unittest import mock

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.path.dialect import PromptPart
from lifttrestle.internal.fleet.policy.engine_costs import PlacementContext
from lifttrestle.internal.fleet.policy.placement import choose_engine
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.policy.shedding import decide_shedding
from lifttrestle.internal.fleet.policy.tell_pacing import REPORT_SECONDS
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.engine_pace import EnginePace
from lifttrestle.internal.fleet.state.engine_pace import FIRST_STEP_SECONDS
from lifttrestle.internal.fleet.state.peer_loads import ANSWER_SECONDS
from lifttrestle.internal.fleet.state.peer_loads import PeerLoads
from lifttrestle.internal.fleet.state.peer_loads import SUM_SECONDS
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import RouterRow
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
DATA_CENTRES = 6
SUMS_PAY = 'lifttrestle.internal.fleet.state.peer_loads.uses_aggregation'
# Between two routers, one way.
DATAGRAM_SECONDS = 0.002
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
    :ivar sums: one router of each data centre adds up loads; None for what
        the routers themselves decide.
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
    sums: bool | None = None


class PlayedRouter:
    """One router's view, and its choices."""

    def __init__(
        self,
        number: int,
        engines: list[str],
        clock: ManualClock,
        carry: Callable[[bytes, tuple[str, int]], None],
    ) -> None:
        self.clock = clock
        self.directory = UpstreamDirectory(PlatformFormat(), clock)
        for engine in engines:
            entry = make_entry(models=[{'name': 'm', 'version': 1}])
            row = VersionedRow(engine, msgspec.json.encode(entry), 1)
            self.directory.take(row)
        self.parts = SharedParts()
        self.pace = EnginePace()
        self.key = f'router/r{number}'
        self.roster = Roster(
            MemoryRows(), clock, f'r{number}', get_data_centre(number)
        )
        self.roster.loaded = True
        self.loads = PeerLoads(
            f'r{number}', self.directory, self.roster, self.parts, clock
        )
        self.loads._transport = mock.Mock(sendto=carry)
        # Choices that wait until the loads are known.
        self.waiting: list[Callable[[], None]] = []

    def find_pause(self) -> float:
        """Return after how long the next report may go out."""
        loads = self.loads
        return loads._pacing.take(loads._count_tellers())


def get_data_centre(number: int) -> str:
    """Return the data centre of a router."""
    return f'dc{number % DATA_CENTRES}'


def get_address(number: int) -> str:
    """Return where a router hears of loads; its number can be read off."""
    return f'10.0.{number // 250}.{number % 250}:7400'


class PlayedFleet:
    """Plays one load."""

    def __init__(self, load: PlayedLoad, seed: int) -> None:
        self._load = load
        self._source = random.Random(seed)
        self._clock = ManualClock(START)
        engines = [f'e{number}' for number in range(load.engines)]
        self._free_at = dict.fromkeys(engines, 0.0)
        self._routers = [
            PlayedRouter(number, engines, self._clock, self._carry)
            for number in range(load.routers)
        ]
        self._introduce()
        self.datagrams = 0
        self._telling: set[PlayedRouter] = set()
        self._events: list[tuple[float, int, object]] = []
        self._order = itertools.count()
        self.fates: collections.Counter[Fate] = collections.Counter()

    def play(self) -> collections.Counter[Fate]:
        """Return what the callers got."""
        if self._load.sums is not None:
            with mock.patch(SUMS_PAY, lambda routers: self._load.sums):
                return self._play()
        return self._play()

    def _play(self) -> collections.Counter[Fate]:
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
            at = self._source.uniform(0, REPORT_SECONDS)
            self._at(at, lambda router=router: self._tell_regularly(router))
            at = self._source.uniform(0, SUM_SECONDS)
            self._at(at, lambda router=router: self._tell_sums(router))

    def _introduce(self) -> None:
        rows = []
        for number in range(self._load.routers):
            row = RouterRow(get_data_centre(number), get_address(number))
            key = f'router/r{number}'
            value = msgspec.json.encode(row)
            rows.append(VersionedRow(key, value, number + 1))
        for router in self._routers:
            for row in rows:
                router.roster.take(row)

    def _at(self, at: float, act: object) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))

    def _carry(self, data: bytes, address: tuple[str, int]) -> None:
        """Bring a datagram to its router a little later."""
        _, _, high, low = address[0].split('.')
        hearer = self._routers[250 * int(high) + int(low)]
        self.datagrams += 1
        at = self._clock.monotonic() + DATAGRAM_SECONDS
        self._at(at, lambda: self._hear(hearer, data, address))

    def _hear(
        self, hearer: PlayedRouter, data: bytes, address: tuple[str, int]
    ) -> None:
        hearer.loads.datagram_received(data, address)
        if hearer.loads.is_current():
            self._go_on(hearer)

    def _go_on(self, router: PlayedRouter) -> None:
        waiting, router.waiting = router.waiting, []
        for choose in waiting:
            choose()

    def _tell_regularly(self, router: PlayedRouter) -> None:
        self._tell(router, asks=True)
        at = self._clock.monotonic() + router.loads._get_regular_seconds()
        if at < self._load.seconds:
            self._at(at, lambda: self._tell_regularly(router))

    def _tell_sums(self, router: PlayedRouter) -> None:
        router.loads.tell_sums()
        at = self._clock.monotonic() + SUM_SECONDS
        if at < self._load.seconds:
            self._at(at, lambda: self._tell_sums(router))

    def _tell(self, router: PlayedRouter, *, asks: bool = False) -> None:
        """Have a router tell its loads as soon as it may."""
        if router in self._telling:
            return
        self._telling.add(router)
        at = self._clock.monotonic() + router.find_pause()
        self._at(at, lambda: self._tell_now(router, asks))

    def _tell_now(self, router: PlayedRouter, asks: bool) -> None:
        self._telling.discard(router)
        router.loads._tell(asks=asks)

    def _arrive(self, first_at: float, is_long: bool) -> None:
        """Take a request; ``first_at`` is when its caller first tried."""
        router = self._source.choice(self._routers)
        if not router.loads.is_current():
            router.loads.ask()
        if router.loads.is_current():
            self._place(router, first_at, is_long)
            return

        def choose() -> None:
            if choose in router.waiting:
                router.waiting.remove(choose)
            self._place(router, first_at, is_long)

        def wait_no_longer() -> None:
            if choose in router.waiting:
                choose()

        router.waiting.append(choose)
        self._at(self._clock.monotonic() + ANSWER_SECONDS, wait_no_longer)

    def _place(
        self, router: PlayedRouter, first_at: float, is_long: bool
    ) -> None:
        """Place a request on an engine, or refuse it."""
        load = self._load
        tokens = load.long_tokens if is_long else load.short_tokens
        own = PromptPart(f'{self._source.getrandbits(32):x}', tokens)
        now = self._clock.monotonic()
        placement = choose_engine(
            list(router.directory),
            Generation('m', tokens, 50, (own,)),
            'shared',
            router.parts,
            PlacementContext(
                now, 'a', 1, read_seconds=router.pace.read_seconds
            ),
            self._source,
        )
        assert placement is not None, 'no engine is ever lost here'
        shedding = None
        if load.sheds:
            shedding = decide_shedding(
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
            upstream.note_first_byte(ticket, self._clock.monotonic())
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
