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

"""A workspace's load on many routers, played against ways to keep its cap.

Time goes in steps of 50 ms. What a router tells is heard with the next step,
if its hearer is in touch and the message is not lost.
"""

import abc
import collections
import dataclasses
import datetime
import random

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.policy.usage_caps import UsageCap
from lifttrestle.internal.fleet.policy.usage_caps import UsageUnit
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.fleet.usage.ledger import UsageLedger
from lifttrestle.internal.fleet.usage.publisher import UsagePublisher

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
STEP_SECONDS = 0.05
# A router that was killed takes so long to start, and serves nobody then.
DOWN_SECONDS = 0.5
DATA_CENTRES = ('a', 'b', 'c', 'd')
PROMISES = Promises(
    cap_window_seconds=8.0, cap_over_share=0.1, cap_slack=110_000.0
)
CAP = UsageCap(350_000.0, 350_000.0, UsageUnit.TOKENS, 200.0)
CALM_USE = CAP.rate / 1.8
# Each router tells all others, as in small fleets.
DIRECT_SECONDS = 0.25
SUM_SECONDS = 0.1
DIRECT_ROUTERS = 37
IDLE_STEPS = 5
# Prompts of two kinds: a few thousand tokens, and some hundred.
LARGE_TOKENS = 9200.0
SMALL_TOKENS = 1000.0
LARGE_SHARE = 0.36
MEAN_TOKENS = LARGE_SHARE * LARGE_TOKENS + (1 - LARGE_SHARE) * SMALL_TOKENS
MAX_TOKENS = 46_000.0
BUSY_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True)
class Play:
    """What happens.

    :ivar load: times the usual of a calm workspace, by second.
    :ivar uneven: one router gets a third of the requests.
    :ivar cut: seconds from and to which the data centres of one side can't
        reach the others; with ``cut_all`` none reaches any other.
    :ivar isolated: routers that nobody hears while the cut lasts.
    :ivar killed_at: when all routers are killed.
    :ivar restarts: routers that are killed a second, one after the other.
    :ivar loss: part of the messages that get lost.
    """

    load: tuple[float, ...]
    uneven: bool = False
    cut: tuple[float, float] = (0.0, 0.0)
    cut_all: bool = False
    isolated: int = 0
    killed_at: float | None = None
    restarts: int = 0
    loss: float = 0.0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What callers got, and what the rule says to it.

    :ivar most: units in the fullest window, of what it may hold.
    :ivar refused: part of the requests that was refused.
    :ivar given: units that were given out, of those that a bucket without
        any delay gives out.
    """

    most: float
    refused: float
    given: float


class CapDesign(abc.ABC):
    """A way to keep a cap over many routers."""

    def __init__(self, play: 'CapPlay') -> None:
        self.play = play

    @abc.abstractmethod
    def admit(self, router: str, units: float) -> bool:
        """Return whether a router gives out units, and count them."""

    @abc.abstractmethod
    def restart(self, router: str) -> None:
        """Forget what a router knew."""

    def step(self, number: int) -> None:
        """Have the routers tell each other."""


class CapPlay:
    """One load on a number of routers."""

    def __init__(self, routers: int, play: Play, seed: int) -> None:
        self.play = play
        self.clock = ManualClock(START)
        self.source = random.Random(seed)
        self.began = self.clock.monotonic()
        self.places = {
            f'r{number}': DATA_CENTRES[number % len(DATA_CENTRES)]
            for number in range(routers)
        }
        self.routers = list(self.places)
        self._down_until: dict[str, float] = {}
        self.alone = set(self.routers[len(self.routers) - play.isolated :])

    def get_time(self) -> float:
        """Return the seconds since the play began."""
        return self.clock.monotonic() - self.began

    def is_down(self, router: str) -> bool:
        """Return whether a router is starting."""
        return self.get_time() < self._down_until.get(router, 0.0)

    def reaches(self, one: str, other: str) -> bool:
        """Return whether a message gets from one router to another."""
        if self.is_down(one) or self.is_down(other):
            return False
        begin, end = self.play.cut
        if begin <= self.get_time() < end:
            if one in self.alone or other in self.alone:
                return False
            here, there = self.places[one], self.places[other]
            if self.play.cut_all and here != there:
                return False
            if not self.play.isolated and (here in 'ab') != (there in 'ab'):
                return False
        return self.source.random() >= self.play.loss

    def run(self, make: type[CapDesign]) -> Outcome:
        """Play the load against a design."""
        design = make(self)
        given: list[tuple[float, float]] = []
        asked = refused = 0
        ideal = _Ideal()
        seconds = len(self.play.load)
        for number in range(round(seconds / STEP_SECONDS)):
            now = self.get_time()
            design.step(number)
            self._restart(design, number)
            for router, units in self._draw(now):
                if self.is_down(router):
                    continue
                asked += 1
                ideal.take(units, now)
                if design.admit(router, units):
                    given.append((now, units))
                else:
                    refused += 1
            self.clock.advance(STEP_SECONDS)
        window = PROMISES.cap_window_seconds
        allowed = (CAP.rate * window + CAP.burst) * (
            1 + PROMISES.cap_over_share
        ) + PROMISES.cap_slack
        total = sum(units for _, units in given)
        return Outcome(
            most=_find_most(given, window) / allowed,
            refused=refused / asked,
            given=total / ideal.given,
        )

    def _restart(self, design: CapDesign, number: int) -> None:
        killed_at = self.play.killed_at
        if killed_at is not None and number == round(killed_at / STEP_SECONDS):
            for router in self.routers:
                self._kill(design, router)
        for turn in range(self.play.restarts):
            per_second = round(1 / STEP_SECONDS)
            if number % per_second == turn % per_second:
                order = number // per_second * self.play.restarts + turn
                self._kill(design, self.routers[order % len(self.routers)])

    def _kill(self, design: CapDesign, router: str) -> None:
        self._down_until[router] = self.get_time() + DOWN_SECONDS
        design.restart(router)

    def _draw(self, now: float) -> list[tuple[str, float]]:
        load = self.play.load[int(now + STEP_SECONDS / 10)]
        mean = load * CALM_USE * STEP_SECONDS / MEAN_TOKENS
        requests = []
        wait = self.source.expovariate(mean)
        while wait < 1.0:
            large = self.source.random() < LARGE_SHARE
            size = LARGE_TOKENS if large else SMALL_TOKENS
            units = min(self.source.expovariate(1 / size), MAX_TOKENS)
            router = self.source.choice(self.routers)
            if self.play.uneven and self.source.random() < BUSY_SHARE:
                router = self.routers[0]
            requests.append((router, units))
            wait += self.source.expovariate(mean)
        return requests


class _Ideal:
    """One bucket for all, without any delay."""

    def __init__(self) -> None:
        self.given = 0.0
        self._level = CAP.burst
        self._at = 0.0

    def take(self, units: float, now: float) -> None:
        """Take units if something is left."""
        gained = (now - self._at) * CAP.rate
        self._level = min(self._level + gained, CAP.burst)
        self._at = now
        if self._level > 0:
            self._level -= units
            self.given += units


def _find_most(given: list[tuple[float, float]], window: float) -> float:
    """Return the most units in any window."""
    held: collections.deque[tuple[float, float]] = collections.deque()
    total = most = 0.0
    for at, units in given:
        held.append((at, units))
        total += units
        while held[0][0] <= at - window:
            total -= held.popleft()[1]
        most = max(most, total)
    return most


class NoCaps(CapDesign):
    """Nothing is counted."""

    def admit(self, router: str, units: float) -> bool:
        """Admit everything."""
        return True

    def restart(self, router: str) -> None:
        """Know nothing, as before."""


class EqualShares(CapDesign):
    """Each router keeps an equal part of the rate and of the burst."""

    def __init__(self, play: CapPlay) -> None:
        super().__init__(play)
        self._levels = {}
        for router in play.routers:
            self.restart(router)

    def get_share(self, router: str) -> float:
        """Return a router's part."""
        return 1 / len(self.play.routers)

    def admit(self, router: str, units: float) -> bool:
        """Take from the router's own bucket."""
        now = self.play.get_time()
        level, at = self._levels[router]
        share = self.get_share(router)
        level = min(level + (now - at) * CAP.rate * share, CAP.burst * share)
        admitted = level > 0
        self._levels[router] = (level - units if admitted else level, now)
        return admitted

    def restart(self, router: str) -> None:
        """Begin with the part of the burst that a start may use."""
        level = CAP.get_start_level(PROMISES) / len(self.play.routers)
        self._levels[router] = (level, self.play.get_time())


