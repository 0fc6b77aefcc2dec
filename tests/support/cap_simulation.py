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

"""Simulates the load of a workspace on many routers that enforce its cap.

Time advances in steps of 50 ms. A message takes effect in the next step if
its receiver is reachable and the message is not lost.
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
# Time a killed router needs to restart, during which it serves no requests.
RESTART_SECONDS = 0.5
DATA_CENTRES = ('a', 'b', 'c', 'd')
PROMISES = Promises(
    cap_window_seconds=8.0, cap_over_share=0.1, cap_slack=110_000.0
)
CAP = UsageCap(350_000.0, 350_000.0, UsageUnit.TOKENS, 200.0)
CALM_RATE = CAP.rate / 1.8
# Interval between the reports that all routers of a small fleet exchange.
DIRECT_SECONDS = 0.25
SUM_SECONDS = 0.1
MAX_DIRECT_ROUTERS = 37
# Steps between the reports of a router.
REPORT_STEPS = 5
# Prompt lengths have two modes: a few thousand tokens and a few hundred.
LARGE_TOKENS = 9200.0
SMALL_TOKENS = 1000.0
LARGE_SHARE = 0.36
MEAN_TOKENS = LARGE_SHARE * LARGE_TOKENS + (1 - LARGE_SHARE) * SMALL_TOKENS
MAX_TOKENS = 46_000.0
BUSY_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True)
class Play:
    """A simulated scenario.

    :ivar load: load in each second, as a multiple of ``CALM_RATE``.
    :ivar uneven: whether one router receives a third of the requests.
    :ivar cut: begin and end of a network partition in seconds, in which two
        data centres can't reach the other two.
    :ivar cut_all: whether the partition separates all data centres.
    :ivar isolated: number of routers that the partition isolates; if not
        zero, the data centres are not partitioned unless ``cut_all`` is set.
    :ivar killed_at: second in which all routers are killed, None for never.
    :ivar restarts: routers killed per second, in turn.
    :ivar loss: fraction of the messages that are lost.
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
    """The results of a simulation.

    :ivar most: highest usage of any window, relative to the allowed usage.
    :ivar refused: fraction of the requests that were refused.
    :ivar admitted: units, relative to those that a single bucket without any
        delay admits.
    """

    most: float
    refused: float
    admitted: float


class CapDesign(abc.ABC):
    """A design that enforces a cap over many routers."""

    def __init__(self, simulation: 'CapPlay') -> None:
        self.simulation = simulation

    @abc.abstractmethod
    def admit(self, router: str, units: float) -> bool:
        """Return whether a router admits a request, and count its units."""

    @abc.abstractmethod
    def restart(self, router: str) -> None:
        """Discard the state of a router."""

    def step(self, number: int) -> None:
        """Exchange the messages of a step between the routers."""


class CapPlay:
    """Simulates a scenario on a number of routers.

    :param seed: seed of all random draws.
    :ivar data_centres: data centre of each router.
    """

    def __init__(self, routers: int, scenario: Play, seed: int) -> None:
        self.scenario = scenario
        self.clock = ManualClock(START)
        self.source = random.Random(seed)
        self._began_at = self.clock.monotonic()
        self.data_centres = {
            f'r{number}': DATA_CENTRES[number % len(DATA_CENTRES)]
            for number in range(routers)
        }
        self.routers = list(self.data_centres)
        self._down_until: dict[str, float] = {}
        self._isolated = set(
            self.routers[len(self.routers) - scenario.isolated :]
        )

    def get_time(self) -> float:
        """Return the seconds since the simulation began."""
        return self.clock.monotonic() - self._began_at

    def is_down(self, router: str) -> bool:
        """Return whether a router is restarting."""
        return self.get_time() < self._down_until.get(router, 0.0)

    def reaches(self, one: str, other: str) -> bool:
        """Return whether a message between two routers arrives."""
        if self.is_down(one) or self.is_down(other):
            return False
        begin, end = self.scenario.cut
        if begin <= self.get_time() < end:
            if one in self._isolated or other in self._isolated:
                return False
            here, there = self.data_centres[one], self.data_centres[other]
            if self.scenario.cut_all and here != there:
                return False
            if not self.scenario.isolated and (here in 'ab') != (
                there in 'ab'
            ):
                return False
        return self.source.random() >= self.scenario.loss

    def run(self, design_type: type[CapDesign]) -> Outcome:
        """Run the scenario with a design."""
        design = design_type(self)
        admitted: list[tuple[float, float]] = []
        requests = refused = 0
        ideal = _IdealBucket()
        seconds = len(self.scenario.load)
        for number in range(round(seconds / STEP_SECONDS)):
            now = self.get_time()
            design.step(number)
            self._restart(design, number)
            for router, units in self._draw_requests(now):
                if self.is_down(router):
                    continue
                requests += 1
                ideal.take(units, now)
                if design.admit(router, units):
                    admitted.append((now, units))
                else:
                    refused += 1
            self.clock.advance(STEP_SECONDS)
        window = PROMISES.cap_window_seconds
        allowed = (CAP.rate * window + CAP.burst) * (
            1 + PROMISES.cap_over_share
        ) + PROMISES.cap_slack
        total = sum(units for _, units in admitted)
        return Outcome(
            most=_compute_peak(admitted, window) / allowed,
            refused=refused / requests,
            admitted=total / ideal.admitted,
        )

    def _restart(self, design: CapDesign, number: int) -> None:
        killed_at = self.scenario.killed_at
        if killed_at is not None and number == round(killed_at / STEP_SECONDS):
            for router in self.routers:
                self._kill(design, router)
        for index in range(self.scenario.restarts):
            per_second = round(1 / STEP_SECONDS)
            if number % per_second == index % per_second:
                order = number // per_second * self.scenario.restarts + index
                self._kill(design, self.routers[order % len(self.routers)])

    def _kill(self, design: CapDesign, router: str) -> None:
        self._down_until[router] = self.get_time() + RESTART_SECONDS
        design.restart(router)

    def _draw_requests(self, now: float) -> list[tuple[str, float]]:
        load = self.scenario.load[int(now + STEP_SECONDS / 10)]
        mean = load * CALM_RATE * STEP_SECONDS / MEAN_TOKENS
        requests = []
        at = self.source.expovariate(mean)
        while at < 1.0:
            large = self.source.random() < LARGE_SHARE
            size = LARGE_TOKENS if large else SMALL_TOKENS
            units = min(self.source.expovariate(1 / size), MAX_TOKENS)
            router = self.source.choice(self.routers)
            if self.scenario.uneven and self.source.random() < BUSY_SHARE:
                router = self.routers[0]
            requests.append((router, units))
            at += self.source.expovariate(mean)
        return requests


