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

"""What one router believes of all limits, and the permits that it gives."""

from collections.abc import Iterator

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.limits.allocators import PermitAllocators
from lifttrestle.internal.fleet.limits.limit_state import HeldLimit
from lifttrestle.internal.fleet.limits.limit_state import read_sign
from lifttrestle.internal.fleet.limits.messages import LimitItem
from lifttrestle.internal.fleet.policy.limit_belief import LimitChange
from lifttrestle.internal.fleet.policy.limit_belief import LimitSign
from lifttrestle.internal.fleet.policy.limit_permits import PermitBucket
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('limits')
MILLISECONDS = 1000


class LimitRegistry:
    """Limits by the digests of their starts."""

    def __init__(self, allocators: PermitAllocators, clock: Clock) -> None:
        self._allocators = allocators
        self._clock = clock
        self._held: dict[int, HeldLimit] = {}

    def __iter__(self) -> Iterator[HeldLimit]:
        """Iterate over all that is believed, also of limits that ended."""
        return iter(list(self._held.values()))

    def __len__(self) -> int:
        """Return of how many starts anything is believed."""
        return len(self._held)

    def get(self, digest: int) -> HeldLimit | None:
        """Return what is believed of a start, None if nothing is."""
        return self._held.get(digest)

    def find_limited(self, upstream: FleetUpstream) -> HeldLimit | None:
        """Return the limit for which permits are needed, if there is one."""
        held = self._held.get(upstream.digest)
        return held if held is not None and held.needs_permits else None

    def hold(self, upstream: FleetUpstream) -> HeldLimit:
        """Return what is believed of a start, after nothing was."""
        held = self._held.get(upstream.digest)
        if held is None:
            held = HeldLimit(
                upstream.start, upstream.digest, upstream.entry.data_centre
            )
            self._held[upstream.digest] = held
        return held

    def forget(self, upstream: FleetUpstream) -> None:
        """Believe nothing more of a start that is there no more."""
        held = self._held.pop(upstream.digest, None)
        if held is not None and held.needs_permits:
            LOG.info('limit.gone', start=held.start)

    def note(self, held: HeldLimit, sign: LimitSign, source: str) -> bool:
        """Take in a sign; return whether it changes anything.

        :param source: who says so, for the log.
        """
        before = held.belief.rate
        change = held.belief.note(sign)
        if change is LimitChange.NOTHING:
            return False
        now = self._clock.monotonic()
        held.recovering = change is LimitChange.ENDED
        held.confirmed = False
        held.closed_until = now
        self.follow(held)
        LOG.info(
            f'limit.{change.value}',
            start=held.start,
            rate_per_s=held.belief.rate,
            before=before,
            source=source,
            age_ms=round((now - sign.end) * MILLISECONDS),
            own_share=self._allocators.get_share(held.data_centre),
        )
        return True

    def take_item(
        self, held: HeldLimit, item: LimitItem, vm: str, key: str
    ) -> bool:
        """Take in what a router tells; return whether it changes anything.

        :param key: of that router.
        """
        sign = read_sign(item, self._clock.monotonic())
        if item.recovering and held.is_unknown:
            # Whoever gave it back in steps before is there no more.
            held.recovering = True
            held.belief.ended_at = sign.end
        changed = self.note(held, sign, vm)
        first = self._allocators.get_first(held.data_centre)
        if key == first and item.rate == held.belief.rate:
            held.confirmed = True
            if item.rate is None and not item.recovering:
                self.free(held, vm)
        return changed

    def follow(self, held: HeldLimit) -> None:
        """Give permits by what is believed now, if that is this router's."""
        now = self._clock.monotonic()
        share = self._allocators.get_share(held.data_centre)
        rate = held.belief.rate
        if not share:
            held.bucket = None
        elif held.bucket is not None:
            held.bucket.set_share(share, now)
            if held.bucket.rate != rate:
                held.bucket.set_rate(rate, now)
        elif held.needs_permits:
            held.bucket = PermitBucket(rate, share, now)

    def free(self, held: HeldLimit, source: str) -> None:
        """Send without permits again: all was given back."""
        if held.belief.rate is not None or not held.recovering:
            return
        held.recovering = False
        held.bucket = None
        held.freed_at = self._clock.monotonic()
        LOG.info('limit.given_back', start=held.start, source=source)

    def _is_over(self, held: HeldLimit, now: float) -> bool:
        """Return whether all was given back.

        A router that stands in for another is asked by few, or nobody.
        """
        if held.bucket is None or not held.gives_all:
            return False
        return held.bucket.is_over(now)

    def look(self) -> list[HeldLimit]:
        """End recoveries that are over and return them; drop what is old."""
        now = self._clock.monotonic()
        freed = []
        for held in self:
            self.follow(held)
            if self._is_over(held, now) or held.is_stuck(now):
                self.free(held, 'its recovery is over')
                freed.append(held)
            if held.is_forgotten(now):
                del self._held[held.digest]
        return freed
