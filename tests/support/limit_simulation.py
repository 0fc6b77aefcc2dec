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

"""Simulates load on upstreams that report limits, without a network.

Requests arrive at random routers. Upstreams answer after a delay, and each
answer carries the limit in force at that time. Messages between routers are
delayed, and some are lost.
"""

import abc
import asyncio
import collections
from collections.abc import Callable
import dataclasses
import datetime
import heapq
import itertools
import random
import time

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.limits.upstream_limits import UpstreamLimits
from lifttrestle.internal.fleet.policy.known_limit import ReportedLimit
from lifttrestle.internal.fleet.policy.limit_permits import rank_request
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.load_messages import decode_message
from lifttrestle.internal.fleet.state.load_messages import encode_message
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.router_row import RouterRow
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
DATA_CENTRES = ('a', 'b', 'c', 'd')
STEP_SECONDS = 0.01
ANSWER_SECONDS = 0.1
LOCAL_DELAY_SECONDS = 0.001
REMOTE_DELAY_SECONDS = 0.01
# What the user documentation allows in a window, and how soon after an answer
# with a limit a router must enforce it.
WINDOW_SECONDS = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_SLACK = 5.0
REACTION_SECONDS = 0.5
URGENCY = 5


@dataclasses.dataclass(frozen=True)
class LimitScenario:
    """A simulated load, and the limits that upstreams report.

    :ivar rate: requests per second that each limited upstream reports.
    :ivar limited: fraction of the upstreams that report a limit.
    :ivar reporting: begin and end of the reports, in seconds.
    :ivar per_second: requests of all callers together.
    :ivar partition: begin and end, in seconds, of a network partition between
        the routers of different data centres. All reach all upstreams.
    :ivar loss: fraction of the messages between routers that is lost.
    """

    routers: int
    rate: float
    per_second: float
    limited: float = 1 / 3
    upstreams: int = 9
    seconds: float = 20.0
    reporting: tuple[float, float] = (2.0, 20.0)
    partition: tuple[float, float] = (0.0, 0.0)
    loss: float = 0.0
    seed: int = 1


@dataclasses.dataclass
class Outcome:
    """What upstreams and callers received.

    :ivar peak: requests in the fullest window of any limited upstream, as a
        fraction of the allowed number, from routers that know of the limit.
    :ivar used: fraction of the limits that was used, from two seconds after
        they were first reported until they end.
    :ivar served: fraction of the requests that an upstream accepted.
    :ivar messages: between routers, per second.
    :ivar by_second: arrivals at the limited upstreams in each second.
    :ivar microseconds: processor time per request.
    """

    peak: float = 0.0
    used: float = 0.0
    served: float = 0.0
    messages: float = 0.0
    by_second: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    microseconds: float = 0.0


class LimitDesign(abc.ABC):
    """Algorithm that enforces limits across many routers."""

    def __init__(self, simulation: 'LimitSimulation') -> None:
        self.simulation = simulation

    @abc.abstractmethod
    async def may_send(
        self, router: int, upstream: int, has_others: bool
    ) -> bool:
        """Return whether a router may send a request to an upstream."""

    @abc.abstractmethod
    def note_answer(
        self, router: int, upstream: int, rate: float | None, sent_at: float
    ) -> None:
        """Process an answer of an upstream."""

    @abc.abstractmethod
    def is_limited(self, router: int, upstream: int) -> bool:
        """Return whether a router knows of a limit."""

    async def close(self) -> None:
        """Release resources."""


class Unread(LimitDesign):
    """Ignores limits."""

    async def may_send(self, router, upstream, has_others):
        """Return True."""
        return True

    def note_answer(self, router, upstream, rate, sent_at):
        """Do nothing."""

    def is_limited(self, router, upstream):
        """Return False."""
        return False


class EqualShares(LimitDesign):
    """Each router that knows of a limit enforces an equal share of it."""

    def __init__(self, simulation):
        super().__init__(simulation)
        # Rate, level of the token bucket, and the time of that level.
        self._known: dict[tuple[int, int], tuple[float, float, float]] = {}

    async def may_send(self, router, upstream, has_others):
        """Return whether the router's own share allows it."""
        known = self._known.get((router, upstream))
        if known is None:
            return True
        rate, level, at = known
        now = self.simulation.clock.monotonic()
        share = rate / self.simulation.scenario.routers
        level = min(level + (now - at) * share, 1.0 + share / 4)
        granted = level >= 1.0
        level -= granted
        self._known[router, upstream] = (rate, level, now)
        return granted

    def note_answer(self, router, upstream, rate, sent_at):
        """Apply the limit that the answer reports."""
        now = self.simulation.clock.monotonic()
        known = self._known.get((router, upstream))
        if rate is None:
            self._known.pop((router, upstream), None)
        elif known is None:
            self._known[router, upstream] = (rate, 0.0, now)

    def is_limited(self, router, upstream):
        """Return whether an answer has reported a limit."""
        return (router, upstream) in self._known


