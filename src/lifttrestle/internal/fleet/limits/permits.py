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

"""Requests permits from allocators, and answers queries for permits."""

from collections.abc import Callable
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.limits.allocators import PermitAllocators
from lifttrestle.internal.fleet.limits.limit_state import LimitState
from lifttrestle.internal.fleet.limits.messages import PermitAnswer
from lifttrestle.internal.fleet.limits.messages import PermitQuery
from lifttrestle.internal.fleet.limits.registry import LimitRegistry
from lifttrestle.internal.fleet.limits.replicator import LimitReplicator
from lifttrestle.internal.fleet.policy.limit_permits import FIRST_FLEXIBLE_RANK
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.pending_queries import PendingQueries
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import ROUTER_PREFIX

# Retry delay of a request if no allocator answers, or the one that answers can
# neither grant nor refuse a permit.
UNKNOWN_RETRY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class PermitDecision:
    """Outcome of a request for a permit, with its grounds for the log.

    :ivar wait: seconds until the retry, zero if the permit is granted.
    :ivar allocator: key of the router that decided, empty if none answered.
    :ivar rate: limit of the upstream, None while it recovers from one.
    :ivar age: seconds since an answer reported the rate, None without one.
    """

    wait: float
    allocator: str = ''
    rate: float | None = None
    age: float | None = None


class PermitExchange:
    """Requests permits from allocators, and grants those of this router.

    :ivar count: is called with the result of each query.
    """

    def __init__(
        self,
        vm: str,
        registry: LimitRegistry,
        allocators: PermitAllocators,
        replicator: LimitReplicator,
        directory: UpstreamDirectory,
        roster: Roster,
        clock: Clock,
    ) -> None:
        self._vm = vm
        self._registry = registry
        self._allocators = allocators
        self._replicator = replicator
        self._directory = directory
        self._roster = roster
        self._clock = clock
        self._queries: PendingQueries[PermitAnswer] = PendingQueries(clock)
        self.count: Callable[[str], None] = lambda result: None

    async def request_permit(
        self, limit: LimitState, rank: int
    ) -> PermitDecision:
        """Request a permit to send one request now.

        :param rank: of the request, as returned by ``rank_request``.
        """
        permit = await self._query_allocators(limit, rank)
        now = self._clock.monotonic()
        if permit.wait:
            limit.note_refusal(rank, now + permit.wait)
        known_limit = limit.known_limit
        if known_limit.rate is None:
            return permit
        age = now - known_limit.latest.end
        return dataclasses.replace(permit, rate=known_limit.rate, age=age)

    async def _query_allocators(
        self, limit: LimitState, rank: int
    ) -> PermitDecision:
        for key in self._allocators.list_responsive(limit.data_centre):
            answer = await self._query_one(limit, rank, key)
            if answer is None:
                self.count('unanswered')
                self._allocators.avoid(key)
                if rank >= FIRST_FLEXIBLE_RANK:
                    # These requests do not wait for a second answer.
                    break
                continue
            if answer.unlimited:
                self._registry.end_recovery(limit, key)
            self.count('refused' if answer.wait else 'granted')
            return PermitDecision(answer.wait, key)
        return PermitDecision(UNKNOWN_RETRY_SECONDS)

    async def _query_one(
        self, limit: LimitState, rank: int, key: str
    ) -> PermitAnswer | None:
        if key == self._roster.key:
            return self._grant(limit, rank, 0)
        number = self._queries.register()
        item = limit.build_item(self._clock.monotonic())
        self._replicator.send(PermitQuery(self._vm, number, item, rank), key)
        return await self._queries.wait(number)

    def handle_answer(self, answer: PermitAnswer) -> None:
        """Pass an answer to the request that waits for it."""
        self._queries.resolve(answer)

    def handle_query(self, query: PermitQuery) -> None:
        """Answer another router's query for a permit."""
        key = f'{ROUTER_PREFIX}{query.vm}'
        upstream = self._directory.get_by_digest(query.known.start)
        if upstream is None:
            # Its directory entry is not loaded yet, or was removed.
            unknown = PermitAnswer(
                self._vm, query.number, UNKNOWN_RETRY_SECONDS
            )
            self._replicator.send(unknown, key)
            return
        limit = self._registry.get_or_create(upstream)
        if self._registry.merge_item(limit, query.known, query.vm, key):
            self._replicator.queue_update(limit)
        self._replicator.begin_failover(limit)
        self._replicator.send(
            self._grant(limit, query.rank, query.number), key
        )

    def _grant(
        self, limit: LimitState, rank: int, number: int
    ) -> PermitAnswer:
        self._registry.update_bucket(limit)
        if limit.bucket is not None:
            wait = limit.bucket.take(rank, self._clock.monotonic())
            return PermitAnswer(self._vm, number, wait)
        if limit.known_limit.rate is None:
            return PermitAnswer(self._vm, number, 0.0, True)
        return PermitAnswer(self._vm, number, UNKNOWN_RETRY_SECONDS)
