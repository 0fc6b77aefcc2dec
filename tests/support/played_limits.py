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

"""A played load on upstreams that name limits, without a network.

Requests arrive at random routers. Upstreams answer after a while, and bear
the limit that is in force when they do. Messages between routers take a
moment, and some are lost.
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

from lifttrestle.internal.clock.beat import Beat
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.limits.memory import UpstreamLimits
from lifttrestle.internal.fleet.policy.limit_belief import ReportedLimit
from lifttrestle.internal.fleet.policy.limit_permits import rank_request
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.load_messages import decode_message
from lifttrestle.internal.fleet.state.load_messages import encode_message
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import RouterRow
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
DATA_CENTRES = ('a', 'b', 'c', 'd')
STEP_SECONDS = 0.01
ANSWER_SECONDS = 0.1
NEAR_SECONDS = 0.001
FAR_SECONDS = 0.01
# What the users' page allows, and from when it binds a router.
WINDOW_SECONDS = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_SLACK = 5.0
TOLD_SECONDS = 0.5
URGENCY = 5


@dataclasses.dataclass(frozen=True)
class LimitPlay:
    """What happens.

    :ivar rate: that each limited upstream names.
    :ivar limited: part of the upstreams that name it.
    :ivar named: seconds from which to which they do.
    :ivar per_second: requests of all callers together.
    :ivar cut: seconds from and to which the data centres don't reach each
        other's routers, while all reach all upstreams.
    """

    routers: int
    rate: float
    per_second: float
    limited: float = 1 / 3
    upstreams: int = 9
    seconds: float = 20.0
    named: tuple[float, float] = (2.0, 20.0)
    cut: tuple[float, float] = (0.0, 0.0)
    loss: float = 0.0
    seed: int = 1


@dataclasses.dataclass
class Outcome:
    """What upstreams and callers got.

    :ivar most: requests in the fullest window of any limited upstream, of
        what is allowed, from routers that were told.
    :ivar used: part of the limits that was used, from two seconds after they
        were named until they end.
    :ivar served: part of the requests that an upstream took.
    :ivar messages: between routers, for each second.
    :ivar by_second: arrivals at the limited upstreams.
    :ivar microseconds: of processor time for each request.
    """

    most: float = 0.0
    used: float = 0.0
    served: float = 0.0
    messages: float = 0.0
    by_second: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    microseconds: float = 0.0


class LimitDesign(abc.ABC):
    """A way to keep limits over many routers."""

    def __init__(self, play: 'PlayedLimits') -> None:
        self.play = play

    @abc.abstractmethod
    async def may_send(
        self, router: int, upstream: int, has_others: bool
    ) -> bool:
        """Return whether a router may send a request to an upstream."""

    @abc.abstractmethod
    def note_answer(
        self, router: int, upstream: int, rate: float | None, sent_at: float
    ) -> None:
        """Take in an answer."""

    @abc.abstractmethod
    def is_limited(self, router: int, upstream: int) -> bool:
        """Return whether a router knows of a limit."""

    async def close(self) -> None:
        """End what was begun."""


class Unread(LimitDesign):
    """Nobody goes by the limit."""

    async def may_send(self, router, upstream, has_others):
        """Return yes."""
        return True

    def note_answer(self, router, upstream, rate, sent_at):
        """Do nothing."""

    def is_limited(self, router, upstream):
        """Return no."""
        return False


class EqualShares(LimitDesign):
    """Each router that knows keeps its part of the limit by itself."""

    def __init__(self, play):
        super().__init__(play)
        # Rate, level, and when that was.
        self._known: dict[tuple[int, int], tuple[float, float, float]] = {}

    async def may_send(self, router, upstream, has_others):
        """Return whether the router's own part allows it."""
        known = self._known.get((router, upstream))
        if known is None:
            return True
        rate, level, at = known
        now = self.play.clock.monotonic()
        share = rate / self.play.settings.routers
        level = min(level + (now - at) * share, 1.0 + share / 4)
        granted = level >= 1.0
        level -= granted
        self._known[router, upstream] = (rate, level, now)
        return granted

    def note_answer(self, router, upstream, rate, sent_at):
        """Go by what the answer names."""
        now = self.play.clock.monotonic()
        known = self._known.get((router, upstream))
        if rate is None:
            self._known.pop((router, upstream), None)
        elif known is None:
            self._known[router, upstream] = (rate, 0.0, now)

    def is_limited(self, router, upstream):
        """Return whether an answer has named a limit."""
        return (router, upstream) in self._known


