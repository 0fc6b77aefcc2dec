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

"""Soak of routers whose links to the upstreams are cut again and again."""

import asyncio
import dataclasses
import random
import re
import time

from lifttrestle.internal.http.answer import Answer
from tests.support.cut_fleet import CutFleet
from tests.support.cut_fleet import is_served_worse
from tests.support.cut_fleet import Kind
from tests.support.cut_fleet import KINDS
from tests.support.cut_fleet import ROUTERS
from tests.support.cut_fleet import run_cut_fleet
from tests.support.cut_links import Cut
from tests.support.fleet_upstream import EVENTS
from tests.support.soak_records import sleep

SOAK_SECONDS = 24.0
CONTACT_SECONDS = 3.0
CUT_SECONDS = (5.0, 8.0)
CALM_SECONDS = (0.0, 2.0)
RESTART_SECONDS = (2.0, 6.0)
CALLERS_PER_ROUTER = 2
PAUSE_SECONDS = (0.02, 0.1)
REPEATABLE_PATHS = ('/safe/a', '/text/a')
NOT_RUN_STATUSES = (408, 421, 429, 503)
WHOLE_STREAM = [b'%d' % number for number in range(1, EVENTS + 1)]


@dataclasses.dataclass(frozen=True)
class Try:
    """A request of a caller, sent for the first time.

    :ivar at: when it was sent, monotonic seconds.
    :ivar is_router_up: whether its router ran on, without a planned stop.
    """

    router: str
    request_id: str
    kind: Kind
    at: float
    answer: Answer | None
    is_router_up: bool = True

    @property
    def is_served(self) -> bool:
        """Return whether it was answered with success."""
        return self.answer is not None and self.answer.status == 200


@dataclasses.dataclass
class CutSpell:
    """A time in which some routers were cut off, in monotonic seconds."""

    routers: tuple[str, ...]
    how: Cut
    began_at: float
    ended_at: float


@dataclasses.dataclass
class CutOutcome:
    """What callers observed, by the router that they met.

    :ivar served: share of the tries at struck routers that were served, from
        the time of contact on; and that of the tries elsewhere, per spell.
    """

    seed: int
    tries: int = 0
    spells: int = 0
    served: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)


class CutSoak:
    """Cuts links and restarts routers while callers send requests."""

    def __init__(self, seed: int, fleet: CutFleet) -> None:
        self._seed = seed
        self._source = random.Random(f'cuts/{seed}')
        self._fleet = fleet
        self._tries: list[Try] = []
        self._spells: list[CutSpell] = []
        self._done = asyncio.Event()

    async def run(self) -> CutOutcome:
        """Run the soak and check what was observed."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._cut_links())
            tasks.create_task(self._restart_routers())
            for router in ROUTERS:
                for number in range(CALLERS_PER_ROUTER):
                    tasks.create_task(self._call(router, number))
            await asyncio.sleep(SOAK_SECONDS)
            self._done.set()
        return self._check()

    async def _cut_links(self) -> None:
        source = self._source
        while not self._done.is_set():
            await sleep(self._done, source.uniform(*CALM_SECONDS))
            struck = tuple(
                source.sample(
                    list(ROUTERS), source.randint(1, len(ROUTERS) - 1)
                )
            )
            spell = CutSpell(
                struck, source.choice(list(Cut)), time.monotonic(), 0.0
            )
            for router in struck:
                self._fleet.links.cut(router, spell.how)
            await sleep(self._done, source.uniform(*CUT_SECONDS))
            spell.ended_at = time.monotonic()
            self._spells.append(spell)
            for router in struck:
                self._fleet.links.heal(router)

    async def _restart_routers(self) -> None:
        source = random.Random(f'restarts/{self._seed}')
        while not self._done.is_set():
            await sleep(self._done, source.uniform(*RESTART_SECONDS))
            if not self._done.is_set():
                await self._fleet.restart(source.choice(list(ROUTERS)))

    async def _call(self, router: str, number: int) -> None:
        source = random.Random(f'caller/{self._seed}/{router}/{number}')
        sent = 0
        while not self._done.is_set():
            await sleep(self._done, source.uniform(*PAUSE_SECONDS))
            if router in self._fleet.stopped:
                continue
            sent += 1
            request_id = f'{router}-{number}-{sent}'
            kind = source.choice(KINDS)
            at = time.monotonic()
            process = self._fleet.routers[router]
            answer = await self._fleet.call(router, kind, request_id)
            is_up = (
                process is self._fleet.routers[router]
                and router not in self._fleet.stopped
            )
            self._tries.append(
                Try(router, request_id, kind, at, answer, is_up)
            )

    def _check(self) -> CutOutcome:
        outcome = CutOutcome(self._seed, len(self._tries), len(self._spells))
        for spell in self._spells:
            self._check_spell(spell, outcome)
        runs = [
            run.head.get_header('request-id')
            for upstream in self._fleet.upstreams.values()
            for run in upstream.runs
        ]
        for item in self._tries:
            outcome.faults.extend(
                find_faults(item, runs.count(item.request_id))
            )
        return outcome

    def _check_spell(self, spell: CutSpell, outcome: CutOutcome) -> None:
        during = [
            item
            for item in self._tries
            if spell.began_at + CONTACT_SECONDS <= item.at < spell.ended_at
        ]
        struck = [item for item in during if item.router in spell.routers]
        others = [item for item in during if item.router not in spell.routers]
        if not struck or not others:
            return
        served = sum(item.is_served for item in struck)
        others_served = sum(item.is_served for item in others)
        outcome.served.append(
            (served / len(struck), others_served / len(others))
        )
        if is_served_worse(served, len(struck), others_served, len(others)):
            outcome.faults.append(
                f'{spell.how.name} at {", ".join(spell.routers)}: {served} of'
                f' {len(struck)} served, {others_served} of {len(others)}'
                ' elsewhere'
            )


def find_faults(item: Try, runs: int) -> list[str]:
    """Return how the answer to one request broke a rule.

    :param runs: how often the request ran at an upstream.
    """
    faults = []
    if runs > 1 and item.kind.path not in REPEATABLE_PATHS:
        faults.append(f'{item.request_id} ran {runs} times')
    if item.answer is None:
        if item.is_router_up and not runs:
            faults.append(f'{item.request_id} was closed unread')
        return faults
    if item.answer.status in NOT_RUN_STATUSES and runs:
        faults.append(f'{item.request_id} ran, answered {item.answer.status}')
    if item.is_served and item.kind.headers:
        ids = re.findall(rb'id: (\d+)', item.answer.body)
        if ids != WHOLE_STREAM:
            faults.append(f'{item.request_id} got events {ids}')
    return faults


async def run_seed(seed: int) -> CutOutcome:
    """Run one seed and return the outcome."""
    async with run_cut_fleet() as fleet:
        return await CutSoak(seed, fleet).run()
