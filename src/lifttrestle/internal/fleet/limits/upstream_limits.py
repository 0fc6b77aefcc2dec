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

"""Fleet-wide enforcement of the rate limits that upstreams report.

Requests to a limited upstream need a permit. After the limit has ended, the
rate of permits rises gradually to the full load; then no permit is needed.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.limits.allocators import PermitAllocators
from lifttrestle.internal.fleet.limits.limit_state import LimitState
from lifttrestle.internal.fleet.limits.messages import LimitSyncRequest
from lifttrestle.internal.fleet.limits.messages import LimitUpdate
from lifttrestle.internal.fleet.limits.messages import PermitAnswer
from lifttrestle.internal.fleet.limits.messages import PermitQuery
from lifttrestle.internal.fleet.limits.permits import PermitDecision
from lifttrestle.internal.fleet.limits.permits import PermitExchange
from lifttrestle.internal.fleet.limits.registry import LimitRegistry
from lifttrestle.internal.fleet.limits.replicator import LimitReplicator
from lifttrestle.internal.fleet.limits.replicator import Send
from lifttrestle.internal.fleet.policy.known_limit import LimitObservation
from lifttrestle.internal.fleet.policy.known_limit import ReportedLimit
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.intake.refusals import InputRefusals

# Interval of ending recoveries, dropping expired limits and sending updates.
SWEEP_SECONDS = 0.5
# Interval of checking whether other routers have sent their limits.
SYNC_POLL_SECONDS = 0.05
UNLIMITED = PermitDecision(0.0)
Subscribe = Callable[[type, Callable[..., None]], None]


class UpstreamLimits:
    """Grants permits before requests are sent, and learns from answers.

    :param knows_upstreams: returns whether the directory was loaded.
    """

    def __init__(
        self,
        vm: str,
        directory: UpstreamDirectory,
        roster: Roster,
        clock: Clock,
        refusals: InputRefusals,
        knows_upstreams: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._refusals = refusals
        self._reported_faults: set[str] = set()
        allocators = PermitAllocators(roster, clock)
        self._registry = LimitRegistry(allocators, clock)
        self._replicator = LimitReplicator(
            vm,
            self._registry,
            allocators,
            directory,
            roster,
            clock,
            knows_upstreams,
        )
        self._exchange = PermitExchange(
            vm,
            self._registry,
            allocators,
            self._replicator,
            directory,
            roster,
            clock,
        )

    def connect(
        self, subscribe: Subscribe, send: Send, count: Callable[[str], None]
    ) -> None:
        """Exchange messages with the other routers.

        :param subscribe: registers the handler of a message type.
        :param send: sends a message to the router with a key.
        :param count: is called with the result of each permit query.
        """
        subscribe(LimitUpdate, self._replicator.handle_update)
        subscribe(LimitSyncRequest, self._replicator.handle_sync_request)
        subscribe(PermitQuery, self._exchange.handle_query)
        subscribe(PermitAnswer, self._exchange.handle_answer)
        self._replicator.send = send
        self._exchange.count = count

    def __iter__(self) -> Iterator[LimitState]:
        """Iterate over the limits that require permits."""
        return (limit for limit in self._registry if limit.needs_permits)

    def __len__(self) -> int:
        """Return the number of upstreams that require permits."""
        return sum(1 for _ in self)

    def note_answer(
        self, upstream: FleetUpstream, reported: ReportedLimit, sent_at: float
    ) -> None:
        """Apply the limit of an answer; report a fault once for each start.

        :param sent_at: when its request was sent, monotonic seconds.
        """
        if reported.fault is not None:
            if upstream.start not in self._reported_faults:
                self._reported_faults.add(upstream.start)
                self._refusals.report('limits', upstream.start, reported.fault)
            return
        if (
            reported.rate is None
            and self._registry.get(upstream.digest) is None
        ):
            return
        limit = self._registry.get_or_create(upstream)
        observation = LimitObservation(
            reported.rate, sent_at, self._clock.monotonic()
        )
        if self._registry.observe(limit, observation, 'an answer'):
            self._replicator.queue_update(limit)

    def forget(self, upstream: FleetUpstream) -> None:
        """Drop the limit of a start that is gone."""
        self._reported_faults.discard(upstream.start)
        self._registry.forget(upstream)

    @property
    def in_use(self) -> bool:
        """Return whether any upstream has reported a limit recently."""
        return len(self._registry) > 0

    def is_limited(self, upstream: FleetUpstream) -> bool:
        """Return whether a request to an upstream needs a permit."""
        return self._registry.find_limited(upstream) is not None

    def is_refused(self, upstream: FleetUpstream, rank: int) -> bool:
        """Return whether a request is known to be refused a permit now."""
        limit = self._registry.find_limited(upstream)
        if limit is None:
            return False
        return limit.is_refused(rank, self._clock.monotonic())

    def get_retry_delay(self, upstream: FleetUpstream) -> float:
        """Return the seconds until a permit may be requested again."""
        limit = self._registry.find_limited(upstream)
        if limit is None:
            return 0.0
        return max(limit.refused_until - self._clock.monotonic(), 0.0)

    async def request_permit(
        self, upstream: FleetUpstream, rank: int
    ) -> PermitDecision:
        """Request a permit to send one request now.

        :param rank: of the request, as returned by ``rank_request``.
        """
        limit = self._registry.find_limited(upstream)
        if limit is None:
            return UNLIMITED
        return await self._exchange.request_permit(limit, rank)

    def is_synced(self) -> bool:
        """Return whether other routers sent their limits, or had time to."""
        return self._replicator.is_synced()

    async def run(self, ticker: Ticker) -> None:
        """Send updates and sweep until cancelled."""
        await asyncio.gather(
            self._replicator.run(),
            self._run_sweeps(ticker),
            self._wait_until_synced(),
        )

    async def _wait_until_synced(self) -> None:
        while not self.is_synced():
            await self._clock.sleep(SYNC_POLL_SECONDS)

    async def _run_sweeps(self, ticker: Ticker) -> None:
        while True:
            await ticker.wait(SWEEP_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """End completed recoveries, and send periodic updates."""
        for limit in self._registry.sweep():
            self._replicator.queue_update(limit)
        self._replicator.send_periodically()
