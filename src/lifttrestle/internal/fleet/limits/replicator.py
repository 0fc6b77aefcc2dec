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

"""Tells the other routers of limits, and hears of them.

Whoever hears an answer tells the router that gives the permits for that
upstream, and that one tells all others: a limit that hundreds of routers learn
at the same moment is not told by each of them to all.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import math

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.limits.allocators import PermitAllocators
from lifttrestle.internal.fleet.limits.limit_state import HeldLimit
from lifttrestle.internal.fleet.limits.messages import LimitItem
from lifttrestle.internal.fleet.limits.messages import LimitSyncRequest
from lifttrestle.internal.fleet.limits.messages import LimitUpdate
from lifttrestle.internal.fleet.limits.messages import PermitAnswer
from lifttrestle.internal.fleet.limits.messages import PermitQuery
from lifttrestle.internal.fleet.limits.registry import LimitRegistry
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import ROUTER_PREFIX

# All that is in force is told to all routers this often.
TELL_SECONDS = 1.0
# Changes that come within this time go into one message.
GATHER_SECONDS = 0.02
# A router that stands in for a silent one tells all for this long.
STAND_IN_SECONDS = 3.0
# A start waits so long for another router to tell of the limits in force, and
# asks this often. One that answers is enough; routers that are busy answer in
# some tenths of a second.
SETTLE_SECONDS = 1.0
ASK_SECONDS = 0.1
# Items of one message: some 40 bytes each, of at most 8 KiB.
MAX_ITEMS = 100
Message = LimitUpdate | LimitSyncRequest | PermitQuery | PermitAnswer
Send = Callable[[Message, str], None]


class LimitTelling:
    """Sends and takes news of limits.

    :param knows_upstreams: returns whether the directory was read.
    :ivar send: sends a message to the router with a key.
    """

    def __init__(
        self,
        vm: str,
        registry: LimitRegistry,
        allocators: PermitAllocators,
        directory: UpstreamDirectory,
        roster: Roster,
        clock: Clock,
        knows_upstreams: Callable[[], bool],
    ) -> None:
        self._vm = vm
        self._registry = registry
        self._allocators = allocators
        self._directory = directory
        self._roster = roster
        self._clock = clock
        self._knows_upstreams = knows_upstreams
        self._changed: set[int] = set()
        self._news = asyncio.Event()
        self._told_at = clock.monotonic()
        self._standing_in_until: dict[str, float] = {}
        self._asking_since: float | None = None
        self._asked_at = -math.inf
        self._settled = False
        self.send: Send = lambda message, key: None

    def tell_soon(self, held: HeldLimit) -> None:
        """Tell of a limit that has changed."""
        self._changed.add(held.digest)
        self._news.set()

    def stand_in(self, held: HeldLimit) -> None:
        """Tell all of limits for a while: the first router was not reached.

        Nothing changes if this router is the first.
        """
        if not self._allocators.is_first(held.data_centre):
            until = self._clock.monotonic() + STAND_IN_SECONDS
            self._standing_in_until[held.data_centre] = until

    def take_call(self, call: LimitSyncRequest) -> None:
        """Tell a router that has just started all limits."""
        limited = [held for held in self._registry if held.needs_permits]
        key = f'{ROUTER_PREFIX}{call.vm}'
        self._send_items(self._build(limited), [key], whole=True)

    def take_news(self, news: LimitUpdate) -> None:
        """Take in what another router believes."""
        self._settled = self._settled or news.whole
        for item in news.items:
            upstream = self._directory.get_by_digest(item.start)
            known = self._registry.get(item.start)
            told = item.rate is not None or item.recovering
            if upstream is None or (known is None and not told):
                continue
            held = known or self._registry.hold(upstream)
            key = f'{ROUTER_PREFIX}{news.vm}'
            changed = self._registry.take_item(held, item, news.vm, key)
            if changed and self._allocators.is_first(held.data_centre):
                self.tell_soon(held)

    def is_synced(self) -> bool:
        """Return whether others had the time to tell of their limits."""
        if self._settled:
            return True
        # What is told of an upstream that is not known yet is passed over.
        if self._roster.loaded and self._knows_upstreams():
            self._settled = self._ask_others()
        return self._settled

    def _ask_others(self) -> bool:
        """Ask those that know most; return whether to wait no more."""
        now = self._clock.monotonic()
        if self._asking_since is None:
            self._asking_since = now
        others = self._allocators.list_everywhere() - {self._roster.key}
        if now - self._asked_at >= ASK_SECONDS:
            self._asked_at = now
            for key in others:
                self.send(LimitSyncRequest(self._vm), key)
        return not others or now - self._asking_since > SETTLE_SECONDS

    async def run(self) -> None:
        """Tell what changes, for ever."""
        while True:
            await self._news.wait()
            await self._clock.sleep(GATHER_SECONDS)
            self._news.clear()
            self.tell_changes()

    def tell_changes(self) -> None:
        """Tell what has changed."""
        held = [self._registry.get(digest) for digest in self._changed]
        self._changed.clear()
        self._tell([item for item in held if item is not None])

    def tell_regularly(self) -> None:
        """Tell what is in force, if that was not done lately."""
        now = self._clock.monotonic()
        if now - self._told_at < TELL_SECONDS:
            return
        self._told_at = now
        self._tell(
            [held for held in self._registry if self._is_due(held, now)]
        )

    def _is_due(self, held: HeldLimit, now: float) -> bool:
        if self._speaks_for(held.data_centre, now):
            return held.is_news(now)
        return held.needs_permits and not held.confirmed

    def _speaks_for(self, data_centre: str, now: float) -> bool:
        """Return whether this router tells all of a data centre's limits."""
        if self._allocators.is_first(data_centre):
            return True
        return self._standing_in_until.get(data_centre, now) > now

    def _tell(self, told: list[HeldLimit]) -> None:
        """Tell all of what this router speaks for, and others of the rest."""
        now = self._clock.monotonic()
        by_hearer: dict[str, list[HeldLimit]] = {}
        for held in told:
            hearer = self._allocators.get_first(held.data_centre)
            if self._speaks_for(held.data_centre, now):
                hearer = self._roster.key
            by_hearer.setdefault(hearer, []).append(held)
        for hearer, limits in by_hearer.items():
            hearers = [hearer]
            if hearer == self._roster.key:
                hearers = self._roster.list_others()
            self._send_items(self._build(limits), hearers)

    def _build(self, told: list[HeldLimit]) -> list[LimitItem]:
        now = self._clock.monotonic()
        return [held.build_item(now) for held in told]

    def _send_items(
        self,
        items: list[LimitItem],
        keys: Collection[str],
        *,
        whole: bool = False,
    ) -> None:
        """Send what is believed, also if it is nothing."""
        for first in range(0, max(len(items), 1), MAX_ITEMS):
            part = items[first : first + MAX_ITEMS]
            for key in keys:
                self.send(LimitUpdate(self._vm, part, whole), key)
