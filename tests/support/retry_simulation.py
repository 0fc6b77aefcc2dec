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

"""Routers that share a retry budget, in simulated time.

All upstreams reject while ``rejecting`` is set, and every router then retries
whenever its budget allows it. Retries and requests are counted for all routers
together by the operators' rule, in windows that slide by a tick.
"""

import math
import random

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.policy.retry_budget import SharedRetryBudget
from lifttrestle.internal.fleet.policy.router_share import RouterShare
from lifttrestle.internal.fleet.policy.router_share import ShareHistory
from lifttrestle.internal.fleet.settings import Promises
from tests.support.directories import START

TICK_SECONDS = 0.25
# A router that starts reads the rows of the others within this time.
READ_TICKS = 2


class SimulatedRouter:
    """One router, the budget of its process and what it reads of others.

    :ivar listed: whether its row is in the table.
    :ivar counted: whether the others count it; otherwise it knows that its row
        is too old.
    :ivar shares: what it has read of its share.
    :ivar ready_tick: when it knows the table, if it is running.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.running = False
        self.listed = False
        self.cut = False
        self.ready_tick = 0
        self.counted = True
        self.shares = ShareHistory()
        self.budget: SharedRetryBudget | None = None


class RetrySimulation:
    """Plays a day of one service.

    :param count: routers that run at first.
    :param rate: requests a second of all callers together.
    :ivar rejecting: whether all upstreams reject.
    :ivar worst: retries in the worst window, as a share of those allowed.
    :ivar used: the same for the window that ends now.
    """

    def __init__(
        self, count: int, rate: float, promises: Promises, seed: int = 1
    ) -> None:
        self._promises = promises
        self._clock = ManualClock(START)
        self._source = random.Random(seed)
        self._rate = rate
        self._window = math.ceil(promises.retry_window_seconds / TICK_SECONDS)
        # Totals up to each tick, beginning with two windows without traffic.
        self._requests = [0] * (2 * self._window + 1)
        self._retries = [0] * (2 * self._window + 1)
        self.routers = [SimulatedRouter(number) for number in range(count)]
        self.rejecting = False
        self.worst = 0.0
        self.used = 0.0
        self.start(self.routers)

    @property
    def running(self) -> list[SimulatedRouter]:
        """Return the routers that run."""
        return [router for router in self.routers if router.running]

    @property
    def retries(self) -> int:
        """Return all retries so far."""
        return self._retries[-1]

    def choose(self, share: float) -> list[SimulatedRouter]:
        """Return a random share of the running routers."""
        running = self.running
        return self._source.sample(running, round(share * len(running)))

    def start(self, routers: list[SimulatedRouter]) -> None:
        """Start a process of each of the routers."""
        for router in routers:
            router.running = router.listed = router.counted = True
            router.shares = ShareHistory()
            router.ready_tick = len(self._retries) + READ_TICKS
            router.budget = SharedRetryBudget(
                self._promises,
                self._clock,
                started_at=self._clock.monotonic(),
            )

    def kill(self, routers: list[SimulatedRouter]) -> None:
        """End processes at once; their rows stay in the table."""
        for router in routers:
            router.running = router.cut = False

    def stop(self, routers: list[SimulatedRouter]) -> None:
        """Stop routers as planned; their rows leave the table."""
        self.kill(routers)
        for router in routers:
            router.listed = False

    def count_out(self, routers: list[SimulatedRouter]) -> None:
        """Remove the rows of routers that have long been cut off."""
        for router in routers:
            router.cut = True
            router.listed = router.counted = False

    def start_stopped(self) -> None:
        """Start all routers that don't run."""
        self.start([item for item in self.routers if not item.running])

    def add(self, count: int) -> None:
        """Start further routers."""
        first = len(self.routers)
        added = [SimulatedRouter(first + number) for number in range(count)]
        self.routers += added
        self.start(added)

    def run(self, seconds: float) -> None:
        """Let time pass, with requests and retries."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self._clock.advance(TICK_SECONDS)
            self._read_rows()
            requests = self._send_requests()
            retries = self._send_retries() if self.rejecting else 0
            self._requests.append(self._requests[-1] + requests)
            self._retries.append(self._retries[-1] + retries)
            self._judge()

    def _read_rows(self) -> None:
        listed = sorted(item.number for item in self.routers if item.listed)
        positions = {number: place for place, number in enumerate(listed)}
        now = self._clock.monotonic()
        for router in self.running:
            if router.cut or len(self._retries) < router.ready_tick:
                continue
            share = RouterShare(len(listed), positions[router.number])
            router.shares.note(share, now)

    def _send_requests(self) -> int:
        """Send the requests of a tick; those at routers that run count."""
        expected = self._rate * TICK_SECONDS
        count = int(expected + self._source.random())
        running = self.running
        for _ in range(count if running else 0):
            self._source.choice(running).budget.note_request()
        return count

    def _send_retries(self) -> int:
        retries = 0
        running = self.running
        self._source.shuffle(running)
        for router in running:
            while self._take(router):
                retries += 1
        return retries

    def _take(self, router: SimulatedRouter) -> bool:
        oldest = self._clock.monotonic() - self._promises.retry_window_seconds
        shares = router.shares.list_since(oldest) if router.counted else []
        return router.budget.take(shares)

    def _judge(self) -> None:
        retries = self._retries[-1] - self._retries[-1 - self._window]
        requests = max(
            self._count_requests(shift)
            for shift in (0, self._window // 2, self._window)
        )
        promises = self._promises
        allowed = promises.retry_share * requests + promises.retry_slack
        self.used = retries / allowed
        self.worst = max(self.worst, self.used)

    def _count_requests(self, shift: int) -> int:
        """Return the requests of a window that ended some ticks ago."""
        end = len(self._requests) - 1 - shift
        return self._requests[end] - self._requests[end - self._window]
