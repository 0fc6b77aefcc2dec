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

"""Soak of the retry budget: upstreams reject while routers end in series."""

import asyncio
import bisect
from collections.abc import Coroutine
import dataclasses
import pathlib
import random
import signal
import time

from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from tests.support.crashing_upstream import CrashingUpstream
from tests.support.fleet_upstream import Behaviour
from tests.support.router_soak import RouterSoak
from tests.support.router_soak import run_soak
from tests.support.soak_call import call_router
from tests.support.soak_call import SoakCall
from tests.support.soak_records import sleep
from tests.support.soak_router import SoakRouter

WINDOW_SECONDS = 4.0
RETRY_SHARE = 0.2
RETRY_SLACK = 80
CALLERS = 24
PAUSE_SECONDS = 0.15
UPSTREAMS = 4
ROUTERS = 5
SOAK_SECONDS = 16.0
REJECTED_SHARE = 0.9


@dataclasses.dataclass
class RetryOutcome:
    """What upstreams counted.

    :ivar sent: requests of callers.
    :ivar served: those that were served.
    :ivar retries: arrivals beyond the first of their request.
    :ivar worst: retries in the worst window, as a share of those allowed.
    """

    seed: int
    sent: int = 0
    served: int = 0
    retries: int = 0
    worst: float = 0.0

    @property
    def faults(self) -> list[str]:
        """Return a description of the violation of the budget, if any."""
        if self.worst <= 1.0:
            return []
        return [f'{self.worst:.2f} times the allowed retries in a window']


class RejectingUpstream(CrashingUpstream):
    """Rejects most requests while ``rejects`` is set."""

    def __init__(self, instance, store, source: random.Random) -> None:
        super().__init__(instance, store)
        self.rejects = False
        self._source = source

    async def _handle(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        if self.rejects and self._source.random() < REJECTED_SHARE:
            self.script.append(Behaviour.DECLINE)
        await super()._handle(connection, head)


class RetrySoak(RouterSoak[RetryOutcome, RejectingUpstream]):
    """Runs one seed."""

    seconds = SOAK_SECONDS
    router_count = ROUTERS
    upstream_count = UPSTREAMS

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        super().__init__(seed, folder)
        self._outcome = RetryOutcome(seed)
        self._sent_at: list[float] = []
        self._source = self._get_source('kinds')

    def make_upstream(self, name: str) -> RejectingUpstream:
        """Return an upstream that rejects most requests at times."""
        return RejectingUpstream(name, self._store, self._get_source(name))

    def make_router(self, name: str) -> SoakRouter:
        """Return a router with the window and the slack of this soak."""
        router = super().make_router(name)
        router.promises = {
            'budget_window_s': WINDOW_SECONDS,
            'retry_budget_ratio': RETRY_SHARE,
            'retry_slack': RETRY_SLACK,
        }
        return router

    def list_coroutines(self) -> list[Coroutine[None, None, None]]:
        """Return the coroutines of callers and fault injection."""
        return [
            *(self._send_requests(number) for number in range(CALLERS)),
            self._reject_at_times(),
            self._end_routers(),
        ]

    async def _send_requests(self, number: int) -> None:
        source = self._get_source(f'caller {number}')
        while not self._done.is_set():
            address = source.choice(self._routers).address
            name = f'{source.getrandbits(64):x}'
            self._sent_at.append(time.monotonic())
            answer = await call_router(SoakCall(address, name))
            self._outcome.served += answer is not None and answer.status == 200
            await sleep(self._done, source.uniform(0.5, 1.5) * PAUSE_SECONDS)

    async def _reject_at_times(self) -> None:
        source = self._get_source('rejections')
        while not self._done.is_set():
            await sleep(self._done, source.uniform(1.0, WINDOW_SECONDS))
            for upstream in self._upstreams:
                upstream.rejects = True
            await sleep(self._done, source.uniform(2.0, 2 * WINDOW_SECONDS))
            for upstream in self._upstreams:
                upstream.rejects = False

    async def _end_routers(self) -> None:
        source = self._source
        while not self._done.is_set():
            await sleep(self._done, source.uniform(0.2, 1.5))
            count = source.choice((1, ROUTERS - 1, ROUTERS))
            ended = source.sample(self._routers, count)
            end = source.choice((self._kill, self._kill, self._pause))
            await asyncio.gather(*(end(router) for router in ended))

    async def _kill(self, router: SoakRouter) -> None:
        router.kill()
        await router.start()

    async def _pause(self, router: SoakRouter) -> None:
        router.signal(signal.SIGSTOP)
        await sleep(self._done, self._source.uniform(0.2, 1.0))
        router.signal(signal.SIGCONT)

    def check(self) -> RetryOutcome:
        """Count the retries that arrived, by the operators' rule."""
        outcome = self._outcome
        seen: set[str] = set()
        retried_at = []
        for at, name in sorted(
            (at, head.get_header('request-id'))
            for upstream in self._upstreams
            for head, at in zip(
                upstream.arrivals, upstream.arrived_at, strict=True
            )
        ):
            if name in seen:
                retried_at.append(at)
            seen.add(name)
        outcome.sent = len(self._sent_at)
        outcome.retries = len(retried_at)
        outcome.worst = find_worst_window(retried_at, sorted(self._sent_at))
        return outcome


def find_worst_window(retried_at: list[float], sent_at: list[float]) -> float:
    """Return the retries of the worst window, as a share of those allowed.

    The window may count its own requests, those of the one before it, or
    those of the one half a window before it.

    :param retried_at: ascending.
    :param sent_at: ascending.
    """
    worst = 0.0
    for number, begin in enumerate(retried_at):
        end = begin + WINDOW_SECONDS
        retries = bisect.bisect_left(retried_at, end) - number
        requests = max(
            bisect.bisect_left(sent_at, end - shift)
            - bisect.bisect_left(sent_at, begin - shift)
            for shift in (0.0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
        )
        allowed = RETRY_SHARE * requests + RETRY_SLACK
        worst = max(worst, retries / allowed)
    return worst


async def run_seed(seed: int) -> RetryOutcome:
    """Run one seed and return its outcome."""
    return await run_soak(RetrySoak, seed)