class Permits(LimitDesign):
    """Permits, as routers use them in production."""

    def __init__(self, simulation):
        super().__init__(simulation)
        self.limits: list[UpstreamLimits] = []
        self.directories: list[UpstreamDirectory] = []
        self._rows = MemoryRows()
        self._tasks = []
        for number in range(simulation.scenario.routers):
            self.directories.append(
                self.make_directory(simulation.scenario.upstreams)
            )
            self.limits.append(self._start(number))

    def restart(
        self, number: int, knows_upstreams: Callable[[], bool] = lambda: True
    ) -> None:
        """Restart a router; it keeps its directory of upstreams."""
        self._tasks[number].cancel()
        self.limits[number] = self._start(number, knows_upstreams)

    def _start(
        self, number: int, knows_upstreams: Callable[[], bool] = lambda: True
    ) -> UpstreamLimits:
        simulation = self.simulation
        limits = UpstreamLimits(
            f'r{number}',
            self.directories[number],
            self._make_roster(number),
            simulation.clock,
            InputRefusals(),
            knows_upstreams,
        )
        self._connect(limits, number)
        ticker = Ticker(simulation.clock, simulation.source.random())
        self._tasks.append(asyncio.create_task(limits.run(ticker)))
        return limits

    def _make_roster(self, number: int) -> Roster:
        simulation = self.simulation
        data_centre = simulation.get_data_centre(number)
        roster = Roster(
            self._rows, simulation.clock, f'r{number}', data_centre
        )
        roster.loaded = True
        for other in range(simulation.scenario.routers):
            row = RouterRow(simulation.get_data_centre(other), '127.0.0.1:9')
            value = msgspec.json.encode(row)
            roster.apply_row(VersionedRow(f'router/r{other}', value, 1))
        return roster

    def make_directory(self, upstreams: int) -> UpstreamDirectory:
        """Return a directory with the given number of upstreams."""
        directory = UpstreamDirectory(PlatformFormat(), self.simulation.clock)
        for number in range(upstreams):
            directory.apply_row(self.make_row(number))
        return directory

    def make_row(self, number: int) -> VersionedRow:
        """Return the table row of an upstream's entry."""
        entry = make_entry(
            born=1_767_225_600_000,
            address=f'127.0.0.1:{number + 1}',
            zone=self.simulation.get_data_centre(number),
        )
        return VersionedRow(f'p{number}', msgspec.json.encode(entry), 1)

    def _connect(self, limits: UpstreamLimits, number: int) -> None:
        by_type = {}

        def handle(data: bytes) -> None:
            message = decode_message(data)
            by_type[type(message)](message)

        self.simulation.handlers[number] = handle
        limits.connect(
            by_type.__setitem__,
            lambda message, key: self.simulation.send(
                number, int(key.removeprefix('router/r')), message
            ),
            lambda result: None,
        )

    def get_upstream(self, router, upstream):
        """Return an upstream from the directory of one router."""
        return self.directories[router].get(f'p{upstream}')

    async def may_send(self, router, upstream, has_others):
        """Request a permit."""
        limits = self.limits[router]
        target = self.get_upstream(router, upstream)
        rank = rank_request(URGENCY, has_others=has_others, repeated=False)
        if limits.is_refused(target, rank):
            return False
        return not (await limits.request_permit(target, rank)).wait

    def note_answer(self, router, upstream, rate, sent_at):
        """Pass the reported limit to the router."""
        self.limits[router].note_answer(
            self.get_upstream(router, upstream), ReportedLimit(rate), sent_at
        )

    def is_limited(self, router, upstream):
        """Return whether requests need a permit."""
        return self.limits[router].is_limited(
            self.get_upstream(router, upstream)
        )

    async def close(self):
        """Cancel the routers' tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class LimitSimulation:
    """Simulates one load on a number of routers and upstreams."""

    def __init__(
        self, scenario: LimitScenario, design: type[LimitDesign] = Permits
    ) -> None:
        self.scenario = scenario
        self.clock = ManualClock(START)
        self.source = random.Random(scenario.seed)
        self.handlers: dict[int, object] = {}
        self.messages = 0
        self._design = design
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, object]] = []
        self._arrivals: dict[int, list[tuple[float, bool]]] = {}
        # When each router first received an answer with each upstream's limit.
        self._reported_at: dict[tuple[int, int], float] = {}
        self._requests = 0
        self._served = 0
        self._limited = max(round(scenario.limited * scenario.upstreams), 1)

    def get_data_centre(self, number: int) -> str:
        """Return the data centre of a router or an upstream."""
        return DATA_CENTRES[number % len(DATA_CENTRES)]

    def send(self, router: int, other: int, message: object) -> None:
        """Deliver a message after a delay, or lose it."""
        self.messages += 1
        is_local = self.get_data_centre(router) == self.get_data_centre(other)
        begin, end = self.scenario.partition
        partitioned = begin <= self.clock.monotonic() < end and not is_local
        if partitioned or self.source.random() < self.scenario.loss:
            return
        data = encode_message(message)
        delay = LOCAL_DELAY_SECONDS if is_local else REMOTE_DELAY_SECONDS
        self.schedule(delay, lambda: self.handlers[other](data))

    def schedule(self, delay: float, action: object) -> None:
        """Run an action after a delay."""
        at = self.clock.monotonic() + delay
        heapq.heappush(self._due, (at, next(self._numbers), action))

    def get_reported_rate(self, upstream: int) -> float | None:
        """Return the limit that an upstream reports now."""
        begin, end = self.scenario.reporting
        now = self.clock.monotonic()
        is_reporting = upstream < self._limited and begin <= now < end
        return self.scenario.rate if is_reporting else None

    async def run(self) -> Outcome:
        """Run the simulation and return its outcome."""
        design = self._design(self)
        started_at = time.process_time()
        requests = set()
        await self._run_tasks()
        while self.clock.monotonic() < self.scenario.seconds:
            expected = self.scenario.per_second * STEP_SECONDS
            for _ in range(self._draw(expected)):
                task = asyncio.create_task(self._request(design))
                requests.add(task)
                task.add_done_callback(requests.discard)
            await self._step()
        cpu_seconds = time.process_time() - started_at
        while requests:
            # Queries in flight are answered or time out.
            await self._step()
        await design.close()
        return self._summarize(cpu_seconds)

    async def pass_time(self, seconds: float) -> None:
        """Advance the clock without sending requests."""
        for _ in range(round(seconds / STEP_SECONDS)):
            await self._step()

    def _draw(self, expected: float) -> int:
        whole = int(expected)
        return whole + (self.source.random() < expected - whole)

    async def _step(self) -> None:
        end = self.clock.monotonic() + STEP_SECONDS
        while self._due and self._due[0][0] < end:
            at, _, action = heapq.heappop(self._due)
            self.clock.advance(max(at - self.clock.monotonic(), 0.0))
            action()
            await self._run_tasks()
        self.clock.advance(max(end - self.clock.monotonic(), 0.0))
        await self._run_tasks()

    async def _run_tasks(self) -> None:
        for _ in range(6):
            await asyncio.sleep(0)

    async def _request(self, design: LimitDesign) -> None:
        self._requests += 1
        router = self.source.randrange(self.scenario.routers)
        order = list(range(self.scenario.upstreams))
        self.source.shuffle(order)
        free = [n for n in order if not design.is_limited(router, n)]
        for upstream in order:
            if await design.may_send(router, upstream, bool(free)):
                self._accept(design, router, upstream)
                return

    def _accept(self, design: LimitDesign, router: int, upstream: int) -> None:
        self._served += 1
        now = self.clock.monotonic()
        reported_at = self._reported_at.get((router, upstream), float('inf'))
        is_counted = now >= reported_at + REACTION_SECONDS
        self._arrivals.setdefault(upstream, []).append((now, is_counted))
        self.schedule(
            ANSWER_SECONDS * self.source.uniform(0.5, 2.0),
            lambda: self._deliver_answer(design, router, upstream, now),
        )

    def _deliver_answer(
        self, design: LimitDesign, router: int, upstream: int, sent_at: float
    ) -> None:
        rate = self.get_reported_rate(upstream)
        if rate is not None:
            now = self.clock.monotonic()
            self._reported_at.setdefault((router, upstream), now)
        design.note_answer(router, upstream, rate, sent_at)

    def _summarize(self, cpu_seconds: float) -> Outcome:
        scenario = self.scenario
        begin, end = scenario.reporting
        end = min(end, scenario.seconds)
        allowed = ALLOWED_SHARE * scenario.rate * WINDOW_SECONDS
        allowed += ALLOWED_SLACK
        outcome = Outcome()
        used = 0
        for upstream in range(self._limited):
            arrivals = self._arrivals.get(upstream, [])
            times = [
                at for at, is_counted in arrivals if is_counted and at < end
            ]
            fullest = max(
                (
                    sum(first <= at < first + WINDOW_SECONDS for at in times)
                    for first in times
                ),
                default=0,
            )
            outcome.peak = max(outcome.peak, fullest / allowed)
            used += sum(begin + 2 <= at < end for at, _ in arrivals)
            for at, _ in arrivals:
                outcome.by_second[int(at)] += 1
        permitted = scenario.rate * (end - begin - 2) * self._limited
        outcome.used = used / permitted if permitted else 0.0
        outcome.served = self._served / max(self._requests, 1)
        outcome.messages = self.messages / scenario.seconds
        outcome.microseconds = cpu_seconds / max(self._requests, 1) * 1e6
        return outcome


def simulate_limits(
    scenario: LimitScenario, design: type[LimitDesign] = Permits
) -> Outcome:
    """Simulate one load."""

    async def run() -> Outcome:
        return await LimitSimulation(scenario, design).run()

    return asyncio.run(run())
