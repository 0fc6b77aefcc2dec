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

"""Simulation of requests that several routers place on engines.

Engines prefill prompts one after the other at a fixed rate and begin each
answer after its prefill; nothing else takes time. Each router chooses engines
with the production code, by its own load and the loads that the others
reported. The result is what the callers get.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import datetime
import enum
import heapq
import itertools
import math
import random
from unittest import mock

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.path.dialect import PromptPart
from lifttrestle.internal.fleet.policy.engine_costs import PlacementContext
from lifttrestle.internal.fleet.policy.engine_speed import expect_first_token
from lifttrestle.internal.fleet.policy.load_view import EngineCondition
from lifttrestle.internal.fleet.policy.placement import choose_engine
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.policy.report_pacing import REPORT_SECONDS
from lifttrestle.internal.fleet.policy.shedding import decide_shedding
from lifttrestle.internal.fleet.policy.shedding import ShedDecision
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.engine_pace import EnginePace
from lifttrestle.internal.fleet.state.engine_pace import FIRST_STEP_SECONDS
from lifttrestle.internal.fleet.state.engine_speeds import EngineSpeeds
from lifttrestle.internal.fleet.state.peer_loads import ANSWER_SECONDS
from lifttrestle.internal.fleet.state.peer_loads import PeerLoads
from lifttrestle.internal.fleet.state.peer_loads import SUM_SECONDS
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.router_row import RouterRow
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.shared_parts import SharedParts
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows
from tests.support.news_delivery import CATALOGUE
from tests.support.news_delivery import exchange_news
from tests.support.news_delivery import NEWS_SECONDS
from tests.support.news_delivery import SERVICE

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
DATA_CENTRES = 6
AGGREGATION = 'lifttrestle.internal.fleet.state.peer_loads.uses_aggregation'
# Time that a datagram takes between two routers, one way.
DATAGRAM_SECONDS = 0.002
# Time from a refusal to the retry, in addition to the advised delay.
ROUND_TRIP_SECONDS = 0.05


class SpeedKnowledge(enum.Enum):
    """What routers know of the speed of single engines."""

    NONE = 'none'
    LEARNED = 'learned'
    EXACT = 'exact'


class Outcome(enum.Enum):
    """Outcome of one request."""

    IN_TIME = 'in time'
    LATE = 'late'
    REFUSED_TWICE = 'refused twice'


@dataclasses.dataclass(frozen=True)
class LoadScenario:
    """Settings of a simulated load.

    :ivar rate: requests per second at all routers together.
    :ivar long_share: fraction of requests with ``long_tokens`` to prefill.
    :ivar prefill_seconds: actual prefill time per token.
    :ivar reports_at_once: whether routers report long prompts at once.
    :ivar learns: whether routers learn the prefill rate from the answers.
    :ivar sheds: whether routers refuse requests that would wait too long.
    :ivar aggregates: whether one router of each data centre aggregates loads;
        None if that depends on the size of the fleet.
    :ivar slow_share: fraction of the engines that become slow.
    :ivar slow_factor: how many times as long they take meanwhile.
    :ivar slow_from: when they become slow, in seconds from the start.
    :ivar slow_until: when they are as fast as the others again.
    :ivar speeds: what routers know of the speed of single engines.
    :ivar has_news: whether routers exchange news.
    """

    seconds: float = 20.0
    routers: int = 8
    engines: int = 5
    rate: float = 25.0
    long_share: float = 0.45
    long_tokens: int = 7000
    short_tokens: int = 700
    target_seconds: float = 0.6
    prefill_seconds: float = 30e-6
    reports_at_once: bool = True
    learns: bool = True
    sheds: bool = True
    aggregates: bool | None = None
    slow_share: float = 0.0
    slow_factor: float = 3.5
    slow_from: float = 0.0
    slow_until: float = math.inf
    speeds: SpeedKnowledge = SpeedKnowledge.NONE
    has_news: bool = True


class SimulatedRouter:
    """State of one router."""

    def __init__(
        self,
        number: int,
        engines: list[str],
        clock: ManualClock,
        deliver: Callable[[bytes, tuple[str, int]], None],
    ) -> None:
        self.clock = clock
        self.directory = UpstreamDirectory(PlatformFormat(), clock)
        for engine in engines:
            entry = make_entry(models=[{'name': 'm', 'version': 1}])
            row = VersionedRow(engine, msgspec.json.encode(entry), 1)
            self.directory.apply_row(row)
        self.parts = SharedParts()
        self.pace = EnginePace()
        self.speeds = EngineSpeeds(self.directory, lambda: CATALOGUE)
        self.key = f'router/r{number}'
        self.roster = Roster(
            MemoryRows(), clock, f'r{number}', get_data_centre(number)
        )
        self.roster.loaded = True
        self.loads = PeerLoads(
            f'r{number}', self.directory, self.roster, self.parts, clock
        )
        self.loads._transport = mock.Mock(sendto=deliver)
        # Placement decisions that wait for current loads.
        self.waiting: list[Callable[[], None]] = []

    def reserve_report(self) -> float:
        """Reserve a report; return the seconds until it may be sent."""
        loads = self.loads
        return loads._report_pacer.take(loads._count_reporters())


def get_data_centre(number: int) -> str:
    """Return the data centre of a router."""
    return f'dc{number % DATA_CENTRES}'


def get_address(number: int) -> str:
    """Return the address of a router; it encodes the number of the router."""
    return f'10.0.{number // 250}.{number % 250}:7400'


class LoadSimulation:
    """Simulates one load."""

    def __init__(self, load: LoadScenario, seed: int) -> None:
        self._load = load
        self._source = random.Random(seed)
        self._clock = ManualClock(START)
        engines = [f'e{number}' for number in range(load.engines)]
        self._free_at = dict.fromkeys(engines, 0.0)
        self._routers = [
            SimulatedRouter(number, engines, self._clock, self._deliver)
            for number in range(load.routers)
        ]
        self._slow = set(engines[: round(load.slow_share * load.engines)])
        # Times and instances of the sent requests, in order.
        self.sent: list[tuple[float, str]] = []
        # Times of the first attempts of the requests that were late.
        self.late_at: list[float] = []
        self._fill_rosters()
        self.datagrams = 0
        self._pending_reports: set[SimulatedRouter] = set()
        self._events: list[tuple[float, int, object]] = []
        self._order = itertools.count()
        self.outcomes: collections.Counter[Outcome] = collections.Counter()

    def run(self) -> collections.Counter[Outcome]:
        """Run the simulation; return the number of requests by outcome."""
        if self._load.aggregates is not None:
            with mock.patch(
                AGGREGATION, lambda routers: self._load.aggregates
            ):
                return self._run()
        return self._run()

    def _run(self) -> collections.Counter[Outcome]:
        self._schedule_events()
        while self._events:
            at, _, act = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.monotonic())
            act()  # type: ignore[operator]
        return self.outcomes

    def _schedule_events(self) -> None:
        load = self._load
        at = 0.0
        while at < load.seconds:
            at += self._source.expovariate(load.rate)
            long_one = self._source.random() < load.long_share
            self._schedule(
                at, lambda at=at, long=long_one: self._handle_request(at, long)
            )
        for router in self._routers:
            at = self._source.uniform(0, REPORT_SECONDS)
            self._schedule(
                at, lambda router=router: self._report_regularly(router)
            )
            at = self._source.uniform(0, SUM_SECONDS)
            self._schedule(at, lambda router=router: self._send_sums(router))

        if load.speeds is SpeedKnowledge.LEARNED and load.has_news:
            self._schedule(NEWS_SECONDS, self._exchange_news)

    def _exchange_news(self) -> None:
        """Deliver the news of each router to all others."""
        now = self._clock.monotonic()
        exchange_news([router.speeds for router in self._routers], now)
        if now < self._load.seconds:
            self._schedule(now + NEWS_SECONDS, self._exchange_news)

    def is_slow(self, instance: str, at: float) -> bool:
        """Return whether an engine is slow at a time."""
        load = self._load
        return (
            instance in self._slow and load.slow_from <= at < load.slow_until
        )

    def _get_slowdown(self, instance: str, at: float) -> float:
        return self._load.slow_factor if self.is_slow(instance, at) else 1.0

    def _find_end(self, instance: str, begun: float, work: float) -> float:
        """Return when an engine ends ``work`` seconds of prefill."""
        load = self._load
        at = begun
        for change in (load.slow_from, load.slow_until):
            slowdown = self._get_slowdown(instance, at)
            if at < change < at + work * slowdown:
                work -= (change - at) / slowdown
                at = change
        return at + work * self._get_slowdown(instance, at)

    def _get_conditions(
        self, router: SimulatedRouter, now: float
    ) -> Mapping[str, EngineCondition]:
        if self._load.speeds is SpeedKnowledge.LEARNED:
            return router.speeds.get_conditions(SERVICE, now)
        if self._load.speeds is SpeedKnowledge.NONE:
            return {}
        return {
            instance: EngineCondition(self._get_slowdown(instance, now))
            for instance in self._slow
        }

    def _fill_rosters(self) -> None:
        rows = []
        for number in range(self._load.routers):
            row = RouterRow(get_data_centre(number), get_address(number))
            key = f'router/r{number}'
            value = msgspec.json.encode(row)
            rows.append(VersionedRow(key, value, number + 1))
        for router in self._routers:
            for row in rows:
                router.roster.apply_row(row)

    def _schedule(self, at: float, act: object) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))

    def _deliver(self, data: bytes, address: tuple[str, int]) -> None:
        """Schedule the arrival of a datagram at its router."""
        _, _, high, low = address[0].split('.')
        receiver = self._routers[250 * int(high) + int(low)]
        self.datagrams += 1
        at = self._clock.monotonic() + DATAGRAM_SECONDS
        self._schedule(at, lambda: self._receive(receiver, data, address))

    def _receive(
        self, receiver: SimulatedRouter, data: bytes, address: tuple[str, int]
    ) -> None:
        receiver.loads.datagram_received(data, address)
        if receiver.loads.is_current():
            self._resume_waiting(receiver)

    def _resume_waiting(self, router: SimulatedRouter) -> None:
        waiting, router.waiting = router.waiting, []
        for choose in waiting:
            choose()

    def _report_regularly(self, router: SimulatedRouter) -> None:
        self._request_report(router, is_query=True)
        at = self._clock.monotonic() + router.loads._get_wait_seconds()
        if at < self._load.seconds:
            self._schedule(at, lambda: self._report_regularly(router))

    def _send_sums(self, router: SimulatedRouter) -> None:
        router.loads.send_sums()
        at = self._clock.monotonic() + SUM_SECONDS
        if at < self._load.seconds:
            self._schedule(at, lambda: self._send_sums(router))

    def _request_report(
        self, router: SimulatedRouter, *, is_query: bool = False
    ) -> None:
        """Schedule a report for the time when its rate limit permits it."""
        if router in self._pending_reports:
            return
        self._pending_reports.add(router)
        at = self._clock.monotonic() + router.reserve_report()
        self._schedule(at, lambda: self._send_report_now(router, is_query))

    def _send_report_now(
        self, router: SimulatedRouter, is_query: bool
    ) -> None:
        self._pending_reports.discard(router)
        router.loads._send_report(is_query=is_query)

    def _handle_request(self, first_at: float, is_long: bool) -> None:
        """Handle a request.

        :param first_at: time of the first attempt of the caller.
        """
        router = self._source.choice(self._routers)
        if not router.loads.is_current():
            router.loads.request_sum()
        if router.loads.is_current():
            self._place(router, first_at, is_long)
            return

        def choose() -> None:
            if choose in router.waiting:
                router.waiting.remove(choose)
            self._place(router, first_at, is_long)

        def stop_waiting() -> None:
            if choose in router.waiting:
                choose()

        router.waiting.append(choose)
        self._schedule(self._clock.monotonic() + ANSWER_SECONDS, stop_waiting)

    def _place(
        self, router: SimulatedRouter, first_at: float, is_long: bool
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
                now,
                'a',
                1,
                prefill_seconds=router.pace.prefill_seconds,
                conditions=self._get_conditions(router, now),
            ),
            self._source,
        )
        assert placement is not None, 'no engine fails in this simulation'
        shedding = self._decide(router, placement, tokens, first_at)
        if shedding is None:
            self._send(router, placement, tokens, first_at)
        elif self._came_back(first_at, now):
            self._count_refused_twice(first_at)
        else:
            back_at = now + shedding.retry_after + ROUND_TRIP_SECONDS
            self._schedule(
                back_at, lambda: self._handle_request(first_at, is_long)
            )

    def _decide(
        self,
        router: SimulatedRouter,
        placement: Placement,
        tokens: int,
        first_at: float,
    ) -> ShedDecision | None:
        """Return how a request is refused, None if it is sent."""
        if not self._load.sheds:
            return None
        return decide_shedding(
            placement.expected_seconds,
            placement.queue_seconds,
            self._load.target_seconds,
        )

    def _came_back(self, first_at: float, now: float) -> bool:
        """Return whether a request was refused before."""
        return now > first_at

    def _count_refused_twice(self, first_at: float) -> None:
        self.outcomes[Outcome.REFUSED_TWICE] += 1

    def _send(
        self,
        router: SimulatedRouter,
        placement: Placement,
        tokens: int,
        first_at: float,
    ) -> None:
        load = self._load
        is_long = tokens == load.long_tokens
        now = self._clock.monotonic()
        upstream = placement.upstream
        attempt_id = next(self._order)
        instance = upstream.instance
        begun = max(now, self._free_at[instance])
        read_at = self._find_end(
            instance, begun, tokens * load.prefill_seconds
        )
        self._free_at[instance] = read_at
        self.sent.append((now, instance))
        upstream.in_flight += 1
        expected = expect_first_token(
            placement.queue_tokens, tokens, router.pace.prefill_seconds
        )
        upstream.note_sent(attempt_id, now, unread=tokens, expected=expected)
        if load.reports_at_once and is_long:
            self._request_report(router)

        def answer() -> None:
            seconds = self._clock.monotonic() - now
            upstream.in_flight -= 1
            upstream.note_first_byte(attempt_id, self._clock.monotonic())
            router.speeds.record_answer(
                upstream, expected, seconds, self._clock.monotonic()
            )
            if load.learns:
                router.pace.note_answer(
                    placement.queue_tokens,
                    tokens,
                    seconds,
                    placement.slowdown,
                )
            since_first = self._clock.monotonic() - first_at
            in_time = since_first <= load.target_seconds
            self.outcomes[Outcome.IN_TIME if in_time else Outcome.LATE] += 1
            if not in_time:
                self.late_at.append(first_at)
            if load.reports_at_once and is_long:
                self._request_report(router)

        first_step = FIRST_STEP_SECONDS * self._get_slowdown(instance, read_at)
        self._schedule(read_at + first_step, answer)
