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

"""All limits that one router knows, with the permits that it grants."""

from collections.abc import Iterator

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.limits.allocators import PermitAllocators
from lifttrestle.internal.fleet.limits.limit_state import LimitState
from lifttrestle.internal.fleet.limits.limit_state import read_item
from lifttrestle.internal.fleet.limits.messages import LimitItem
from lifttrestle.internal.fleet.policy.known_limit import LimitChange
from lifttrestle.internal.fleet.policy.known_limit import LimitObservation
from lifttrestle.internal.fleet.policy.limit_permits import PermitBucket
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('limits')
MILLISECONDS = 1000


class LimitRegistry:
    """Limits by the digests of the upstreams' starts."""

    def __init__(self, allocators: PermitAllocators, clock: Clock) -> None:
        self._allocators = allocators
        self._clock = clock
        self._limits: dict[int, LimitState] = {}

    def __iter__(self) -> Iterator[LimitState]:
        """Iterate over all limits, including ended ones."""
        return iter(list(self._limits.values()))

    def __len__(self) -> int:
        """Return the number of limits, including ended ones."""
        return len(self._limits)

    def get(self, digest: int) -> LimitState | None:
        """Return the limit of a start, None if none is known."""
        return self._limits.get(digest)

    def find_limited(self, upstream: FleetUpstream) -> LimitState | None:
        """Return the limit of an upstream if it requires permits."""
        limit = self._limits.get(upstream.digest)
        return limit if limit is not None and limit.needs_permits else None

    def get_or_create(self, upstream: FleetUpstream) -> LimitState:
        """Return the limit of a start, created if none is known."""
        limit = self._limits.get(upstream.digest)
        if limit is None:
            limit = LimitState(
                upstream.start, upstream.digest, upstream.entry.data_centre
            )
            self._limits[upstream.digest] = limit
        return limit

    def forget(self, upstream: FleetUpstream) -> None:
        """Drop the limit of a start that is gone."""
        limit = self._limits.pop(upstream.digest, None)
        if limit is not None and limit.needs_permits:
            LOG.info('limit.gone', start=limit.start)

    def observe(
        self, limit: LimitState, observation: LimitObservation, source: str
    ) -> bool:
        """Apply an observation; return whether it changes the limit.

        :param source: of the observation, for the log.
        """
        before = limit.known_limit.rate
        change = limit.known_limit.update(observation)
        if change is LimitChange.NOTHING:
            return False
        now = self._clock.monotonic()
        limit.recovering = change is LimitChange.ENDED
        limit.confirmed = False
        limit.refused_until = now
        self.update_bucket(limit)
        LOG.info(
            f'limit.{change.value}',
            start=limit.start,
            rate_per_s=limit.known_limit.rate,
            before=before,
            source=source,
            age_ms=round((now - observation.end) * MILLISECONDS),
            own_share=self._allocators.get_share(limit.data_centre),
        )
        return True

    def merge_item(
        self, limit: LimitState, item: LimitItem, vm: str, key: str
    ) -> bool:
        """Apply an item of another router; return whether it changes a limit.

        :param key: of the router that sent the item.
        """
        observation = read_item(item, self._clock.monotonic())
        if item.recovering and limit.is_unknown:
            # Resumes a recovery whose allocator is gone.
            limit.recovering = True
            limit.known_limit.ended_at = observation.end
        changed = self.observe(limit, observation, vm)
        primary = self._allocators.get_primary(limit.data_centre)
        if key == primary and item.rate == limit.known_limit.rate:
            limit.confirmed = True
            if item.rate is None and not item.recovering:
                self.end_recovery(limit, vm)
        return changed

    def update_bucket(self, limit: LimitState) -> None:
        """Adapt the permits that this router grants to limit and share."""
        now = self._clock.monotonic()
        share = self._allocators.get_share(limit.data_centre)
        rate = limit.known_limit.rate
        if not share:
            limit.bucket = None
        elif limit.bucket is not None:
            limit.bucket.set_share(share, now)
            if limit.bucket.rate != rate:
                limit.bucket.set_rate(rate, now)
        elif limit.needs_permits:
            limit.bucket = PermitBucket(rate, share, now)

    def end_recovery(self, limit: LimitState, source: str) -> None:
        """Require no more permits: the recovery is complete."""
        if limit.known_limit.rate is not None or not limit.recovering:
            return
        limit.recovering = False
        limit.bucket = None
        limit.recovered_at = self._clock.monotonic()
        LOG.info('limit.given_back', start=limit.start, source=source)

    def _is_recovered(self, limit: LimitState, now: float) -> bool:
        """Return whether a recovery is complete.

        Only an allocator of the whole limit knows it; a standby allocator
        receives few queries or none.
        """
        if limit.bucket is None or not limit.is_sole_allocator:
            return False
        return limit.bucket.has_recovered(now)

    def sweep(self) -> list[LimitState]:
        """End and return completed recoveries; drop expired limits."""
        now = self._clock.monotonic()
        recovered = []
        for limit in self:
            self.update_bucket(limit)
            if self._is_recovered(limit, now) or limit.is_recovery_timed_out(
                now
            ):
                self.end_recovery(limit, 'its recovery is over')
                recovered.append(limit)
            if limit.is_expired(now):
                del self._limits[limit.digest]
        return recovered
