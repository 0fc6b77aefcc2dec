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

"""Soak of limits that appear, change and end, while routers crash."""

from collections.abc import Coroutine
import dataclasses
import pathlib
import random
import signal
import time

from tests.support.crashing_upstream import CrashingUpstream
from tests.support.limited_fleet import compute_allowance
from tests.support.limited_fleet import REACTION_SECONDS
from tests.support.limited_fleet import WINDOW_SECONDS
from tests.support.router_soak import RouterSoak
from tests.support.router_soak import run_soak
from tests.support.soak_call import call_router
from tests.support.soak_call import SoakCall
from tests.support.soak_records import sleep
from tests.support.soak_router import SoakRouter

ROUTERS = 4
UPSTREAMS = 5
CALLERS = 8
CALL_PAUSE_SECONDS = 0.15
SOAK_SECONDS = 16.0
RATES = (0.0, 0.3, 1.2, 4.0, 10.0)
# How soon all connected routers must enforce a limit.
CONTACT_SECONDS = 3.0
# After a limit has changed, requests sent under the previous one may arrive.
CHANGE_GRACE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class ReportedRate:
    """A rate that an upstream reports from a time on; None for no limit."""

    at: float
    rate: float | None


@dataclasses.dataclass
class LimitOutcome:
    """What callers and upstreams observed.

    :ivar peak: requests in the fullest window, as a fraction of the allowed
        number.
    """

    seed: int
    calls: int = 0
    served: int = 0
    refused: int = 0
    unanswered: int = 0
    windows: int = 0
    peak: float = 0.0
    faults: list[str] = dataclasses.field(default_factory=list)


class LimitedUpstream(CrashingUpstream):
    """Upstream that reports limits.

    :ivar reported_rates: the rates that it reported, the newest last.
    """

    def __init__(self, instance, store, source: random.Random) -> None:
        super().__init__(
            instance, store, source.uniform(0.3, 0.8), source.uniform(0, 0.1)
        )
        self.reported_rates = [ReportedRate(time.monotonic(), None)]

    def report(self, rate: float | None) -> None:
        """Report another limit from now on."""
        self.limit = None if rate is None else str(rate)
        self.reported_rates.append(ReportedRate(time.monotonic(), rate))


class LimitSoak(RouterSoak[LimitOutcome, LimitedUpstream]):
    """Runs one seed."""

    seconds = SOAK_SECONDS
    router_count = ROUTERS
    upstream_count = UPSTREAMS

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        super().__init__(seed, folder)
        # Which start of a router each request was sent to.
        self._starts_by_request: dict[str, str] = {}
        # When each start of a router was last paused or resumed.
        self._disturbed_at: dict[str, float] = {}
        self._outcome = LimitOutcome(seed)

    def make_upstream(self, name: str) -> LimitedUpstream:
        """Return an upstream that reports limits."""
        return LimitedUpstream(name, self._store, self._get_source(name))

    def list_coroutines(self) -> list[Coroutine[None, None, None]]:
        """Return the coroutines of callers and fault injection."""
        return [
            *(self._call(number) for number in range(CALLERS)),
            *(self._vary_limits(upstream) for upstream in self._upstreams),
            self._disturb_routers(),
            self._restart_upstreams(),
        ]

    async def _call(self, number: int) -> None:
        source = self._get_source(f'caller {number}')
        outcome = self._outcome
        while not self._done.is_set():
            router = source.choice(self._routers)
            name = f'{source.getrandbits(64):x}'
            self._starts_by_request[name] = router.current_start.name
            answer = await call_router(SoakCall(router.address, name))
            outcome.calls += 1
            if answer is None:
                outcome.unanswered += 1
            else:
                outcome.served += answer.status == 200
                outcome.refused += answer.status == 503
            await sleep(self._done, source.uniform(0, 2 * CALL_PAUSE_SECONDS))

    async def _vary_limits(self, upstream: LimitedUpstream) -> None:
        source = self._get_source(f'limits {upstream.instance}')
        while not self._done.is_set():
            await sleep(self._done, source.uniform(0.0, 9.0))
            for _ in range(source.choice((1, 1, 2))):
                upstream.report(source.choice(RATES))
                await sleep(self._done, source.uniform(3.0, 9.0))
            upstream.report(None)

    async def _disturb_routers(self) -> None:
        source = self._get_source('disturbances')
        while not self._done.is_set():
            await sleep(self._done, source.uniform(1.5, 5.0))
            router = source.choice(self._routers)
            if source.random() < 0.5:
                self._record_disturbance(router)
                router.signal(signal.SIGSTOP)
                await sleep(self._done, source.uniform(0.2, 1.5))
                router.signal(signal.SIGCONT)
                self._record_disturbance(router)
                continue
            router.kill()
            await sleep(self._done, source.uniform(0.0, 0.5))
            await router.start()

    def _record_disturbance(self, router: SoakRouter) -> None:
        self._disturbed_at[router.current_start.name] = time.monotonic()

    async def _restart_upstreams(self) -> None:
        source = self._get_source('upstreams')
        while not self._done.is_set():
            await sleep(self._done, source.uniform(4.0, 8.0))
            upstream = source.choice(self._upstreams)
            # The new start reports no limit until it is overloaded itself.
            upstream.report(None)
            upstream.begin_crash()

    def check(self) -> LimitOutcome:
        """Compare the arrivals at each upstream with its limits."""
        for upstream in self._upstreams:
            self._check_upstream(upstream)
        return self._outcome

    def _check_upstream(self, upstream: LimitedUpstream) -> None:
        """Compare the windows of each reported limit with what it allows."""
        times = zip(upstream.arrivals, upstream.arrived_at, strict=True)
        arrivals = [
            at
            for head, at in times
            if self._is_undisturbed(head.get_header('request-id'), at)
        ]
        ends = [reported.at for reported in upstream.reported_rates[1:]]
        ends.append(float('inf'))
        begin = None
        for reported, end in zip(upstream.reported_rates, ends, strict=True):
            if reported.rate is None:
                begin = None
                continue
            begin = reported.at if begin is None else begin
            first = max(
                begin + CONTACT_SECONDS, reported.at + CHANGE_GRACE_SECONDS
            )
            self._check_period(upstream, reported, (first, end), arrivals)

    def _check_period(
        self,
        upstream: LimitedUpstream,
        reported: ReportedRate,
        period: tuple[float, float],
        arrivals: list[float],
    ) -> None:
        begin, end = period
        counted = [at for at in arrivals if begin <= at < end]
        assert reported.rate is not None, 'only limits are checked'
        allowed = compute_allowance(reported.rate)
        for first in counted:
            count = sum(first <= at < first + WINDOW_SECONDS for at in counted)
            self._outcome.windows += 1
            self._outcome.peak = max(self._outcome.peak, count / allowed)
            if count > allowed:
                self._outcome.faults.append(
                    f'{upstream.instance} got {count} in a window that begins'
                    f' {first - reported.at:.2f} s after it reported'
                    f' {reported.rate}; {allowed:.1f} are allowed'
                )

    def _is_undisturbed(self, request_id: str, at: float) -> bool:
        """Return whether the sending router was not disturbed recently."""
        start = self._starts_by_request.get(request_id, '')
        disturbed_at = self._disturbed_at.get(start, float('-inf'))
        return at - disturbed_at > REACTION_SECONDS + CONTACT_SECONDS


async def run_seed(seed: int) -> LimitOutcome:
    """Run one seed and return its outcome."""
    return await run_soak(LimitSoak, seed)