class DemandShares(EqualShares):
    """Parts of the rate and burst follow what each router was asked for.

    The demand of all is told by those that can be reached; the demand of the
    others stays what it was.
    """

    def __init__(self, play: CapPlay) -> None:
        self._asked = collections.Counter()
        self._told = {router: {} for router in play.routers}
        super().__init__(play)

    def admit(self, router: str, units: float) -> bool:
        """Take from the router's own bucket, and count what was asked for."""
        self._asked[router] += units / 4.0
        return super().admit(router, units)

    def get_share(self, router: str) -> float:
        """Return a router's part: four fifths of it by demand."""
        routers = len(self.play.routers)
        told = self._told[router]
        others = sum(told.values())
        own = self._asked[router]
        total = own + others
        by_demand = own / total if total else 1 / routers
        return 0.8 * by_demand + 0.2 / routers

    def step(self, number: int) -> None:
        """Tell all others the demand, four times a second."""
        for router in self.play.routers:
            self._asked[router] *= 1 - STEP_SECONDS / 4.0
        if number % IDLE_STEPS:
            return
        for one in self.play.routers:
            for other in self.play.routers:
                if one != other and self.play.reaches(one, other):
                    self._told[other][one] = self._asked[one]

    def restart(self, router: str) -> None:
        """Forget the demand as well."""
        self._asked[router] = 0.0
        self._told[router] = {}
        super().restart(router)


