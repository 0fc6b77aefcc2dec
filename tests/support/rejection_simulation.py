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

"""Routers that send to one upstream which tolerates few rejections."""

import bisect
import collections
import heapq
import random

from lifttrestle.internal.fleet.policy.rejection_limit import divide_slots
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from tests.cover.test_reach import make_upstream

# How old the loads of the other routers are.
LOAD_AGE_SECONDS = 0.3
RUN_SECONDS = 1.0
SIMULATED_SECONDS = 40.0


class RejectionSimulation:
    """Requests of random routers meet an upstream that is full at first.

    :param demand: arriving requests, as a multiple of what it can run.
    """

    def __init__(
        self,
        seed: int,
        routers: int,
        slots: int,
        max_rejections: float,
        demand: float,
    ) -> None:
        self._random = random.Random(seed)
        self._slots = slots
        self._rate = demand * slots / RUN_SECONDS
        self._routers = [
            self._make_view(max_rejections) for _ in range(routers)
        ]
        self._shares = [
            divide_slots([slots], routers, position)[0]
            for position in range(routers)
        ]
        # When a request ends, and the router that sent it.
        self._ends: list[tuple[float, int]] = []
        # Past numbers of running requests, and from when they were known.
        self._known = collections.deque([(0.0, 0)])
        self.served = 0
        self.rejected_at: list[float] = []

    def _make_view(self, max_rejections: float) -> FleetUpstream:
        """Return what a router knows of the upstream."""
        upstream = make_upstream('u', 'a', slots=self._slots)
        upstream.note_alive(0.1)
        upstream.rejections.note_announced(max_rejections, 0.1)
        return upstream

    def run(self) -> None:
        """Run it from its start to its end."""
        now = 0.1
        for _ in range(self._slots):
            self._arrive(self._random.randrange(len(self._routers)), now)
        while now < SIMULATED_SECONDS:
            now += self._random.expovariate(self._rate)
            while self._ends and self._ends[0][0] <= now:
                self._end(*heapq.heappop(self._ends))
            router = self._random.randrange(len(self._routers))
            upstream = self._routers[router]
            running = self._get_known_running(now)
            upstream.peers_in_flight = max(running - upstream.in_flight, 0)
            if not upstream.may_be_full(self._shares[router], now):
                upstream.note_chosen(self._shares[router], now)
                self._arrive(router, now)

    def get_used_share(self) -> float:
        """Return the requests served, as a share of what it can run."""
        most = self._slots * SIMULATED_SECONDS / RUN_SECONDS
        return self.served / most

    def _arrive(self, router: int, now: float) -> None:
        upstream = self._routers[router]
        if len(self._ends) >= self._slots:
            self.rejected_at.append(now)
            upstream.rejections.note_rejected(len(self._routers), now)
            return
        self.served += 1
        upstream.in_flight += 1
        end = now + self._random.expovariate(1 / RUN_SECONDS)
        heapq.heappush(self._ends, (end, router))
        self._note_running(now)

    def _end(self, now: float, router: int) -> None:
        self._routers[router].in_flight -= 1
        self._note_running(now)

    def _note_running(self, now: float) -> None:
        self._known.append((now + LOAD_AGE_SECONDS, len(self._ends)))

    def _get_known_running(self, now: float) -> int:
        while len(self._known) > 1 and self._known[1][0] <= now:
            self._known.popleft()
        return self._known[0][1]


def find_most_in_a_second(times: list[float]) -> int:
    """Return the largest number of times within any one second."""
    times = sorted(times)
    return max(
        (
            bisect.bisect_left(times, at + 1.0) - index
            for index, at in enumerate(times)
        ),
        default=0,
    )
