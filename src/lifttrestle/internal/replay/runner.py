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

"""Replays a trace with a routing policy and simulated engines.

Requests are distributed among several routers. Each has its own instance of
the policy and knows its own requests in flight and delayed load reports.
"""

import collections
import heapq
import random

from lifttrestle.internal.replay.engine import EngineCosts
from lifttrestle.internal.replay.engine import PrefixCache
from lifttrestle.internal.replay.engine import ReplayEngine
from lifttrestle.internal.replay.event_index import EventIndexPolicy
from lifttrestle.internal.replay.faults import ReplayFaults
from lifttrestle.internal.replay.figures import Figures
from lifttrestle.internal.replay.figures import get_quantile
from lifttrestle.internal.replay.figures import Totals
from lifttrestle.internal.replay.policies import POLICIES
from lifttrestle.internal.replay.request import TraceRequest
from lifttrestle.internal.replay.trace import Trace
from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.policy import Policy
from lifttrestle.internal.routing.prompt import PrefixLevel
from lifttrestle.internal.routing.prompt import Prompt

ROUTERS = 6
REPORT_INTERVAL_SECONDS = 0.25


class ReplayRouter:
    """The policy of a router and its requests in flight by engine."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.in_flight: collections.Counter[str] = collections.Counter()


class Replay:
    """One run of a policy on a trace.

    :param policy: key of the policy in ``POLICIES``.
    :param fault: name of the faults, for the result.
    :param seed: for the policies and for the choice of a router.
    """

    def __init__(
        self,
        trace: Trace,
        policy: str,
        fault: str,
        faults: ReplayFaults,
        seed: int,
        costs: EngineCosts,
    ) -> None:
        self._trace = trace
        self._labels = (policy, fault)
        self._faults = faults
        self._costs = costs
        self._source = random.Random(seed)
        self._routers = [
            ReplayRouter(POLICIES[policy](self._source, faults.event_loss))
            for _ in range(ROUTERS)
        ]
        self._engines = [
            ReplayEngine(f'engine-{number}', costs)
            for number in range(trace.header.upstreams)
        ]
        total = costs.cache_tokens * len(self._engines)
        self._ideal = PrefixCache(total)
        self._reports: collections.deque[tuple[float, dict[str, int]]] = (
            collections.deque()
        )
        self._reported: dict[str, int] = {}
        self._next_report = 0.0
        self._completions: list[tuple[float, int, int, str]] = []
        self._answers: list[tuple] = []
        self._totals = Totals()
        self._crashed = False

    def run(self) -> Figures:
        """Replay every request and return the figures."""
        for number, request in enumerate(self._trace.requests):
            self._advance(request.at)
            self._serve(request, number)
        return self._summarize()

    def _advance(self, now: float) -> None:
        """Process all events until ``now``.

        These are completions, answers, load reports and faults.
        """
        while self._completions and self._completions[0][0] <= now:
            _, _, router, name = heapq.heappop(self._completions)
            self._routers[router].in_flight[name] -= 1
        while self._answers and self._answers[0][0] <= now:
            at, _, router, prompt, candidate, cached = heapq.heappop(
                self._answers
            )
            policy = self._routers[router].policy
            policy.observe(prompt, candidate, cached, at)
        while self._next_report <= now:
            loads = {
                engine.name: engine.count_load(self._next_report)
                for engine in self._engines
            }
            due_at = self._next_report + self._faults.report_lag
            self._reports.append((due_at, loads))
            self._next_report += REPORT_INTERVAL_SECONDS
        while self._reports and self._reports[0][0] <= now:
            self._reported = self._reports.popleft()[1]
        if 0 <= self._faults.crash_at <= now and not self._crashed:
            self._crashed = True
            self._engines[0].crash()

    def _serve(self, request: TraceRequest, number: int) -> None:
        index = self._source.randrange(ROUTERS)
        router = self._routers[index]
        prompt = make_prompt(request)
        candidates = [
            self._make_candidate(engine, router) for engine in self._engines
        ]
        choice = router.policy.choose(prompt, list(candidates), request.at)
        position = next(
            position
            for position, item in enumerate(candidates)
            if item.name == choice.name
        )
        engine = self._engines[position]
        most_cached = max(
            item.cache.count_cached(request) for item in self._engines
        )
        result = engine.serve(request, request.at)
        self._publish_events(request, engine)
        self._record(
            request, result.first_token_at, result.cached_tokens, most_cached
        )
        router.in_flight[engine.name] += 1
        heapq.heappush(
            self._completions,
            (result.last_token_at, number, index, engine.name),
        )
        answer = (
            result.first_token_at,
            number,
            index,
            prompt,
            candidates[position],
            result.cached_tokens,
        )
        heapq.heappush(self._answers, answer)

    def _publish_events(
        self, request: TraceRequest, engine: ReplayEngine
    ) -> None:
        policies = [item.policy for item in self._routers]
        if not isinstance(policies[0], EventIndexPolicy):
            return
        for policy in policies:
            assert isinstance(policy, EventIndexPolicy)
            for digest, _ in request.levels:
                policy.note_event(
                    request.at, engine.name, bytes.fromhex(digest), True
                )

    def _record(
        self,
        request: TraceRequest,
        first_token_at: float,
        cached: int,
        most_cached: int,
    ) -> None:
        totals = self._totals
        totals.first_token_seconds.append(first_token_at - request.at)
        totals.prompt_tokens += request.tokens
        totals.cached_tokens += cached
        totals.ideal_tokens += self._ideal.count_cached(request)
        self._ideal.admit(request)
        totals.wasted_tokens += max(most_cached - cached, 0)

    def _make_candidate(
        self, engine: ReplayEngine, router: ReplayRouter
    ) -> Candidate:
        return Candidate(
            name=engine.name,
            incarnation=str(engine.incarnation),
            slots=self._costs.slots,
            prefill_tokens_per_second=self._costs.prefill_tokens_per_second,
            in_flight=router.in_flight[engine.name],
            reported=self._reported.get(engine.name, 0),
        )

    def _summarize(self) -> Figures:
        totals = self._totals
        firsts = sorted(totals.first_token_seconds)
        counts = [engine.served for engine in self._engines]
        return Figures(
            policy=self._labels[0],
            fault=self._labels[1],
            requests=len(firsts),
            prompt_tokens=totals.prompt_tokens,
            hit_rate=totals.cached_tokens / totals.prompt_tokens,
            ideal_hit_rate=totals.ideal_tokens / totals.prompt_tokens,
            first_p50=get_quantile(firsts, 0.5),
            first_p99=get_quantile(firsts, 0.99),
            first_p999=get_quantile(firsts, 0.999),
            wasted_tokens=totals.wasted_tokens,
            spread=max(counts) * len(counts) / sum(counts),
        )


def make_prompt(request: TraceRequest) -> Prompt:
    """Return the prompt of a recorded request."""
    levels = tuple(
        PrefixLevel(bytes.fromhex(digest), tokens)
        for digest, tokens in request.levels
    )
    return Prompt(levels, request.tokens)