class _IdealBucket:
    """A single token bucket for all routers, without any delay."""

    def __init__(self) -> None:
        self.admitted = 0.0
        self._level = CAP.burst
        self._at = 0.0

    def take(self, units: float, now: float) -> None:
        """Admit a request if the level is positive."""
        refill = (now - self._at) * CAP.rate
        self._level = min(self._level + refill, CAP.burst)
        self._at = now
        if self._level > 0:
            self._level -= units
            self.admitted += units


def _compute_peak(admitted: list[tuple[float, float]], window: float) -> float:
    """Return the maximum of the units admitted in any window."""
    recent: collections.deque[tuple[float, float]] = collections.deque()
    total = peak = 0.0
    for at, units in admitted:
        recent.append((at, units))
        total += units
        while recent[0][0] <= at - window:
            total -= recent.popleft()[1]
        peak = max(peak, total)
    return peak


class NoCaps(CapDesign):
    """Enforces no cap."""

    def admit(self, router: str, units: float) -> bool:
        """Admit every request."""
        return True

    def restart(self, router: str) -> None:
        """Do nothing, as there is no state."""


class EqualShares(CapDesign):
    """Enforces an equal share of the rate and burst at each router."""

    def __init__(self, simulation: CapPlay) -> None:
        super().__init__(simulation)
        self._levels = {}
        for router in simulation.routers:
            self.restart(router)

    def get_share(self, router: str) -> float:
        """Return the share of a router, between 0 and 1."""
        return 1 / len(self.simulation.routers)

    def admit(self, router: str, units: float) -> bool:
        """Take the units from the bucket of the router."""
        now = self.simulation.get_time()
        level, at = self._levels[router]
        share = self.get_share(router)
        level = min(level + (now - at) * CAP.rate * share, CAP.burst * share)
        admitted = level > 0
        self._levels[router] = (level - units if admitted else level, now)
        return admitted

    def restart(self, router: str) -> None:
        """Reset the bucket to the share of the start level."""
        level = CAP.get_start_level(PROMISES) / len(self.simulation.routers)
        self._levels[router] = (level, self.simulation.get_time())


class DemandShares(EqualShares):
    """Divides the rate and burst by the demand at each router.

    Routers report their demand to the others. The last reported demand of a
    router counts while it is unreachable.
    """

    def __init__(self, simulation: CapPlay) -> None:
        self._demand = collections.Counter()
        self._received = {router: {} for router in simulation.routers}
        super().__init__(simulation)

    def admit(self, router: str, units: float) -> bool:
        """Count the demand and take the units from the router's bucket."""
        self._demand[router] += units / 4.0
        return super().admit(router, units)

    def get_share(self, router: str) -> float:
        """Return the share of a router: 0.8 by demand and 0.2 equally."""
        routers = len(self.simulation.routers)
        received = self._received[router]
        others = sum(received.values())
        own = self._demand[router]
        total = own + others
        by_demand = own / total if total else 1 / routers
        return 0.8 * by_demand + 0.2 / routers

    def step(self, number: int) -> None:
        """Report the demand to all others, four times per second."""
        for router in self.simulation.routers:
            self._demand[router] *= 1 - STEP_SECONDS / 4.0
        if number % REPORT_STEPS:
            return
        for one in self.simulation.routers:
            for other in self.simulation.routers:
                if one != other and self.simulation.reaches(one, other):
                    self._received[other][one] = self._demand[one]

    def restart(self, router: str) -> None:
        """Discard the demand and reset the bucket."""
        self._demand[router] = 0.0
        self._received[router] = {}
        super().restart(router)


