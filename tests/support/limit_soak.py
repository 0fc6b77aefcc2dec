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

"""Plays limits that come, change and end, before routers that die."""

from collections.abc import Coroutine
import dataclasses
import pathlib
import random
import signal
import time

from tests.support.crashing_upstream import CrashingUpstream
from tests.support.limited_fleet import find_allowed
from tests.support.limited_fleet import TOLD_SECONDS
from tests.support.limited_fleet import WINDOW_SECONDS
from tests.support.router_play import play_seed
from tests.support.router_play import RouterPlay
from tests.support.soak_call import call_router
from tests.support.soak_call import SoakCall
from tests.support.soak_records import rest
from tests.support.soak_router import SoakRouter

ROUTERS = 4
UPSTREAMS = 5
CALLERS = 8
CALL_PAUSE_SECONDS = 0.15
PLAY_SECONDS = 16.0
RATES = (0.0, 0.3, 1.2, 4.0, 10.0)
# From when all that are in touch may be held to a limit.
CONTACT_SECONDS = 3.0
# After a limit has changed, what was sent under the one before may arrive.
CHANGED_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Naming:
    """Since when an upstream names what; None for no limit."""

    at: float
    rate: float | None


@dataclasses.dataclass
class LimitOutcome:
    """What callers and upstreams saw."""

    seed: int
    calls: int = 0
    served: int = 0
    refused: int = 0
    unanswered: int = 0
    windows: int = 0
    fullest: float = 0.0
    faults: list[str] = dataclasses.field(default_factory=list)


class LimitedUpstream(CrashingUpstream):
    """Names limits.

    :ivar namings: what it named, the newest last.
    """

    def __init__(self, instance, store, source: random.Random) -> None:
        super().__init__(
            instance, store, source.uniform(0.3, 0.8), source.uniform(0, 0.1)
        )
        self.namings = [Naming(time.monotonic(), None)]

    def name(self, rate: float | None) -> None:
        """Name another limit from now on."""
        self.limit = None if rate is None else str(rate)
        self.namings.append(Naming(time.monotonic(), rate))


class LimitPlay(RouterPlay[LimitOutcome, LimitedUpstream]):
    """Plays one seed."""

    seconds = PLAY_SECONDS
    router_count = ROUTERS
    upstream_count = UPSTREAMS

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        super().__init__(seed, folder)
        # Which life of a router each request was sent to.
        self._lives: dict[str, str] = {}
        # When each life was last paused or went on.
        self._disturbed: dict[str, float] = {}
        self._outcome = LimitOutcome(seed)

    def make_upstream(self, name: str) -> LimitedUpstream:
        """Return an upstream that names limits."""
        return LimitedUpstream(name, self._store, self._get_source(name))

    def list_work(self) -> list[Coroutine[None, None, None]]:
        """Return what callers do, and what is disturbed."""
        return [
            *(self._call(number) for number in range(CALLERS)),
            *(self._name_limits(upstream) for upstream in self._upstreams),
            self._disturb_routers(),
            self._restart_upstreams(),
        ]

    async def _call(self, number: int) -> None:
        source = self._get_source(f'caller {number}')
        outcome = self._outcome
        while not self._done.is_set():
            router = source.choice(self._routers)
            name = f'{source.getrandbits(64):x}'
            self._lives[name] = router.life.name
            answer = await call_router(SoakCall(router.address, name))
            outcome.calls += 1
            if answer is None:
                outcome.unanswered += 1
            else:
                outcome.served += answer.status == 200
                outcome.refused += answer.status == 503
            await rest(self._done, source.uniform(0, 2 * CALL_PAUSE_SECONDS))

    async def _name_limits(self, upstream: LimitedUpstream) -> None:
        source = self._get_source(f'limits {upstream.instance}')
        while not self._done.is_set():
            await rest(self._done, source.uniform(0.0, 9.0))
            for _ in range(source.choice((1, 1, 2))):
                upstream.name(source.choice(RATES))
                await rest(self._done, source.uniform(3.0, 9.0))
            upstream.name(None)

    async def _disturb_routers(self) -> None:
        source = self._get_source('disturbances')
        while not self._done.is_set():
            await rest(self._done, source.uniform(1.5, 5.0))
            router = source.choice(self._routers)
            if source.random() < 0.5:
                self._note_disturbed(router)
                router.signal(signal.SIGSTOP)
                await rest(self._done, source.uniform(0.2, 1.5))
                router.signal(signal.SIGCONT)
                self._note_disturbed(router)
                continue
            router.kill()
            await rest(self._done, source.uniform(0.0, 0.5))
            await router.start()

    def _note_disturbed(self, router: SoakRouter) -> None:
        self._disturbed[router.life.name] = time.monotonic()

    async def _restart_upstreams(self) -> None:
        source = self._get_source('upstreams')
        while not self._done.is_set():
            await rest(self._done, source.uniform(4.0, 8.0))
            upstream = source.choice(self._upstreams)
            # The new start names nothing until it is in need itself.
            upstream.name(None)
            upstream.begin_crash()

    def judge(self) -> LimitOutcome:
        """Compare what each upstream got with what it named."""
        for upstream in self._upstreams:
            self._judge(upstream)
        return self._outcome

    def _judge(self, upstream: LimitedUpstream) -> None:
        """Compare each window with the highest limit that it touches."""
        times = zip(upstream.arrivals, upstream.arrived_at, strict=True)
        arrivals = [
            at
            for head, at in times
            if self._counts(head.get_header('request-id'), at)
        ]
        ends = [naming.at for naming in upstream.namings[1:]]
        ends.append(float('inf'))
        begin = None
        for naming, end in zip(upstream.namings, ends, strict=True):
            if naming.rate is None:
                begin = None
                continue
            begin = naming.at if begin is None else begin
            first = max(begin + CONTACT_SECONDS, naming.at + CHANGED_SECONDS)
            self._judge_naming(upstream, naming, (first, end), arrivals)

    def _judge_naming(
        self,
        upstream: LimitedUpstream,
        naming: Naming,
        period: tuple[float, float],
        arrivals: list[float],
    ) -> None:
        begin, end = period
        counted = [at for at in arrivals if begin <= at < end]
        assert naming.rate is not None, 'only limits are judged'
        allowed = find_allowed(naming.rate)
        for first in counted:
            held = sum(first <= at < first + WINDOW_SECONDS for at in counted)
            self._outcome.windows += 1
            self._outcome.fullest = max(self._outcome.fullest, held / allowed)
            if held > allowed:
                self._outcome.faults.append(
                    f'{upstream.instance} got {held} in a window that begins'
                    f' {first - naming.at:.2f} s after it named'
                    f' {naming.rate}; {allowed:.1f} are allowed'
                )

    def _counts(self, request_id: str, at: float) -> bool:
        """Return whether the router that sent a request was not disturbed."""
        life = self._lives.get(request_id, '')
        disturbed = self._disturbed.get(life, float('-inf'))
        return at - disturbed > TOLD_SECONDS + CONTACT_SECONDS


async def play(seed: int) -> LimitOutcome:
    """Play one seed."""
    return await play_seed(LimitPlay, seed)
