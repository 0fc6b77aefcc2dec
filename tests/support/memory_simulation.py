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

"""Simulation of requests that fill the memory of engines.

It extends the simulated load by requests with shared prefixes and answers, and
by engines that reject a prompt for which they lack memory, and preempt their
newest request if answers exceed it. Routers exchange their news by a fake that
merges it as aggregators do.
"""

import collections
from collections.abc import Callable
import dataclasses
import functools

from lifttrestle.internal.fleet.news.messages import EngineNews
from lifttrestle.internal.fleet.news.messages import HeldEntry
from lifttrestle.internal.fleet.news.source import NewsDraft
from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.path.dialect import PromptPart
from lifttrestle.internal.fleet.policy.engine_costs import PlacementContext
from lifttrestle.internal.fleet.policy.load_exchange import uses_aggregation
from lifttrestle.internal.fleet.policy.memory_fit import build_need
from lifttrestle.internal.fleet.policy.placement import choose_engine
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.policy.shedding import WAIT_TARGET_SHARE
from lifttrestle.internal.fleet.state.digests import compute_digest
from lifttrestle.internal.fleet.state.engine_memory import EngineMemory
from lifttrestle.internal.fleet.state.engine_pace import FIRST_STEP_SECONDS
from lifttrestle.internal.fleet.state.peer_loads import ANSWER_SECONDS
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from tests.support.load_simulation import LoadScenario
from tests.support.load_simulation import LoadSimulation
from tests.support.load_simulation import SimulatedRouter

MEMORY_TOKENS = 146_048
SLOTS = 12
SHARED_TOKENS = 13_300
OWN_TOKENS = 3_720
ALLOWED_TOKENS = 400
TOKENS_PER_EVENT = 4
STEP_SECONDS = 0.004
NEWS_SECONDS = 0.25
CHECK_SECONDS = 0.05
WAIT_POLL_SECONDS = 0.02
RETRY_SECONDS = 0.2
MAX_ATTEMPTS = 3
SCOPE = 'shared'


@dataclasses.dataclass(frozen=True)
class MemoryScenario(LoadScenario):
    """Settings of a simulated load on the memory of engines.

    :ivar counts_memory: whether routers consider the memory of engines.
    :ivar burst_rate: requests per second in addition, in the burst.
    :ivar burst: begin and end of the burst, in seconds.
    :ivar news_delay: seconds that news takes to the other routers, None if
        they receive none.
    :ivar killed_at: when the first router is killed, None if never.
    :ivar restarted_at: when the first engine starts again, None if never.
    """

    counts_memory: bool = True
    seconds: float = 2.5
    rate: float = 140.0
    burst_rate: float = 130.0
    burst: tuple[float, float] = (1.0, 2.0)
    target_seconds: float = 0.863
    prefill_seconds: float = 17.6e-6
    engines: int = 45
    news_delay: float | None = 0.002
    killed_at: float | None = None
    restarted_at: float | None = None


@dataclasses.dataclass
class Job:
    """A request at an engine; its answer grows from its first token on."""

    router: SimulatedRouter
    attempt_id: int
    upstream: FleetUpstream
    prefix: PromptPart
    own_tokens: int
    answer_tokens: int
    unread_tokens: int
    retry: Callable[[], None]
    first_at: float = float('inf')

    def count_tokens(self, now: float) -> int:
        """Return the tokens of its own part and of its answer so far."""
        written = max(now - self.first_at, 0.0) / STEP_SECONDS
        return self.own_tokens + min(round(written), self.answer_tokens)


@dataclasses.dataclass
class SimulatedEngine:
    """The jobs of an engine: those in its slots and those that wait."""

    running: list[Job] = dataclasses.field(default_factory=list)
    waiting: collections.deque[Job] = dataclasses.field(
        default_factory=collections.deque
    )

    def count_tokens(self, now: float) -> int:
        """Return the tokens that its running jobs hold."""
        prefixes = {job.prefix for job in self.running}
        return sum(job.count_tokens(now) for job in self.running) + sum(
            prefix.tokens for prefix in prefixes
        )