class SharedLevels(CapDesign):
    """All know what is left of the whole, as ``UsageLedger`` keeps it."""

    def __init__(self, play: CapPlay) -> None:
        super().__init__(play)
        self.workspace = Workspace('acme', None, False, CAP)
        self._summed = len(play.routers) > DIRECT_ROUTERS
        self.datagrams = 0
        self.ledgers: dict[str, UsageLedger] = {}
        self._telling: dict[str, UsagePublisher] = {}
        self._aggregators = {
            place: next(r for r in play.routers if play.places[r] == place)
            for place in DATA_CENTRES
        }
        for router in play.routers:
            self.restart(router)

    def restart(self, router: str) -> None:
        """Begin with an empty ledger."""
        caps = {self.workspace.digest: CAP}
        ledger = UsageLedger(self.play.clock, PROMISES, lambda: caps)
        self.ledgers[router] = ledger
        self._telling[router] = UsagePublisher(router, ledger, self.play.clock)
        if not self._summed:
            others = [name for name in self.play.routers if name != router]
            ledger.use_groups(dict.fromkeys(others, 1))
        elif router in self._aggregators.values():
            ledger.use_groups(self._list_groups(router))
        else:
            ledger.use_aggregator(len(self.play.routers))

    def _list_groups(self, router: str) -> dict[str, int]:
        place = self.play.places[router]
        counts = collections.Counter(self.play.places.values())
        del counts[place]
        near = [r for r in self.play.routers if self.play.places[r] == place]
        near.remove(router)
        return {**dict.fromkeys(near, 1), **counts}

    def admit(self, router: str, units: float) -> bool:
        """Ask the router that adds up first, in a large fleet."""
        ledger = self.ledgers[router]
        if self._summed:
            ledger.request_level(self.workspace)
            if not ledger.is_level_fresh(self.workspace):
                self._ask(router)
        facts = ledger.admit(self.workspace, units)
        return facts.retry_seconds is None

    def step(self, number: int) -> None:
        """Have the reports and sums told that are due."""
        if not self._summed:
            self._tell_all(number)
            return
        for router in self.play.routers:
            if (number + hash_router(router)) % IDLE_STEPS == 0:
                self._ask(router)
        if number % round(SUM_SECONDS / STEP_SECONDS) == 0:
            self._tell_sums()

    def _tell_all(self, number: int) -> None:
        period = round(DIRECT_SECONDS / STEP_SECONDS)
        for one in self.play.routers:
            if (number + hash_router(one)) % period:
                continue
            entries = self._telling[one].build_report()
            for other in self.play.routers:
                if other != one and self.play.reaches(one, other):
                    self.datagrams += 1
                    self._telling[other].handle_report(one, one, entries)

    def _ask(self, router: str) -> None:
        aggregator = self._aggregators[self.play.places[router]]
        entries = self._telling[router].build_report()
        if router == aggregator:
            self._telling[router].handle_member_report(router, router, entries)
            return
        self.datagrams += 1
        if not self.play.reaches(router, aggregator):
            return
        hearer = self._telling[aggregator]
        hearer.handle_member_report(router, router, entries)
        if self.play.reaches(aggregator, router):
            self.datagrams += 1
            self._telling[router].handle_answer(hearer.build_answer(router))

    def _tell_sums(self) -> None:
        for place, aggregator in self._aggregators.items():
            entries = self._telling[aggregator].build_sum()
            for other in self._aggregators.values():
                if other == aggregator:
                    continue
                if self.play.reaches(aggregator, other):
                    self.datagrams += 1
                    self._telling[other].handle_report(
                        aggregator, place, entries
                    )


def hash_router(router: str) -> int:
    """Return a number by which routers take turns."""
    return int(router[1:])
