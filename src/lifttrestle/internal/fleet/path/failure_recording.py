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

"""Records what a failed attempt shows about its upstream."""

from lifttrestle.errors import LifttrestleError
from lifttrestle.errors import RequestRefused
from lifttrestle.errors import UpstreamBrokeOff
from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.errors import UpstreamDeclined
from lifttrestle.errors import UpstreamFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.errors import UpstreamPathLost
from lifttrestle.errors import UpstreamUnavailable
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.fleet.crashes.loss_states import StartEvidence
from lifttrestle.internal.fleet.crashes.lost_origins import RequestOrigin
from lifttrestle.internal.fleet.path.candidates import Candidates
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.fleet.state.upstream import FleetUpstream

# An engine that declined a request is avoided for this long: by then, its
# entry or the plan of the weights has been updated.
DECLINED_BACKOFF_SECONDS = 0.15
# After these, a connection holds no rest of an answer.
REUSABLE_AFTER = (
    RequestRefused,
    UpstreamDeclined,
    UpstreamFailed,
    UpstreamUnavailable,
)


class FailureRecorder:
    """Records the failed attempts of one request."""

    def __init__(
        self, request: RequestContext, candidates: Candidates
    ) -> None:
        self._parts = request.parts
        self._request = request
        self._candidates = candidates

    def note_failure(
        self,
        upstream: FleetUpstream,
        error: LifttrestleError,
        writing_seconds: float,
    ) -> None:
        """Record the failure of an attempt in all counts that it concerns.

        :param writing_seconds: for how long it had been answered.
        """
        kind = type(error).__name__
        self._parts.metrics.count_attempt(self._request.service, kind)
        self._request.event_buffer.add(
            'attempt_failed',
            instance=upstream.instance,
            kind=kind,
            reason=str(error),
        )
        now = self._parts.clock.monotonic()
        losses = self._parts.crashes.losses
        if isinstance(error, UpstreamDeclined):
            self._note_declined(upstream, now)
            if error.is_full:
                upstream.rejections.note_rejected(self._parts.roster.live, now)
            if upstream.misdirected:
                losses.note_evidence(upstream.start, StartEvidence.REPLACED)
        elif isinstance(error, UpstreamConnectFailed):
            upstream.reach.note_unreachable(now)
            self._candidates.reconsider(upstream)
            losses.note_probed(upstream.start, False, error.refused)
        elif isinstance(error, UpstreamUnavailable):
            # It may be chosen again once a pause has ended.
            self._candidates.exclude(upstream, now)
        elif not _is_path_failure(upstream, error):
            upstream.breaker.note_failure(now)
        if isinstance(error, UpstreamBrokeOff):
            self._parts.crashes.note_lost(
                self._request.digest,
                self._build_origin(),
                upstream,
                writing_seconds,
                self._request.sent_at,
            )

    def _build_origin(self) -> RequestOrigin:
        admitted = self._request.admitted
        return RequestOrigin(
            admitted.workspace_name,
            admitted.route.name,
            self._request.part_digests,
        )

    def _note_declined(self, upstream: FleetUpstream, now: float) -> None:
        """Remove a declined attempt from the counts and avoid its upstream."""
        request = self._request
        request.progress.apply(RequestEvent.DECLINED)
        request.runs -= 1
        if request.charge is not None:
            request.charge.note_not_run()
        until = now + DECLINED_BACKOFF_SECONDS
        self._candidates.exclude(upstream, until)
        if request.facts.generation is not None:
            upstream.busy_until = max(upstream.busy_until, until)


def _is_path_failure(upstream: FleetUpstream, error: LifttrestleError) -> bool:
    """Return whether a failure shows nothing about the upstream itself.

    While it accepts no connection of this router, open ones fail with it.
    """
    return isinstance(error, UpstreamPathLost) or (
        isinstance(error, UpstreamLost) and upstream.reach.unreachable
    )
