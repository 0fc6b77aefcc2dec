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

"""How slow single engines and plain upstreams are, as all routers know it."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from lifttrestle.internal.fleet.news.messages import EngineNews
from lifttrestle.internal.fleet.news.messages import SpeedEntry
from lifttrestle.internal.fleet.news.source import MAX_NEWS_SECONDS
from lifttrestle.internal.fleet.news.source import NewsDraft
from lifttrestle.internal.fleet.news.source import NewsSource
from lifttrestle.internal.fleet.policy.engine_speed import compute_sample
from lifttrestle.internal.fleet.policy.engine_speed import find_lowest
from lifttrestle.internal.fleet.policy.engine_speed import find_reference
from lifttrestle.internal.fleet.policy.engine_speed import is_recent
from lifttrestle.internal.fleet.policy.engine_speed import LowestSample
from lifttrestle.internal.fleet.policy.engine_speed import merge_lowest
from lifttrestle.internal.fleet.policy.engine_speed import SLOW_RATIO
from lifttrestle.internal.fleet.policy.engine_speed import SLOW_UNTIL
from lifttrestle.internal.fleet.policy.engine_speed import SLOW_WINDOW_SECONDS
from lifttrestle.internal.fleet.policy.engine_speed import SpeedEstimate
from lifttrestle.internal.fleet.policy.engine_speed import update_estimate
from lifttrestle.internal.fleet.policy.engine_speed import WINDOW_SECONDS
from lifttrestle.internal.fleet.policy.load_view import EngineCondition
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('upstreams')
PERCENT = 100
# Other routers use an entry until the next one: with the shortest period,
# what it contains is younger than the window by then.
SHARED_SECONDS = WINDOW_SECONDS - 0.25
# Estimates are updated after this time, or when an answer was recorded.
UPDATE_SECONDS = 0.02
# An engine without recent samples counts in the median of its service with its
# last ones for this time. A slow engine would be the usual one otherwise when
# it alone was used.
REFERENCE_SECONDS = 5.0
# Answers of plain upstreams from which the median of a service is computed.
MAX_PLAIN_ANSWERS = 64
MIN_PLAIN_ANSWERS = 8
# Samples of one engine that are kept.
MAX_SAMPLES = 512
NEVER = float('-inf')


@dataclasses.dataclass
class _EngineRecord:
    """What is known of one start of an upstream.

    :ivar samples: monotonic times and ratios of the answers to this router.
    :ivar ratio: lowest sample of all routers when there was one last.
    :ivar seen_at: when that was, in monotonic seconds.
    """

    samples: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    ratio: float = 1.0
    seen_at: float = NEVER
    estimate: SpeedEstimate = SpeedEstimate()

    def drop_expired(self, now: float) -> None:
        """Drop the answers that are too old to count."""
        earliest = now - SLOW_WINDOW_SECONDS
        while self.samples and self.samples[0][0] < earliest:
            self.samples.popleft()

    def drop_slow(self) -> None:
        """Drop the slow answers."""
        if any(ratio >= SLOW_RATIO for _, ratio in self.samples):
            kept = [item for item in self.samples if item[1] < SLOW_RATIO]
            self.samples.clear()
            self.samples.extend(kept)


RecordGroup = list[tuple[FleetUpstream, _EngineRecord]]


class EngineSpeeds(NewsSource):
    """Estimates the slowdown of each upstream of the services that need it.

    :param get_catalogue: returns the current configuration, None before there
        is one.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        get_catalogue: Callable[[], Catalogue | None],
    ) -> None:
        self._directory = directory
        self._get_catalogue = get_catalogue
        self._records: dict[int, _EngineRecord] = {}
        self._news: dict[int, LowestSample] = {}
        self._news_at = NEVER
        self._plain_seconds: dict[str, collections.deque[float]] = {}
        self._updated_at = NEVER
        self._conditions: dict[str, dict[str, EngineCondition]] = {}

    def is_enabled(self, service: str) -> bool:
        """Return whether decisions on a service consider these speeds."""
        catalogue = self._get_catalogue()
        if catalogue is None or not catalogue.has_large_slots:
            return False
        known = catalogue.services.get(service)
        if known is None:
            return False
        return known.has_large_slots or self._is_plain(service)

    def _is_plain(self, service: str) -> bool:
        catalogue = self._get_catalogue()
        known = catalogue.services.get(service) if catalogue else None
        return known is not None and known.engine is None

    def record_answer(
        self,
        upstream: FleetUpstream,
        expected_seconds: float,
        observed_seconds: float,
        now: float,
    ) -> None:
        """Record when an answer began.

        :param expected_seconds: time that was expected at the speed of its
            service when the request was sent, zero if that was not known.
        """
        service = upstream.entry.service
        if not self.is_enabled(service):
            return
        if self._is_plain(service):
            recent = self._plain_seconds.setdefault(
                service, collections.deque(maxlen=MAX_PLAIN_ANSWERS)
            )
            recent.append(observed_seconds)
        if expected_seconds <= 0:
            return
        ratio = compute_sample(observed_seconds, expected_seconds)
        key = upstream.digest
        record = self._records.setdefault(key, _EngineRecord())
        if ratio < SLOW_RATIO:
            # It ends a slow period, so slow answers before it count no more.
            record.drop_slow()
        record.samples.append((now, ratio))
        self._updated_at = NEVER

    def expect_plain(self, service: str) -> float:
        """Return the usual time to first byte of a plain service, in seconds.

        Zero until enough answers are known.
        """
        recent = self._plain_seconds.get(service, ())
        if len(recent) < MIN_PLAIN_ANSWERS:
            return 0.0
        return sorted(recent)[len(recent) // 2]

    def get_conditions(
        self, service: str, now: float
    ) -> Mapping[str, EngineCondition]:
        """Return the conditions of upstreams that are slower than usual.

        :return: by the start of the upstream.
        """
        if not self.is_enabled(service):
            return {}
        self._update(now)
        return self._conditions.get(service, {})

    def count_slow(self, now: float) -> int:
        """Return the number of upstreams that are considered slow."""
        self._update(now)
        records = self._records.values()
        return sum(record.estimate.is_slow for record in records)

    def add_news(self, draft: NewsDraft, now: float) -> None:
        """Append the lowest recent sample of each upstream."""
        for key, record in self._records.items():
            upstream = self._directory.get_by_digest(key)
            if upstream is None or not self.is_enabled(upstream.entry.service):
                continue
            lowest = _find_own(upstream, record, now, SHARED_SECONDS)
            if lowest is not None:
                percent = max(round(lowest.ratio * PERCENT), 1)
                draft.speeds.append(SpeedEntry(key, percent, lowest.samples))

    def apply_news(self, others: EngineNews, now: float) -> None:
        """Replace the lowest samples of the other routers."""
        self._news = {
            entry.engine: LowestSample(
                max(entry.slowdown_percent, 1) / PERCENT, entry.samples
            )
            for entry in others.speeds
            if entry.samples
        }
        self._news_at = now
        self._updated_at = NEVER

    def _update(self, now: float) -> None:
        """Update the estimates unless that was done a moment ago."""
        if now - self._updated_at < UPDATE_SECONDS:
            return
        self._updated_at = now
        if now - self._news_at > MAX_NEWS_SECONDS:
            self._news = {}
        for key in self._news:
            self._records.setdefault(key, _EngineRecord())
        self._conditions = {}
        for service, found in self._group_records().items():
            self._update_service(service, found, now)

    def _group_records(self) -> dict[str, RecordGroup]:
        """Return the records by service; drop those of other upstreams."""
        groups: dict[str, RecordGroup] = {}
        kept = {}
        for key, record in self._records.items():
            upstream = self._directory.get_by_digest(key)
            if upstream is None or not self.is_enabled(upstream.entry.service):
                continue
            kept[key] = record
            group = groups.setdefault(upstream.entry.service, [])
            group.append((upstream, record))
        self._records = kept
        return groups

    def _update_service(
        self, service: str, found: RecordGroup, now: float
    ) -> None:
        seen = {}
        for upstream, record in found:
            lowest = merge_lowest(
                _find_own(upstream, record, now, WINDOW_SECONDS),
                self._news.get(upstream.digest),
            )
            if lowest is not None:
                record.ratio = lowest.ratio
                record.seen_at = now
            seen[upstream.start] = lowest
        reference = find_reference(
            record.ratio
            for _, record in found
            if now - record.seen_at <= REFERENCE_SECONDS
        )
        conditions = self._conditions.setdefault(service, {})
        for upstream, record in found:
            before = record.estimate
            estimate = update_estimate(
                before, seen[upstream.start], reference, now
            )
            record.estimate = estimate
            if estimate.is_slow != before.is_slow:
                _log_change(upstream, estimate, seen[upstream.start])
            if estimate.slowdown >= SLOW_UNTIL:
                conditions[upstream.start] = EngineCondition(estimate.slowdown)


def _find_own(
    upstream: FleetUpstream, record: _EngineRecord, now: float, seconds: float
) -> LowestSample | None:
    """Return this router's lowest sample in a window of ``seconds``."""
    record.drop_expired(now)
    return find_lowest(
        (
            ratio
            for at, ratio in record.samples
            if is_recent(ratio, now - at, seconds)
        ),
        (
            compute_sample(now - item.sent_at, item.expected_seconds)
            for item in upstream.pending.values()
            if item.expected_seconds > 0
        ),
    )


def _log_change(
    upstream: FleetUpstream,
    estimate: SpeedEstimate,
    lowest: LowestSample | None,
) -> None:
    """Log that an upstream is considered slow, or no longer."""
    LOG.info(
        'upstream.slow' if estimate.is_slow else 'upstream.no_longer_slow',
        instance=upstream.instance,
        slowdown=round(estimate.slowdown, 2),
        samples=lowest.samples if lowest is not None else 0,
    )
