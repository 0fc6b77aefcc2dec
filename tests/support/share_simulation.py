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

"""Simulation of workspaces that share engines, one of them with a high load.

It extends the simulation of placed requests by the workspaces of the requests
and by the news of what each workspace asks for and uses.
"""

import collections
from collections.abc import Callable
import dataclasses
import itertools
import random

from lifttrestle.internal.fleet.news.messages import EngineNews
from lifttrestle.internal.fleet.news.messages import UseEntry
from lifttrestle.internal.fleet.news.source import NewsDraft
from lifttrestle.internal.fleet.policy.fair_shares import estimate_cost
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.policy.shedding import decide_shedding
from lifttrestle.internal.fleet.policy.shedding import ShedDecision
from lifttrestle.internal.fleet.policy.usage_caps import UsageCap
from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.fleet.state.engine_pace import FIRST_STEP_SECONDS
from lifttrestle.internal.fleet.state.peer_loads import ANSWER_SECONDS
from lifttrestle.internal.fleet.state.workspace_use import WorkspaceUse
from tests.support.load_simulation import LoadScenario
from tests.support.load_simulation import LoadSimulation
from tests.support.load_simulation import Outcome
from tests.support.load_simulation import SimulatedRouter

NEWS_SECONDS = 0.25
OUTPUT_TOKENS = 0
SLOTS = 12
WORKSPACES = [
    Workspace(f'w{number}', None, False, UsageCap(1000.0, 1000.0))
    for number in range(16)
]
HOT = WORKSPACES[0]
CAPS = {workspace.digest: workspace.cap for workspace in WORKSPACES}


@dataclasses.dataclass(frozen=True)
class ShareScenario(LoadScenario):
    """Settings of a simulated load of several workspaces.

    ``rate`` is that of all workspaces at their usual load.

    :ivar hot_factor: load of the first workspace relative to its usual load.
    :ivar others: whether the other workspaces send requests.
    :ivar shares: whether routers consider fair shares.
    :ivar one_router: whether one router gets all requests of the first one.
    :ivar news: whether routers receive the news of the others.
    :ivar news_age_seconds: how late news arrives.
    :ivar counted_from: requests that arrive before this time are not counted,
        as the queues that grew before the first averages existed remain.
    :ivar killed_at: when the first router is killed.
    :ivar restarted_at: when all routers discard their averages.
    """

    hot_factor: float = 6.0
    others: bool = True
    shares: bool = True
    one_router: bool = False
    news: bool = True
    news_age_seconds: float = 0.25
    counted_from: float = 5.0
    killed_at: float = float('inf')
    restarted_at: float = float('inf')


class RouterSource(random.Random):
    """Random numbers, except that routers are chosen by the simulation."""

    choose_router: Callable[[], SimulatedRouter]

    def choice(self, _routers: object) -> SimulatedRouter:
        """Return the router of the request that is handled now."""
        return self.choose_router()