class Permits(LimitDesign):
    """What the product does."""

    def __init__(self, play):
        super().__init__(play)
        self.limits: list[UpstreamLimits] = []
        self.directories: list[UpstreamDirectory] = []
        self._rows = MemoryRows()
        self._tasks = []
        for number in range(play.settings.routers):
            self.directories.append(
                self.make_directory(play.settings.upstreams)
            )
            self.limits.append(self._start(number))

    def restart(
        self, number: int, knows_upstreams: Callable[[], bool] = lambda: True
    ) -> None:
        """Have a router begin anew, with its view of the upstreams."""
        self._tasks[number].cancel()
        self.limits[number] = self._start(number, knows_upstreams)

    def _start(
        self, number: int, knows_upstreams: Callable[[], bool] = lambda: True
    ) -> UpstreamLimits:
        play = self.play
        limits = UpstreamLimits(
            f'r{number}',
            self.directories[number],
            self._make_roster(number),
            play.clock,
            InputRefusals(),
            knows_upstreams,
        )
        self._connect(limits, number)
        beat = Beat(play.clock, play.source.random())
        self._tasks.append(asyncio.create_task(limits.run(beat)))
        return limits

    def _make_roster(self, number: int) -> Roster:
        play = self.play
        place = play.get_place(number)
        roster = Roster(self._rows, play.clock, f'r{number}', place)
        roster.loaded = True
        for other in range(play.settings.routers):
            row = RouterRow(play.get_place(other), '127.0.0.1:9')
            value = msgspec.json.encode(row)
            roster.take(VersionedRow(f'router/r{other}', value, 1))
        return roster

    def make_directory(self, upstreams: int) -> UpstreamDirectory:
        """Return a directory of the first few upstreams."""
        directory = UpstreamDirectory(PlatformFormat(), self.play.clock)
        for number in range(upstreams):
            directory.take(self.make_row(number))
        return directory

    def make_row(self, number: int) -> VersionedRow:
        """Return an upstream's entry."""
        entry = make_entry(
            born=1_767_225_600_000,
            address=f'127.0.0.1:{number + 1}',
            zone=self.play.get_place(number),
        )
        return VersionedRow(f'p{number}', msgspec.json.encode(entry), 1)

    def _connect(self, limits: UpstreamLimits, number: int) -> None:
        takers = {}

        def take(data: bytes) -> None:
            message = decode_message(data)
            takers[type(message)](message)

        self.play.takers[number] = take
        limits.connect(
            takers.__setitem__,
            lambda message, key: self.play.send(
                number, int(key.removeprefix('router/r')), message
            ),
            lambda result: None,
        )

    def get_upstream(self, router, upstream):
        """Return an upstream as one router knows it."""
        return self.directories[router].get(f'p{upstream}')

    async def may_send(self, router, upstream, has_others):
        """Ask for a permit."""
        limits = self.limits[router]
        target = self.get_upstream(router, upstream)
        rank = rank_request(URGENCY, has_others=has_others, repeated=False)
        if limits.is_closed(target, rank):
            return False
        return not (await limits.ask(target, rank)).wait

    def note_answer(self, router, upstream, rate, sent_at):
        """Take in what an answer names."""
        self.limits[router].note_answer(
            self.get_upstream(router, upstream), ReportedLimit(rate), sent_at
        )

    def is_limited(self, router, upstream):
        """Return whether permits are needed."""
        return self.limits[router].is_limited(
            self.get_upstream(router, upstream)
        )

    async def close(self):
        """End the routers' tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class PlayedLimits:
    """One load on a number of routers and upstreams."""

    def __init__(
        self, settings: LimitPlay, design: type[LimitDesign] = Permits
    ) -> None:
        self.settings = settings
        self.clock = ManualClock(START)
        self.source = random.Random(settings.seed)
        self.takers: dict[int, object] = {}
        self.messages = 0
        self._design = design
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, object]] = []
        self._arrived: dict[int, list[tuple[float, bool]]] = {}
        # When each router first passed on an answer that names a limit.
        self._told: dict[tuple[int, int], float] = {}
        self._requests = 0
        self._served = 0
        self._limited = max(round(settings.limited * settings.upstreams), 1)

    def get_place(self, number: int) -> str:
        """Return the data centre of a router or an upstream."""
        return DATA_CENTRES[number % len(DATA_CENTRES)]

    def send(self, router: int, other: int, message: object) -> None:
        """Have a message arrive a moment later, or not at all."""
        self.messages += 1
        near = self.get_place(router) == self.get_place(other)
        begin, end = self.settings.cut
        cut = begin <= self.clock.monotonic() < end and not near
        if cut or self.source.random() < self.settings.loss:
            return
        data = encode_message(message)
        delay = NEAR_SECONDS if near else FAR_SECONDS
        self.plan(delay, lambda: self.takers[other](data))

    def plan(self, delay: float, act: object) -> None:
        """Have something done a moment later."""
        at = self.clock.monotonic() + delay
        heapq.heappush(self._due, (at, next(self._numbers), act))

    def get_named(self, upstream: int) -> float | None:
        """Return the limit that an upstream names now."""
        begin, end = self.settings.named
        now = self.clock.monotonic()
        named = upstream < self._limited and begin <= now < end
        return self.settings.rate if named else None

    async def run(self) -> Outcome:
        """Play, and return what came of it."""
        design = self._design(self)
        began = time.process_time()
        requests = set()
        await self._pass()
        while self.clock.monotonic() < self.settings.seconds:
            expected = self.settings.per_second * STEP_SECONDS
            for _ in range(self._draw(expected)):
                task = asyncio.create_task(self._request(design))
                requests.add(task)
                task.add_done_callback(requests.discard)
            await self._step()
        spent = time.process_time() - began
        while requests:
            # Questions that are under way are answered or given up.
            await self._step()
        await design.close()
        return self._judge(spent)

    async def pass_time(self, seconds: float) -> None:
        """Let time pass without a request."""
        for _ in range(round(seconds / STEP_SECONDS)):
            await self._step()

    def _draw(self, expected: float) -> int:
        whole = int(expected)
        return whole + (self.source.random() < expected - whole)

    async def _step(self) -> None:
        end = self.clock.monotonic() + STEP_SECONDS
        while self._due and self._due[0][0] < end:
            at, _, act = heapq.heappop(self._due)
            self.clock.advance(max(at - self.clock.monotonic(), 0.0))
            act()
            await self._pass()
        self.clock.advance(max(end - self.clock.monotonic(), 0.0))
        await self._pass()

    async def _pass(self) -> None:
        for _ in range(6):
            await asyncio.sleep(0)

    async def _request(self, design: LimitDesign) -> None:
        self._requests += 1
        router = self.source.randrange(self.settings.routers)
        order = list(range(self.settings.upstreams))
        self.source.shuffle(order)
        free = [n for n in order if not design.is_limited(router, n)]
        for upstream in order:
            if await design.may_send(router, upstream, bool(free)):
                self._arrive(design, router, upstream)
                return

    def _arrive(self, design: LimitDesign, router: int, upstream: int) -> None:
        self._served += 1
        now = self.clock.monotonic()
        told = self._told.get((router, upstream), float('inf'))
        counts = now >= told + TOLD_SECONDS
        self._arrived.setdefault(upstream, []).append((now, counts))
        self.plan(
            ANSWER_SECONDS * self.source.uniform(0.5, 2.0),
            lambda: self._answer(design, router, upstream, now),
        )

    def _answer(
        self, design: LimitDesign, router: int, upstream: int, sent_at: float
    ) -> None:
        rate = self.get_named(upstream)
        if rate is not None:
            now = self.clock.monotonic()
            self._told.setdefault((router, upstream), now)
        design.note_answer(router, upstream, rate, sent_at)

    def _judge(self, spent: float) -> Outcome:
        settings = self.settings
        begin, end = settings.named
        end = min(end, settings.seconds)
        allowed = ALLOWED_SHARE * settings.rate * WINDOW_SECONDS
        allowed += ALLOWED_SLACK
        outcome = Outcome()
        used = 0
        for upstream in range(self._limited):
            arrived = self._arrived.get(upstream, [])
            times = [at for at, counts in arrived if counts and at < end]
            fullest = max(
                (
                    sum(first <= at < first + WINDOW_SECONDS for at in times)
                    for first in times
                ),
                default=0,
            )
            outcome.most = max(outcome.most, fullest / allowed)
            used += sum(begin + 2 <= at < end for at, _ in arrived)
            for at, _ in arrived:
                outcome.by_second[int(at)] += 1
        most = settings.rate * (end - begin - 2) * self._limited
        outcome.used = used / most if most else 0.0
        outcome.served = self._served / max(self._requests, 1)
        outcome.messages = self.messages / settings.seconds
        outcome.microseconds = spent / max(self._requests, 1) * 1e6
        return outcome


def play_limits(
    settings: LimitPlay, design: type[LimitDesign] = Permits
) -> Outcome:
    """Play one load."""

    async def play() -> Outcome:
        return await PlayedLimits(settings, design).run()

    return asyncio.run(play())
