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

"""Limits that upstreams in need name, kept over all routers.

Nothing is sent to such an upstream without a permit, until its limit has
ended and all was given back in steps.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator

from lifttrestle.internal.clock.beat import Beat
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.limits.allocators import PermitAllocators
from lifttrestle.internal.fleet.limits.limit_state import HeldLimit
from lifttrestle.internal.fleet.limits.messages import LimitSyncRequest
from lifttrestle.internal.fleet.limits.messages import LimitUpdate
from lifttrestle.internal.fleet.limits.messages import PermitAnswer
from lifttrestle.internal.fleet.limits.messages import PermitQuery
from lifttrestle.internal.fleet.limits.permits import PermitDecision
from lifttrestle.internal.fleet.limits.permits import PermitExchange
from lifttrestle.internal.fleet.limits.registry import LimitRegistry
from lifttrestle.internal.fleet.limits.replicator import LimitTelling
from lifttrestle.internal.fleet.limits.replicator import Send
from lifttrestle.internal.fleet.policy.limit_belief import LimitSign
from lifttrestle.internal.fleet.policy.limit_belief import NamedLimit
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.intake.refusals import InputRefusals

# Between two looks at what is over and what is to be told again.
LOOK_SECONDS = 0.5
# Between two looks at whether others have told of their limits.
SETTLE_LOOK_SECONDS = 0.05
FREE = PermitDecision(0.0)
Hear = Callable[[type, Callable[..., None]], None]


class UpstreamLimits:
    """What a router asks before it sends, and tells after an answer.

    :param knows_upstreams: returns whether the directory was read.
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
        self._told_faults: set[str] = set()
        allocators = PermitAllocators(roster, clock)
        self._registry = LimitRegistry(allocators, clock)
        self._telling = LimitTelling(
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
            self._telling,
            directory,
            roster,
            clock,
        )

    def connect(
        self, hear: Hear, send: Send, count: Callable[[str], None]
    ) -> None:
        """Exchange messages with the other routers.

        :param hear: has a kind of message passed to a function.
        :param send: sends a message to the router with a key.
        :param count: is told of each question for a permit how it ended.
        """
        hear(LimitUpdate, self._telling.take_news)
        hear(LimitSyncRequest, self._telling.take_call)
        hear(PermitQuery, self._exchange.take_query)
        hear(PermitAnswer, self._exchange.take_answer)
        self._telling.send = send
        self._exchange.count = count

    def __iter__(self) -> Iterator[HeldLimit]:
        """Iterate over the limits for which permits are needed."""
        return (held for held in self._registry if held.needs_permits)

    def __len__(self) -> int:
        """Return for how many upstreams permits are needed."""
        return sum(1 for _ in self)

    def note_answer(
        self, upstream: FleetUpstream, named: NamedLimit, sent_at: float
    ) -> None:
        """Take in what an answer says; a fault is told once a start.

        :param sent_at: when its request was sent, monotonic seconds.
        """
        if named.fault is not None:
            if upstream.start not in self._told_faults:
                self._told_faults.add(upstream.start)
                self._refusals.note('limits', upstream.start, named.fault)
            return
        if named.rate is None and self._registry.get(upstream.digest) is None:
            return
        held = self._registry.hold(upstream)
        sign = LimitSign(named.rate, sent_at, self._clock.monotonic())
        if self._registry.note(held, sign, 'an answer'):
            self._telling.tell_soon(held)

    def forget(self, upstream: FleetUpstream) -> None:
        """Believe nothing more of a start that is there no more."""
        self._told_faults.discard(upstream.start)
        self._registry.forget(upstream)

    @property
    def in_use(self) -> bool:
        """Return whether any upstream has named a limit lately."""
        return len(self._registry) > 0

    def is_limited(self, upstream: FleetUpstream) -> bool:
        """Return whether a request needs a permit to be sent there."""
        return self._registry.find_limited(upstream) is not None

    def is_refused(self, upstream: FleetUpstream, rank: int) -> bool:
        """Return whether a request is known to get no permit now."""
        held = self._registry.find_limited(upstream)
        if held is None:
            return False
        return held.is_refused(rank, self._clock.monotonic())

    def get_retry_delay(self, upstream: FleetUpstream) -> float:
        """Return the seconds until a permit may be asked for again."""
        held = self._registry.find_limited(upstream)
        if held is None:
            return 0.0
        return max(held.closed_until - self._clock.monotonic(), 0.0)

    async def request_permit(
        self, upstream: FleetUpstream, rank: int
    ) -> PermitDecision:
        """Return whether one request may be sent now.

        :param rank: of the request, as ``rank_request`` tells it.
        """
        held = self._registry.find_limited(upstream)
        if held is None:
            return FREE
        return await self._exchange.request_permit(held, rank)

    def is_synced(self) -> bool:
        """Return whether others had the time to tell of their limits."""
        return self._telling.is_synced()

    async def run(self, beat: Beat) -> None:
        """Tell and look again, for ever."""
        await asyncio.gather(
            self._telling.run(), self._run_looking(beat), self._settle()
        )

    async def _settle(self) -> None:
        while not self.is_synced():
            await self._clock.sleep(SETTLE_LOOK_SECONDS)

    async def _run_looking(self, beat: Beat) -> None:
        while True:
            await beat.wait(LOOK_SECONDS)
            self.look()

    def look(self) -> None:
        """End recoveries that are over, and tell what is in force."""
        for held in self._registry.look():
            self._telling.tell_soon(held)
        self._telling.tell_regularly()