class ShareSimulation(LoadSimulation):
    """Simulates one load of several workspaces.

    :ivar by_workspace: number of counted requests by outcome.
    :ivar idle_seconds: idle time of all engines.
    :ivar over_share: arrival times of the requests refused for their share.
    """

    def __init__(self, load: ShareScenario, seed: int) -> None:
        super().__init__(load, seed)
        self._shares = load
        self._seed = seed
        self._source = RouterSource(seed)
        self._source.choose_router = self._choose_router
        self._uses = self._make_uses()
        self._news: collections.deque[dict[int, list[UseEntry]]] = (
            collections.deque()
        )
        # A request is identified by the time of its first attempt.
        self._senders: dict[float, Workspace] = {}
        self._sender = HOT
        self.by_workspace = {
            workspace.name: collections.Counter[Outcome]()
            for workspace in WORKSPACES
        }
        self.idle_seconds = 0.0
        self.over_share: list[float] = []

    def _fill_rosters(self) -> None:
        """Fill one roster and copy its entries, as filling takes long."""
        routers = self._routers
        self._routers = routers[:1]
        super()._fill_rosters()
        self._routers = routers
        filled = routers[0].roster
        for router in routers[1:]:
            entries = router.roster._entries
            entries._entries = dict(filled._entries.items())
            entries._oldest_seen_at = filled._entries._oldest_seen_at
            router.roster.changes = filled.changes

    @property
    def engine_seconds(self) -> float:
        """Return the time that all engines have in the counted period."""
        load = self._shares
        return load.engines * (load.seconds - load.counted_from)

    def _make_uses(self) -> dict[SimulatedRouter, WorkspaceUse]:
        return {
            router: WorkspaceUse(
                self._clock, lambda: len(self._routers), lambda: CAPS
            )
            for router in self._routers
        }

    def _schedule_events(self) -> None:
        load = self._shares
        self._load = dataclasses.replace(load, rate=1e-9)
        super()._schedule_events()
        self._load = load
        for workspace in WORKSPACES if load.others else [HOT]:
            # Each workspace has a source of its own, so that its requests do
            # not depend on the load of the others.
            source = random.Random(f'{workspace.name} {self._seed}')
            rate = load.rate / len(WORKSPACES)
            rate *= load.hot_factor if workspace is HOT else 1.0
            at = source.expovariate(rate) if rate else load.seconds
            while at < load.seconds:
                long = source.random() < load.long_share
                self._senders[at] = workspace
                self._schedule(
                    at, lambda at=at, long=long: self._handle_request(at, long)
                )
                at += source.expovariate(rate)
        self._schedule(NEWS_SECONDS, self._deliver_uses)
        if load.restarted_at < load.seconds:
            self._schedule(load.restarted_at, self._restart)

    def _restart(self) -> None:
        self._uses = self._make_uses()
        self._news.clear()

    def _choose_router(self) -> SimulatedRouter:
        if self._shares.one_router and self._sender is HOT:
            return self._routers[-1]
        killed = self._clock.monotonic() >= self._shares.killed_at
        return self._routers[
            self._source.randrange(int(killed), len(self._routers))
        ]

    def _deliver_uses(self) -> None:
        now = self._clock.monotonic()
        if now < self._shares.seconds:
            self._schedule(now + NEWS_SECONDS, self._deliver_uses)
        if not self._shares.news:
            return
        latest = {}
        living = self._routers[int(now >= self._shares.killed_at) :]
        for router in living:
            draft = NewsDraft()
            self._uses[router].add_news(draft, now)
            latest[router] = draft.uses
        self._news.append(latest)
        if len(self._news) > self._shares.news_age_seconds / NEWS_SECONDS:
            arrived = self._news.popleft()
            total = merge_uses(
                list(itertools.chain.from_iterable(arrived.values()))
            )
            for router in living:
                own = [
                    UseEntry(entry.workspace, -entry.asked_ms, -entry.used_ms)
                    for entry in arrived.get(router, [])
                ]
                others = merge_uses(total + own)
                self._uses[router].apply_news(EngineNews(uses=others), now)

    def _handle_request(self, first_at: float, is_long: bool) -> None:
        # The first request of the base class has no workspace.
        if first_at in self._senders:
            self._sender = self._senders[first_at]
            super()._handle_request(first_at, is_long)

    def _decide(
        self,
        router: SimulatedRouter,
        placement: Placement,
        tokens: int,
        first_at: float,
    ) -> ShedDecision | None:
        """Return how a request is refused by the standing of its workspace."""
        load = self._shares
        workspace = self._senders[first_at]
        use = self._uses[router]
        cost = self._get_cost(router, tokens)
        standing = use.get_standing(workspace, cost) if load.shares else None
        use.note_asked(workspace, cost)
        shedding = decide_shedding(
            placement.expected_seconds,
            placement.queue_seconds,
            load.target_seconds,
            standing,
        )
        if shedding is not None and shedding.is_over_share:
            self.over_share.append(self._clock.monotonic())
        return shedding

    def _came_back(self, first_at: float, now: float) -> bool:
        # The first attempt may have waited for the loads of other routers.
        return now > first_at + 2 * ANSWER_SECONDS

    def _count_refused_twice(self, first_at: float) -> None:
        self._count(first_at, Outcome.REFUSED_TWICE)

    def _send(
        self,
        router: SimulatedRouter,
        placement: Placement,
        tokens: int,
        first_at: float,
    ) -> None:
        now = self._clock.monotonic()
        name = placement.upstream.instance
        idle_since = max(self._free_at[name], self._shares.counted_from)
        if now < self._shares.seconds:
            self.idle_seconds += max(now - idle_since, 0.0)
        super()._send(router, placement, tokens, first_at)
        self._uses[router].note_used(
            self._senders[first_at], self._get_cost(router, tokens)
        )
        load = self._shares
        read_at = self._free_at[name]
        in_time = read_at + FIRST_STEP_SECONDS - first_at
        self._count(
            first_at,
            Outcome.IN_TIME
            if in_time <= load.target_seconds
            else Outcome.LATE,
        )

    def _get_cost(self, router: SimulatedRouter, tokens: int) -> float:
        return estimate_cost(
            tokens, router.pace.prefill_seconds, OUTPUT_TOKENS, SLOTS
        )

    def _count(self, first_at: float, outcome: Outcome) -> None:
        if first_at >= self._shares.counted_from:
            self.by_workspace[self._senders[first_at].name][outcome] += 1


def merge_uses(entries: list[UseEntry]) -> list[UseEntry]:
    """Return the sum of the entries of each workspace."""
    asked: collections.Counter[int] = collections.Counter()
    used: collections.Counter[int] = collections.Counter()
    for entry in entries:
        asked[entry.workspace] += entry.asked_ms
        used[entry.workspace] += entry.used_ms
    return [UseEntry(key, asked[key], used[key]) for key in asked]