class SharedLevels(CapDesign):
    """Shares one level between all routers, as ``UsageLedger`` does."""

    def __init__(self, simulation: CapPlay) -> None:
        super().__init__(simulation)
        self.workspace = Workspace('acme', None, False, CAP)
        self._uses_aggregators = len(simulation.routers) > MAX_DIRECT_ROUTERS
        self.datagrams = 0
        self.ledgers: dict[str, UsageLedger] = {}
        self._publishers: dict[str, UsagePublisher] = {}
        self._aggregators = {
            data_centre: next(
                r
                for r in simulation.routers
                if simulation.data_centres[r] == data_centre
            )
            for data_centre in DATA_CENTRES
        }
        for router in simulation.routers:
            self.restart(router)

    def restart(self, router: str) -> None:
        """Replace the ledger of a router by an empty one."""
        caps = {self.workspace.digest: CAP}
        ledger = UsageLedger(self.simulation.clock, PROMISES, lambda: caps)
        self.ledgers[router] = ledger
        self._publishers[router] = UsagePublisher(
            router, ledger, self.simulation.clock
        )
        if not self._uses_aggregators:
            others = [
                name for name in self.simulation.routers if name != router
            ]
            ledger.use_groups(dict.fromkeys(others, 1))
        elif router in self._aggregators.values():
            ledger.use_groups(self._list_groups(router))
        else:
            ledger.use_aggregator(len(self.simulation.routers))

    def _list_groups(self, router: str) -> dict[str, int]:
        data_centre = self.simulation.data_centres[router]
        counts = collections.Counter(self.simulation.data_centres.values())
        del counts[data_centre]
        near = [
            r
            for r in self.simulation.routers
            if self.simulation.data_centres[r] == data_centre
        ]
        near.remove(router)
        return {**dict.fromkeys(near, 1), **counts}

    def admit(self, router: str, units: float) -> bool:
        """Admit by the ledger; query the aggregator first in a large fleet."""
        ledger = self.ledgers[router]
        if self._uses_aggregators:
            ledger.request_level(self.workspace)
            if not ledger.is_level_fresh(self.workspace):
                self._query_aggregator(router)
        decision = ledger.admit(self.workspace, units)
        return decision.retry_seconds is None

    def step(self, number: int) -> None:
        """Send the reports and sums that are due."""
        if not self._uses_aggregators:
            self._send_reports(number)
            return
        for router in self.simulation.routers:
            if (number + hash_router(router)) % REPORT_STEPS == 0:
                self._query_aggregator(router)
        if number % round(SUM_SECONDS / STEP_SECONDS) == 0:
            self._send_sums()

    def _send_reports(self, number: int) -> None:
        period = round(DIRECT_SECONDS / STEP_SECONDS)
        for one in self.simulation.routers:
            if (number + hash_router(one)) % period:
                continue
            entries = self._publishers[one].build_report()
            for other in self.simulation.routers:
                if other != one and self.simulation.reaches(one, other):
                    self.datagrams += 1
                    self._publishers[other].handle_report(one, one, entries)

    def _query_aggregator(self, router: str) -> None:
        aggregator = self._aggregators[self.simulation.data_centres[router]]
        entries = self._publishers[router].build_report()
        if router == aggregator:
            self._publishers[router].handle_member_report(
                router, router, entries
            )
            return
        self.datagrams += 1
        if not self.simulation.reaches(router, aggregator):
            return
        receiver = self._publishers[aggregator]
        receiver.handle_member_report(router, router, entries)
        if self.simulation.reaches(aggregator, router):
            self.datagrams += 1
            self._publishers[router].handle_answer(
                receiver.build_answer(router)
            )

    def _send_sums(self) -> None:
        for data_centre, aggregator in self._aggregators.items():
            entries = self._publishers[aggregator].build_sum()
            for other in self._aggregators.values():
                if other == aggregator:
                    continue
                if self.simulation.reaches(aggregator, other):
                    self.datagrams += 1
                    self._publishers[other].handle_report(
                        aggregator, data_centre, entries
                    )


def hash_router(router: str) -> int:
    """Return the number of a router, which staggers periodic messages."""
    return int(router[1:])
