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

"""Buffers the decisions on one request and logs them when it has ended.

They are buffered because only at the end it is known whether the request
failed: all events of a failed request are logged, those of other requests
only within the rate limit of the log.
"""

from collections.abc import Sequence
import dataclasses
import math

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.limits.permits import PermitDecision
from lifttrestle.internal.fleet.path.dialect import AttemptOptions
from lifttrestle.internal.fleet.path.dialect import RequestFacts
from lifttrestle.internal.fleet.path.upstream_status import UpstreamStatus
from lifttrestle.internal.fleet.policy.admission import AdmittedRequest
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.policy.retry_budget import BudgetUse
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.streams.origins import FoundOrigin
from lifttrestle.internal.fleet.usage.ledger import UsageDecision
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('request')
MILLISECONDS = 1000
# More than the attempts of one request can produce.
MAX_EVENTS = 60


@dataclasses.dataclass(frozen=True)
class BufferedEvent:
    """A decision, when it was made, and the data that it was based on."""

    name: str
    after_seconds: float
    fields: dict[str, object]


class EventBuffer:
    """Buffers the log events of one request."""

    def __init__(self, clock: Clock, request_id: str) -> None:
        self._clock = clock
        self._request_id = request_id
        self._started = clock.monotonic()
        self._events: list[BufferedEvent] = []

    def add(self, name: str, **fields: object) -> None:
        """Buffer the event of a decision."""
        if len(self._events) < MAX_EVENTS:
            after = self._clock.monotonic() - self._started
            self._events.append(BufferedEvent(name, after, fields))

    def write(self, outcome: str, *, failed: bool, **fields: object) -> None:
        """Log all events, with an ``ended`` event as the last.

        :param failed: log them regardless of the rate limit.
        """
        self.add('ended', outcome=outcome, **fields)
        for event in self._events:
            LOG.info(
                f'request.{event.name}',
                whole=failed,
                request=self._request_id,
                after_ms=round(event.after_seconds * MILLISECONDS, 1),
                **event.fields,
            )


def build_admitted_fields(
    admitted: AdmittedRequest,
    facts: RequestFacts,
    view_age_seconds: float,
    remaining_seconds: float,
    stop_remaining_seconds: float,
) -> dict[str, object]:
    """Return the log fields of an admitted request.

    :param stop_remaining_seconds: seconds until this process is killed, or
        infinity.
    """
    workspace = admitted.workspace
    return {
        'host': facts.host,
        'route': admitted.route.name,
        'workspace': workspace.name if workspace is not None else None,
        'configuration': admitted.catalogue.version,
        'view_age_ms': round(view_age_seconds * MILLISECONDS),
        'left_ms': round(remaining_seconds * MILLISECONDS),
        'target_ms': round(admitted.route.target_seconds * MILLISECONDS),
        'stop_left_ms': _to_milliseconds(
            None
            if math.isinf(stop_remaining_seconds)
            else stop_remaining_seconds
        ),
        'pause_target_ms': _to_milliseconds(admitted.route.pause_seconds),
    }


def build_budget_fields(use: BudgetUse) -> dict[str, object]:
    """Return the log fields of a router's use of a retry budget."""
    return {
        'spent': use.spent,
        'earned': round(use.earned, 2),
        'slack': round(use.slack, 2),
        'routers': use.routers,
    }


def build_origin_fields(found: FoundOrigin) -> dict[str, object]:
    """Return the log fields of what began a stream that is resumed."""
    origin = found.origin
    return {
        'known_by': found.source.name.lower(),
        'service': origin.service if origin is not None else None,
        'software_version': (
            origin.software_version if origin is not None else None
        ),
    }


def build_usage_fields(decision: UsageDecision) -> dict[str, object]:
    """Return the log fields of a workspace's use of its cap."""
    return {
        'units': round(decision.units),
        'left': round(decision.remaining),
        'used_per_s': round(decision.use),
        'share_per_s': round(decision.share),
        'rate_per_s': round(decision.cap.rate),
        'burst': round(decision.cap.burst),
        'silent_groups': decision.silent or None,
        'refill_share': round(decision.refill_share, 3)
        if decision.refill_share < 1.0
        else None,
    }


def build_permit_fields(
    upstream: FleetUpstream, permit: PermitDecision, rank: int
) -> dict[str, object]:
    """Return the log fields of a permit requested for a limited upstream.

    :param rank: priority of the request among those that want a permit.
    """
    return {
        'instance': upstream.instance,
        'granted': not permit.wait,
        'rate_per_s': permit.rate,
        'age_ms': _to_milliseconds(permit.age),
        'retry_ms': _to_milliseconds(permit.wait or None),
        'rank': rank,
        'allocator': permit.allocator,
    }


def build_reach_fields(
    upstreams: Sequence[UpstreamStatus], now: float
) -> dict[str, object]:
    """Return the log fields of a request that no upstream may serve."""
    return {
        'listed': len(upstreams),
        'unreachable_ms': {
            upstream.instance: round(
                (now - upstream.unreachable_since) * MILLISECONDS
            )
            for upstream in upstreams
            if upstream.unreachable_since is not None
        },
        'idle_connections': [
            upstream.instance
            for upstream in upstreams
            if upstream.has_idle_connection
        ],
        'in_flight': sum(upstream.in_flight for upstream in upstreams),
    }


def build_chosen_fields(placement: Placement) -> dict[str, object]:
    """Return the log fields of the choice of an upstream."""
    return {
        'instance': placement.upstream.instance,
        'reason': placement.reason,
        'candidates_ms': {
            name: round(cost * MILLISECONDS, 1)
            for name, cost in placement.candidates
        },
        'avoided': list(placement.avoided) or None,
        'slowdown': (
            round(placement.slowdown, 2) if placement.slowdown > 1.0 else None
        ),
    }


def build_answered_fields(
    placement: Placement,
    observed_seconds: float,
    first_answer_seconds: float,
    options: AttemptOptions,
) -> dict[str, object]:
    """Return the log fields of an answer that began.

    :param observed_seconds: time from the send to the answer's head.
    :param first_answer_seconds: time from the arrival of the request to the
        head of its first answer.
    """
    cache = options.cache
    return {
        'begun_ms': round(first_answer_seconds * MILLISECONDS, 1),
        'first_ms': round(observed_seconds * MILLISECONDS, 1),
        'expected_ms': round(placement.expected_seconds * MILLISECONDS, 1),
        'unread_tokens': placement.unread_tokens or None,
        'cache_source': cache.source or None if cache is not None else None,
    }


def _to_milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * MILLISECONDS)
