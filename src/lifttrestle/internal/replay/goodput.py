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

"""Replays a trace at a multiple of its speed, with admission control.

Each router uses the admission queue of the product before its policy. A
request counts as good if its first token arrives before its deadline.
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
from lifttrestle.internal.replay.figures import get_quantile
from lifttrestle.internal.replay.policies import POLICIES
from lifttrestle.internal.replay.request import TraceRequest
from lifttrestle.internal.replay.runner import make_prompt
from lifttrestle.internal.replay.runner import ReplayRouter
from lifttrestle.internal.replay.runner import ROUTERS
from lifttrestle.internal.replay.trace import Trace
from lifttrestle.internal.routing.candidate import Candidate

FIRST_TOKEN_DEADLINE_SECONDS = 5.0


class GoodputFigures(msgspec.Struct, frozen=True):
    """Results of a trace at a multiple of its speed.

    :ivar offered: requests per second that arrived.
    :ivar good: requests per second whose first token met the deadline.
    :ivar late: number of requests whose first token missed the deadline.
    :ivar refused: number of requests refused by a full queue or at their
        deadline.
    :ivar urgent_p99: 99th percentile of the seconds to the first token, of
        the answered requests with the highest priority in the trace.
    :ivar urgent_refused: number of refused requests with that priority.
    """

    speed: float
    offered: float
    good: float
    late: int
    refused: int
    urgent_p99: float
    urgent_refused: int


class GoodputReplay:
    """One run of the ``nested`` policy behind admission queues.

    :param speed: arrival rate, as a multiple of the recorded one.
    :param running: requests that one router may process concurrently.
    :param queue_length: requests that may wait at one router.
    """

    def __init__(
        self,
        trace: Trace,
        speed: float,
        running: int,
        queue_length: int,
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
            AdmissionQueue(running, queue_length) for _ in range(ROUTERS)
        ]
        self._engines = [
            ReplayEngine(f'engine-{number}', costs)
            for number in range(trace.header.upstreams)
        ]
        self._waiting: dict[Ticket, tuple[TraceRequest, float]] = {}
        self._completions: list[tuple[float, int, int, str]] = []
        self._sequence = itertools.count()
        self._first_token_seconds: list[tuple[int, float]] = []
        self._refused: list[int] = []

    def run(self) -> GoodputFigures:
        """Replay every request and return the figures."""
        for request in self._trace.requests:
            now = request.at / self._speed
            self._complete_until(now)
            router = self._source.randrange(ROUTERS)
            ticket = Ticket(
                request.priority, now + FIRST_TOKEN_DEADLINE_SECONDS
            )
            self._waiting[ticket] = (request, now)
            result = self._queues[router].offer(ticket, now)
            self._apply(result, router, now)
        self._complete_until(float('inf'))
        return self._summarize()

    def _complete_until(self, now: float) -> None:
        while self._completions and self._completions[0][0] <= now:
            at, _, router, name = heapq.heappop(self._completions)
            self._routers[router].in_flight[name] -= 1
            self._apply(self._queues[router].release(at), router, at)

    def _apply(self, result: AdmissionResult, router: int, now: float) -> None:
        for ticket in result.refused:
            self._waiting.pop(ticket)
            self._refused.append(ticket.priority)
        for ticket in result.started:
            request, arrived_at = self._waiting.pop(ticket)
            self._start(request, arrived_at, router, now)

    def _start(
        self, request: TraceRequest, arrived_at: float, index: int, now: float
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
        result = engine.serve(request, now)
        router.in_flight[engine.name] += 1
        end = (result.last_token_at, next(self._sequence), index, engine.name)
        heapq.heappush(self._completions, end)
        self._first_token_seconds.append(
            (request.priority, result.first_token_at - arrived_at)
        )

    def _summarize(self) -> GoodputFigures:
        requests = self._trace.requests
        seconds = requests[-1].at / self._speed
        good = sum(
            first <= FIRST_TOKEN_DEADLINE_SECONDS
            for _, first in self._first_token_seconds
        )
        urgent = min(request.priority for request in requests)
        firsts = sorted(
            first
            for priority, first in self._first_token_seconds
            if priority == urgent
        )
        return GoodputFigures(
            speed=self._speed,
            offered=len(requests) / seconds,
            good=good / seconds,
            late=len(self._first_token_seconds) - good,
            refused=len(self._refused),
            urgent_p99=get_quantile(firsts, 0.99) if firsts else 0.0,
            urgent_refused=self._refused.count(urgent),
        )