class MemorySimulation(LoadSimulation):
    """Simulates one load on the memory of engines.

    :ivar arrivals: requests that reached an engine.
    :ivar lacking: arrivals rejected or preempted for lack of memory.
    :ivar served: complete answers.
    """

    def __init__(self, load: MemoryScenario, seed: int) -> None:
        super().__init__(load, seed)
        self._scenario = load
        self._engines = {name: SimulatedEngine() for name in self._free_at}
        self._memories = {
            router: EngineMemory(self._source) for router in self._routers
        }
        self._alive = list(self._routers)
        prefixes = 8 * load.engines
        self._prefixes = [
            PromptPart(f'p{number}', self._spread(SHARED_TOKENS))
            for number in range(prefixes)
        ]
        self.arrivals = self.lacking = self.served = 0

    def _spread(self, mean: int) -> int:
        return round(mean * self._source.uniform(0.5, 1.5))

    def _schedule_events(self) -> None:
        load = self._scenario
        super()._schedule_events()
        at, end = load.burst
        while at < end:
            at += self._source.expovariate(load.burst_rate)
            self._schedule(
                at, functools.partial(self._handle_request, at, True)
            )
        period = NEWS_SECONDS
        if uses_aggregation(load.routers):
            period = self._routers[0].loads.get_report_seconds()
        self._news_seconds = max(period, NEWS_SECONDS)
        period = self._news_seconds
        for number in range(int(load.seconds / period)):
            self._schedule(number * period, self._exchange_news)
        for number in range(int(load.seconds / CHECK_SECONDS)):
            self._schedule(number * CHECK_SECONDS, self._check_engines)
        if load.killed_at is not None:
            self._schedule(load.killed_at, self._kill_router)
        if load.restarted_at is not None:
            self._schedule(load.restarted_at, self._restart_engine)

    def _handle_request(self, first_at: float, is_long: bool) -> None:
        if self._clock.monotonic() < self._scenario.seconds:
            super()._handle_request(first_at, is_long)

    def _place(
        self, router: SimulatedRouter, first_at: float, is_long: bool
    ) -> None:
        router = router if router in self._alive else self._alive[0]
        prefix = self._source.choice(self._prefixes)
        own = PromptPart(
            f'{self._source.getrandbits(32):x}', self._spread(OWN_TOKENS)
        )
        generation = Generation(
            'm', prefix.tokens + own.tokens, ALLOWED_TOKENS, (prefix, own)
        )
        until = self._clock.monotonic()
        until += WAIT_TARGET_SHARE * self._load.target_seconds
        self._try_place(router, generation, until, frozenset())

    def _try_place(
        self,
        router: SimulatedRouter,
        generation: Generation,
        until: float,
        tried: frozenset[str],
    ) -> None:
        """Send a request by current loads, or wait for an engine."""
        act = functools.partial(
            self._place_now, router, generation, until, tried
        )
        if router.loads.is_current() or not self._scenario.counts_memory:
            act()
            return
        router.loads.request_sum()

        def stop_waiting() -> None:
            if act in router.waiting:
                router.waiting.remove(act)
                act()

        router.waiting.append(act)
        self._schedule(self._clock.monotonic() + ANSWER_SECONDS, stop_waiting)

    def _place_now(
        self,
        router: SimulatedRouter,
        generation: Generation,
        until: float,
        tried: frozenset[str],
    ) -> None:
        """Send a request, wait for an engine, or let the caller retry."""
        if router not in self._alive:
            return
        now = self._clock.monotonic()
        memory = self._memories[router]
        expected = memory.expect_answer('r', generation.output_tokens)
        digest = compute_digest(generation.parts[0].part_id.encode(), 4)
        need = build_need(generation, expected, (digest,))
        listed = [
            item for item in router.directory if item.instance not in tried
        ]
        if len(tried) >= MAX_ATTEMPTS:
            listed = []
        elif self._scenario.counts_memory:
            fit = memory.decide(need, listed, MEMORY_TOKENS, now)
            listed = [listed[index] for index in fit.fitting]
        if not listed:
            at = now + WAIT_POLL_SECONDS
            if at > until or len(tried) >= MAX_ATTEMPTS:
                at = now + RETRY_SECONDS
                until = at + WAIT_TARGET_SHARE * self._load.target_seconds
                tried = frozenset()
            if at < self._load.seconds:
                self._schedule(
                    at,
                    functools.partial(
                        self._try_place, router, generation, until, tried
                    ),
                )
            return
        context = PlacementContext(
            now,
            'a',
            1,
            slots=SLOTS,
            prefill_seconds=router.pace.prefill_seconds,
        )
        placement = choose_engine(
            listed, generation, SCOPE, router.parts, context, self._source
        )
        assert placement is not None, 'no engine fails in this simulation'
        attempt_id = next(self._order)
        memory.note_sent(attempt_id, placement.upstream, need, now)
        self._send_job(router, placement, generation, attempt_id, until, tried)

    def _send_job(
        self,
        router: SimulatedRouter,
        placement: Placement,
        generation: Generation,
        attempt_id: int,
        until: float,
        tried: frozenset[str],
    ) -> None:
        upstream = placement.upstream
        now = self._clock.monotonic()
        upstream.in_flight += 1
        upstream.note_sent(attempt_id, now, unread=placement.unread_tokens)
        self._request_report(router)
        tried |= {upstream.instance}
        retry = functools.partial(
            self._try_place, router, generation, until, tried
        )
        self.arrivals += 1
        engine = self._engines[upstream.instance]
        engine.waiting.append(
            Job(
                router,
                attempt_id,
                upstream,
                generation.parts[0],
                generation.own_tokens,
                self._source.randint(ALLOWED_TOKENS // 4, ALLOWED_TOKENS),
                placement.unread_tokens,
                retry,
            )
        )
        self._fill_slots(engine)

    def _fill_slots(self, engine: SimulatedEngine) -> None:
        """Start waiting jobs; reject those for which memory is lacking."""
        now = self._clock.monotonic()
        while engine.waiting and len(engine.running) < SLOTS:
            job = engine.waiting.popleft()
            engine.running.append(job)
            if engine.count_tokens(now) > MEMORY_TOKENS:
                self._drop(engine, job)
                continue
            name = job.upstream.instance
            begun = max(now, self._free_at[name])
            read_at = begun + job.unread_tokens * self._load.prefill_seconds
            self._free_at[name] = read_at
            job.first_at = read_at + FIRST_STEP_SECONDS
            self._schedule(
                job.first_at, functools.partial(self._note_first, job)
            )
            end = job.first_at + job.answer_tokens * STEP_SECONDS
            self._schedule(end, functools.partial(self._complete, engine, job))

    def _note_first(self, job: Job) -> None:
        if job.attempt_id in job.upstream.pending:
            job.upstream.note_first_byte(
                job.attempt_id, self._clock.monotonic()
            )
            self._request_report(job.router)

    def _complete(self, engine: SimulatedEngine, job: Job) -> None:
        if job not in engine.running:
            return
        self.served += 1
        self._memories[job.router].note_answer(
            'r', -(-job.answer_tokens // TOKENS_PER_EVENT), ALLOWED_TOKENS
        )
        self._end(engine, job)
        self._fill_slots(engine)

    def _drop(self, engine: SimulatedEngine, job: Job) -> None:
        self.lacking += 1
        self._end(engine, job)
        self._schedule(self._clock.monotonic(), job.retry)

    def _end(self, engine: SimulatedEngine, job: Job) -> None:
        engine.running.remove(job)
        job.upstream.in_flight -= 1
        job.upstream.note_ended(job.attempt_id)
        self._memories[job.router].note_ended(job.attempt_id)

    def _check_engines(self) -> None:
        """Preempt the newest jobs of engines that lack memory."""
        now = self._clock.monotonic()
        for engine in self._engines.values():
            while engine.count_tokens(now) > MEMORY_TOKENS:
                self._drop(engine, engine.running[-1])

    def _exchange_news(self) -> None:
        """Send the news of all routers to all others."""
        delay = self._scenario.news_delay
        if delay is None:
            return
        now = self._clock.monotonic()
        drafts = {}
        total: dict[int, tuple[int, dict[int, int]]] = {}
        for router in self._alive:
            draft = NewsDraft()
            self._memories[router].add_news(draft, now)
            drafts[router] = draft.held
            for entry in draft.held:
                tokens, parts = total.get(entry.engine, (0, {}))
                parts.update(entry.parts)
                total[entry.engine] = (tokens + entry.tokens, parts)
        for router, held in drafts.items():
            news = EngineNews(_subtract(total, held))
            # Routers receive news at different times.
            at = now + delay
            at += self._source.uniform(0, self._news_seconds)
            self._schedule(
                at,
                functools.partial(self._memories[router].apply_news, news, at),
            )

    def _kill_router(self) -> None:
        """Kill the first router; its requests end."""
        router = self._alive.pop(0)
        router.loads._transport = None
        for engine in self._engines.values():
            for job in [*engine.running]:
                if job.router is router:
                    self._end(engine, job)
            engine.waiting = collections.deque(
                job for job in engine.waiting if job.router is not router
            )

    def _restart_engine(self) -> None:
        """Lose the jobs of the first engine, which starts again."""
        name = next(iter(self._engines))
        engine = self._engines[name]
        for job in [*engine.running]:
            self._end(engine, job)
        for job in engine.waiting:
            job.upstream.in_flight -= 1
            job.upstream.note_ended(job.attempt_id)
            self._memories[job.router].note_ended(job.attempt_id)
        engine.waiting.clear()
        self._free_at[name] = self._clock.monotonic()


def _subtract(
    total: dict[int, tuple[int, dict[int, int]]], own: list[HeldEntry]
) -> list[HeldEntry]:
    """Return what the other routers hold; own parts are left out."""
    own_entries = {entry.engine: entry for entry in own}
    others = []
    for engine, (tokens, parts) in total.items():
        entry = own_entries.get(engine, HeldEntry(engine, 0))
        keys = {key for key, _ in entry.parts}
        rest = [item for item in parts.items() if item[0] not in keys]
        others.append(HeldEntry(engine, tokens - entry.tokens, rest))
    return others
