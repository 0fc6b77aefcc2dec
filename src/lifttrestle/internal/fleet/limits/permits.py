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

"""Asks for permits, and answers those that ask this router."""

from collections.abc import Callable
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.limits.allocators import PermitAllocators
from lifttrestle.internal.fleet.limits.limit_state import HeldLimit
from lifttrestle.internal.fleet.limits.messages import PermitAnswer
from lifttrestle.internal.fleet.limits.messages import PermitQuery
from lifttrestle.internal.fleet.limits.pending_queries import PermitQuestions
from lifttrestle.internal.fleet.limits.registry import LimitRegistry
from lifttrestle.internal.fleet.limits.replicator import LimitTelling
from lifttrestle.internal.fleet.policy.limit_permits import FIRST_CHOICE_RANK
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import ROUTER_PREFIX

# If no router that gives permits answers, or none can tell, a request tries
# again after this.
UNKNOWN_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class PermitDecision:
    """What became of a question, and what it rested on, for the log.

    :ivar wait: seconds after which to ask again, zero if it may be sent.
    :ivar allocator: the router that said so, an empty string if none did.
    :ivar rate: that the upstream names, None while its limit has just ended.
    :ivar age: seconds since an answer named it, None without a limit.
    """

    wait: float
    allocator: str = ''
    rate: float | None = None
    age: float | None = None


class PermitExchange:
    """Gets permits from the routers that give them, and gives its own.

    :ivar count: is told of each question how it ended.
    """

    def __init__(
        self,
        vm: str,
        registry: LimitRegistry,
        allocators: PermitAllocators,
        telling: LimitTelling,
        directory: UpstreamDirectory,
        roster: Roster,
        clock: Clock,
    ) -> None:
        self._vm = vm
        self._registry = registry
        self._allocators = allocators
        self._telling = telling
        self._directory = directory
        self._roster = roster
        self._clock = clock
        self._questions = PermitQuestions(clock)
        self.count: Callable[[str], None] = lambda result: None

    async def request_permit(
        self, held: HeldLimit, rank: int
    ) -> PermitDecision:
        """Return whether one request may be sent now.

        :param rank: of the request, as ``rank_request`` tells it.
        """
        permit = await self._ask_allocators(held, rank)
        now = self._clock.monotonic()
        if permit.wait:
            held.close(rank, now + permit.wait)
        belief = held.belief
        if belief.rate is None:
            return permit
        age = now - belief.named.end
        return dataclasses.replace(permit, rate=belief.rate, age=age)

    async def _ask_allocators(
        self, held: HeldLimit, rank: int
    ) -> PermitDecision:
        for key in self._allocators.list_sound(held.data_centre):
            answer = await self._ask_one(held, rank, key)
            if answer is None:
                self.count('unanswered')
                self._allocators.avoid(key)
                if rank >= FIRST_CHOICE_RANK:
                    # It does not wait for a second answer.
                    break
                continue
            if answer.free:
                self._registry.free(held, key)
            self.count('refused' if answer.wait else 'granted')
            return PermitDecision(answer.wait, key)
        return PermitDecision(UNKNOWN_SECONDS)

    async def _ask_one(
        self, held: HeldLimit, rank: int, key: str
    ) -> PermitAnswer | None:
        if key == self._roster.key:
            return self._give(held, rank, 0)
        number = self._questions.begin()
        item = held.build_item(self._clock.monotonic())
        self._telling.send(PermitQuery(self._vm, number, item, rank), key)
        return await self._questions.wait(number)

    def take_answer(self, answer: PermitAnswer) -> None:
        """Pass an answer on to the request that waits for it."""
        self._questions.take(answer)

    def take_query(self, query: PermitQuery) -> None:
        """Answer a router that asks for a permit."""
        key = f'{ROUTER_PREFIX}{query.vm}'
        upstream = self._directory.get_by_digest(query.known.start)
        if upstream is None:
            # Its entry is not read yet, or it is gone.
            unknown = PermitAnswer(self._vm, query.number, UNKNOWN_SECONDS)
            self._telling.send(unknown, key)
            return
        held = self._registry.hold(upstream)
        if self._registry.take_item(held, query.known, query.vm, key):
            self._telling.tell_soon(held)
        self._telling.stand_in(held)
        self._telling.send(self._give(held, query.rank, query.number), key)

    def _give(self, held: HeldLimit, rank: int, number: int) -> PermitAnswer:
        self._registry.follow(held)
        if held.bucket is not None:
            wait = held.bucket.take(rank, self._clock.monotonic())
            return PermitAnswer(self._vm, number, wait)
        if held.belief.rate is None:
            return PermitAnswer(self._vm, number, 0.0, True)
        return PermitAnswer(self._vm, number, UNKNOWN_SECONDS)
