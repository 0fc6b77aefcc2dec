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

"""Replicates limits between routers.

A router that receives an answer with a limit reports it to the primary
allocator of that upstream, which broadcasts it to all other routers. A limit
that hundreds of routers learn at the same moment is thus not broadcast by each
of them.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import math

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.limits.allocators import PermitAllocators
from lifttrestle.internal.fleet.limits.limit_state import LimitState
from lifttrestle.internal.fleet.limits.messages import LimitItem
from lifttrestle.internal.fleet.limits.messages import LimitSyncRequest
from lifttrestle.internal.fleet.limits.messages import LimitUpdate
from lifttrestle.internal.fleet.limits.messages import PermitAnswer
from lifttrestle.internal.fleet.limits.messages import PermitQuery
from lifttrestle.internal.fleet.limits.registry import LimitRegistry
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.roster import ROUTER_PREFIX

# Interval of sending all limits in force to all routers.
UPDATE_SECONDS = 1.0
# Changes within this time are sent in one message.
BATCH_SECONDS = 0.02
# How long a router that gets queries broadcasts for a silent primary.
FAILOVER_SECONDS = 3.0
# How long a starting router waits for the limits of another router, and how
# often it requests them. One answer is enough; busy routers answer within some
# tenths of a second.
SYNC_TIMEOUT_SECONDS = 1.0
SYNC_RETRY_SECONDS = 0.1
# An item takes about 40 bytes, a message at most 8 KiB.
MAX_ITEMS = 100
Message = LimitUpdate | LimitSyncRequest | PermitQuery | PermitAnswer
Send = Callable[[Message, str], None]


class LimitReplicator:
    """Sends limits to other routers and applies those received.

    :param knows_upstreams: returns whether the directory was loaded.
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
        self._has_changes = asyncio.Event()
        self._updated_at = clock.monotonic()
        self._failover_until: dict[str, float] = {}
        self._sync_started_at: float | None = None
        self._sync_requested_at = -math.inf
        self._synced = False
        self.send: Send = lambda message, key: None

    def queue_update(self, limit: LimitState) -> None:
        """Queue a changed limit for the next batch of updates."""
        self._changed.add(limit.digest)
        self._has_changes.set()

    def begin_failover(self, limit: LimitState) -> None:
        """Broadcast for ``FAILOVER_SECONDS``: the primary was not reached.

        Does nothing if this router is the primary.
        """
        if not self._allocators.is_primary(limit.data_centre):
            until = self._clock.monotonic() + FAILOVER_SECONDS
            self._failover_until[limit.data_centre] = until

    def handle_sync_request(self, request: LimitSyncRequest) -> None:
        """Send all limits to a router that has just started."""
        limited = [limit for limit in self._registry if limit.needs_permits]
        key = f'{ROUTER_PREFIX}{request.vm}'
        self._send_items(self._build_items(limited), [key], complete=True)

    def handle_update(self, update: LimitUpdate) -> None:
        """Apply the limits that another router knows."""
        self._synced = self._synced or update.complete
        for item in update.items:
            upstream = self._directory.get_by_digest(item.start)
            known = self._registry.get(item.start)
            needs_permits = item.rate is not None or item.recovering
            if upstream is None or (known is None and not needs_permits):
                continue
            limit = known or self._registry.get_or_create(upstream)
            key = f'{ROUTER_PREFIX}{update.vm}'
            changed = self._registry.merge_item(limit, item, update.vm, key)
            if changed and self._allocators.is_primary(limit.data_centre):
                self.queue_update(limit)

    def is_synced(self) -> bool:
        """Return whether other routers sent their limits, or had time to."""
        if self._synced:
            return True
        # Limits of upstreams that are not loaded yet would be ignored.
        if self._roster.loaded and self._knows_upstreams():
            self._synced = self._request_sync()
        return self._synced

    def _request_sync(self) -> bool:
        """Request limits from all allocators; return whether to stop waiting.

        Allocators know most limits.
        """
        now = self._clock.monotonic()
        if self._sync_started_at is None:
            self._sync_started_at = now
        others = self._allocators.list_all() - {self._roster.key}
        if now - self._sync_requested_at >= SYNC_RETRY_SECONDS:
            self._sync_requested_at = now
            for key in others:
                self.send(LimitSyncRequest(self._vm), key)
        return not others or now - self._sync_started_at > SYNC_TIMEOUT_SECONDS

    async def run(self) -> None:
        """Send changes in batches until cancelled."""
        while True:
            await self._has_changes.wait()
            await self._clock.sleep(BATCH_SECONDS)
            self._has_changes.clear()
            self.send_changes()

    def send_changes(self) -> None:
        """Send the limits that have changed."""
        changed = [self._registry.get(digest) for digest in self._changed]
        self._changed.clear()
        self._send_updates([limit for limit in changed if limit is not None])

    def send_periodically(self) -> None:
        """Send the limits in force, once every ``UPDATE_SECONDS``."""
        now = self._clock.monotonic()
        if now - self._updated_at < UPDATE_SECONDS:
            return
        self._updated_at = now
        self._send_updates(
            [limit for limit in self._registry if self._is_due(limit, now)]
        )

    def _is_due(self, limit: LimitState, now: float) -> bool:
        if self._broadcasts_for(limit.data_centre, now):
            return limit.needs_update(now)
        return limit.needs_permits and not limit.confirmed

    def _broadcasts_for(self, data_centre: str, now: float) -> bool:
        """Return whether this router broadcasts a data centre's limits."""
        if self._allocators.is_primary(data_centre):
            return True
        return self._failover_until.get(data_centre, now) > now

    def _send_updates(self, due: list[LimitState]) -> None:
        """Broadcast limits as primary; report the others to their primary."""
        now = self._clock.monotonic()
        by_receiver: dict[str, list[LimitState]] = {}
        for limit in due:
            receiver = self._allocators.get_primary(limit.data_centre)
            if self._broadcasts_for(limit.data_centre, now):
                receiver = self._roster.key
            by_receiver.setdefault(receiver, []).append(limit)
        for receiver, limits in by_receiver.items():
            receivers = [receiver]
            if receiver == self._roster.key:
                receivers = self._roster.list_others()
            self._send_items(self._build_items(limits), receivers)

    def _build_items(self, limits: list[LimitState]) -> list[LimitItem]:
        now = self._clock.monotonic()
        return [limit.build_item(now) for limit in limits]

    def _send_items(
        self,
        items: list[LimitItem],
        keys: Collection[str],
        *,
        complete: bool = False,
    ) -> None:
        """Send items in messages of ``MAX_ITEMS``, at least one message."""
        for first in range(0, max(len(items), 1), MAX_ITEMS):
            part = items[first : first + MAX_ITEMS]
            for key in keys:
                self.send(LimitUpdate(self._vm, part, complete), key)
