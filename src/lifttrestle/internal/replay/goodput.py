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

"""Replays a trace at a multiple of its speed, with admission.

Each router has the product's own admission queue in front of its policy. A
request is good if its first token comes within the caller's patience.
"""

import heapq
import itertools
import random

import msgspec

from lifttrestle.internal.admission.queue import AdmissionQueue
from lifttrestle.internal.admission.queue import AdmissionResult
from lifttrestle.internal.admission.ticket import Ticket
from lifttrestle.internal.replay.engine import EngineCosts
from lifttrestle.internal.replay.engine import ReplayEngine
from lifttrestle.internal.replay.figures import pick
from lifttrestle.internal.replay.policies import POLICIES
from lifttrestle.internal.replay.request import TraceRequest
from lifttrestle.internal.replay.runner import make_prompt
from lifttrestle.internal.replay.runner import ReplayRouter
from lifttrestle.internal.replay.runner import ROUTERS
from lifttrestle.internal.replay.trace import Trace
from lifttrestle.internal.routing.candidate import Candidate

PATIENCE_SECONDS = 5.0


class GoodputFigures(msgspec.Struct, frozen=True):
    """What came of a trace at a multiple of its speed.

    :ivar good: requests a second whose first token came in time.
    :ivar late: answered, but too late to be of use.
    :ivar refused: told at once, or at their deadline, to come back.
    :ivar urgent_p99: seconds to the first token for the highest priority
        that the trace has, among those answered.
    """

    speed: float
    offered: float
    good: float
    late: int
    refused: int
    urgent_p99: float
    urgent_refused: int


class GoodputReplay:
    """One run of our policy behind admission queues.

    :param speed: how much faster than recorded the requests come.
    :param running: requests that one router works on at the same time.
    :param length: requests that may wait at one router.
    """

    def __init__(
        self,
        trace: Trace,
        speed: float,
        running: int,
        length: int,
        seed: int,
        costs: EngineCosts,
    ) -> None:
        self._trace = trace
        self._speed = speed
        self._costs = costs
        self._source = random.Random(seed)
        self._routers = [
            ReplayRouter(POLICIES['nested'](self._source, 0.0))
            for _ in range(ROUTERS)
        ]
        self._queues = [
            AdmissionQueue(running, length) for _ in range(ROUTERS)
        ]
        self._engines = [
            ReplayEngine(f'engine-{number}', costs)
            for number in range(trace.header.upstreams)
        ]
        self._waiting: dict[Ticket, tuple[TraceRequest, float]] = {}
        self._ends: list[tuple[float, int, int, str]] = []
        self._order = itertools.count()
        self._firsts: list[tuple[int, float]] = []
        self._refused: list[int] = []

    def run(self) -> GoodputFigures:
        """Replay every request and return the figures."""
        for request in self._trace.requests:
            now = request.at / self._speed
            self._end_until(now)
            router = self._source.randrange(ROUTERS)
            ticket = Ticket(request.priority, now + PATIENCE_SECONDS)
            self._waiting[ticket] = (request, now)
            step = self._queues[router].offer(ticket, now)
            self._apply(step, router, now)
        self._end_until(float('inf'))
        return self._summarise()

    def _end_until(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            at, _, router, name = heapq.heappop(self._ends)
            self._routers[router].in_flight[name] -= 1
            self._apply(self._queues[router].release(at), router, at)

    def _apply(self, step: AdmissionResult, router: int, now: float) -> None:
        for ticket in step.refused:
            self._waiting.pop(ticket)
            self._refused.append(ticket.priority)
        for ticket in step.started:
            request, came = self._waiting.pop(ticket)
            self._start(request, came, router, now)

    def _start(
        self, request: TraceRequest, came: float, index: int, now: float
    ) -> None:
        router = self._routers[index]
        prompt = make_prompt(request)
        candidates = [
            Candidate(
                name=engine.name,
                incarnation='0',
                slots=self._costs.slots,
                prefill_tokens_per_second=(
                    self._costs.prefill_tokens_per_second
                ),
                in_flight=router.in_flight[engine.name],
                reported=engine.count_load(now),
            )
            for engine in self._engines
        ]
        choice = router.policy.choose(prompt, candidates, now)
        engine = next(
            item for item in self._engines if item.name == choice.name
        )
        served = engine.serve(request, now)
        router.in_flight[engine.name] += 1
        end = (served.last, next(self._order), index, engine.name)
        heapq.heappush(self._ends, end)
        self._firsts.append((request.priority, served.first - came))

    def _summarise(self) -> GoodputFigures:
        requests = self._trace.requests
        seconds = requests[-1].at / self._speed
        good = sum(first <= PATIENCE_SECONDS for _, first in self._firsts)
        urgent = min(request.priority for request in requests)
        firsts = sorted(
            first for priority, first in self._firsts if priority == urgent
        )
        return GoodputFigures(
            speed=self._speed,
            offered=len(requests) / seconds,
            good=good / seconds,
            late=len(self._firsts) - good,
            refused=len(self._refused),
            urgent_p99=pick(firsts, 0.99) if firsts else 0.0,
            urgent_refused=self._refused.count(urgent),
        )
