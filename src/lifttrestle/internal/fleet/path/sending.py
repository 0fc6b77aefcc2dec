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

"""Sends a request to its upstream and records when its answer begins."""

from lifttrestle.errors import UpstreamUnavailable
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.fleet.path.answer_forwarding import AnswerForwarder
from lifttrestle.internal.fleet.path.answer_forwarding import InactivityTimeout
from lifttrestle.internal.fleet.path.answer_recording import AnswerRecorder
from lifttrestle.internal.fleet.path.answer_recording import report_long_prompt
from lifttrestle.internal.fleet.path.attempt import begin_attempt
from lifttrestle.internal.fleet.path.attempt import UpstreamAnswer
from lifttrestle.internal.fleet.path.attempt_options import build_options
from lifttrestle.internal.fleet.path.candidates import Candidates
from lifttrestle.internal.fleet.path.dialect import AnswerFacts
from lifttrestle.internal.fleet.path.dialect import AttemptOptions
from lifttrestle.internal.fleet.path.event_buffer import build_budget_fields
from lifttrestle.internal.fleet.path.fair_share import note_used
from lifttrestle.internal.fleet.path.hold_check import check_held_before_send
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.refusal.kind import ErrorKind

# A repeatable request fails over once its upstream has sent nothing on any
# connection for this multiple of the route's latency target, and never sooner
# than after a time for which a sound upstream may be silent. There is no
# failover from an upstream that is slow but answers other requests.
INACTIVITY_TARGET_FACTOR = 2.0
MIN_INACTIVITY_SECONDS = 1.6


class RequestSender:
    """Sends one request, once for each attempt.

    :param body: the complete body.
    """

    def __init__(
        self,
        request: RequestContext,
        head: RequestHead,
        body: bytes,
        forwarder: AnswerForwarder,
        candidates: Candidates,
    ) -> None:
        self._parts = request.parts
        self._request = request
        self._head = head
        self._body = body
        self._forwarder = forwarder
        self._candidates = candidates
        self._answers = AnswerRecorder(request)

    @property
    def answered_fields(self) -> dict[str, object]:
        """Return the log fields of the last attempt that was answered."""
        return self._answers.answered_fields

    async def send(
        self, chosen: Placement, attempt_id: int, connection: ClientConnection
    ) -> tuple[UpstreamAnswer, InactivityTimeout]:
        """Send the request and return its answer once it has begun.

        :raises UpstreamUnavailable: if it must be sent to another upstream.
        """
        parts = self._parts
        request = self._request
        upstream = chosen.upstream
        await self._confirm_start(upstream)
        # Checked again because connecting may have taken a while. The retry
        # budget is charged only here: a failed connection is no retry.
        await check_held_before_send(request)
        request.readmit()
        self._check_available(upstream)
        if request.sends and not self._take_retry():
            raise request.make_refusal(
                ErrorKind.UPSTREAM_FAILED, 'the retry budget is used up'
            )
        options = build_options(
            request, upstream, self._forwarder.relay.last_event_id
        )
        head = parts.dialect.build_head(self._head, options)
        request.sends += 1
        request.runs += 1
        if request.charge is not None:
            request.charge.note_sent()
        request.progress.apply(RequestEvent.SEND)
        sent_at = request.sent_at = parts.clock.monotonic()
        usual_seconds = self._answers.expect_usual(chosen)
        upstream.note_sent(
            attempt_id,
            sent_at,
            request.urgency,
            chosen.unread_tokens,
            usual_seconds,
        )
        note_used(request)
        report_long_prompt(parts, chosen)
        reused = connection.exchanges > 0
        parts.metrics.count_connection(request.service, reused)
        self._log_sent(upstream, options, connection)
        if options.last_event_id is not None:
            self._count_resumed(upstream.entry.software_version)
        inactivity_timeout = self._build_inactivity_timeout()
        answer = await begin_attempt(
            parts.clock,
            parts.dialect,
            upstream,
            connection,
            head,
            self._body,
            request.facts.request_id,
            inactivity_timeout.seconds,
            inactivity_timeout.can_fail_over,
            lambda facts: self._note_announced(
                upstream, connection, facts, sent_at
            ),
        )
        parts.crashes.losses.note_answered(upstream, sent_at)
        self._answers.record(
            chosen, attempt_id, options, answer, sent_at, usual_seconds
        )
        return answer, inactivity_timeout

    async def _confirm_start(self, upstream: FleetUpstream) -> None:
        """Check that a stream that goes on there fits to what began it.

        :raises UpstreamUnavailable: if another start may have its name.
        """
        if self._request.binding.origin is None:
            return
        if not await self._parts.confirm_start(upstream):
            raise UpstreamUnavailable(
                f'{upstream.instance} may have started again, with other'
                ' software'
            )

    def _check_available(self, upstream: FleetUpstream) -> None:
        """Check that an upstream takes requests still, as when chosen.

        :raises UpstreamUnavailable: if it has asked for a pause or announced
            that it leaves since then.
        """
        now = self._parts.clock.monotonic()
        seconds = upstream.rejections.get_requested_seconds(now)
        if seconds:
            raise UpstreamUnavailable(
                f'{upstream.instance} wants nothing for {seconds:.2f} s'
            )
        service = self._request.service
        if upstream.draining and not self._candidates.is_allowed(
            upstream, service
        ):
            raise UpstreamUnavailable(f'{upstream.instance} leaves')

    def _note_announced(
        self,
        upstream: FleetUpstream,
        connection: ClientConnection,
        facts: AnswerFacts,
        sent_at: float,
    ) -> None:
        """Tell others what an upstream announced about itself."""
        self._parts.limits.note_answer(upstream, facts.limit, sent_at)
        if facts.pause_seconds is not None and connection.via:
            self._parts.tell_pause(connection.via, upstream.start)

    def _take_retry(self) -> bool:
        service = self._request.service
        budget = self._parts.get_budget(service)
        shares = self._parts.list_retry_shares()
        granted = budget.take(shares)
        self._parts.metrics.count_retry(service, granted)
        self._request.event_buffer.add(
            'retry',
            granted=granted,
            **build_budget_fields(budget.get_use(shares)),
        )
        return granted

    def _count_resumed(self, version: str | None) -> None:
        origin = self._request.binding.origin
        known = origin.software_version if origin is not None else None
        software = 'same' if version == known else 'other'
        if version is None or known is None:
            software = 'unknown'
        self._parts.metrics.count_resumed(self._request.service, software)

    def _can_fail_over(self) -> bool:
        """Return whether another upstream could take the request over."""
        request = self._request
        budget = self._parts.get_budget(request.service)
        return budget.has_room(
            self._parts.list_retry_shares()
        ) and self._candidates.has_alternative(
            request.admitted, request.service
        )

    def _build_inactivity_timeout(self) -> InactivityTimeout:
        request = self._request
        route = request.admitted.route
        seconds = None
        if route.repeatable and request.runs < route.max_attempts:
            seconds = max(
                INACTIVITY_TARGET_FACTOR * route.target_seconds,
                MIN_INACTIVITY_SECONDS,
            )
        return InactivityTimeout(seconds, self._can_fail_over)

    def _log_sent(
        self,
        upstream: FleetUpstream,
        options: AttemptOptions,
        connection: ClientConnection,
    ) -> None:
        name = 'resumed' if self._forwarder.relay.started else 'sent'
        self._request.event_buffer.add(
            name,
            instance=upstream.instance,
            address=upstream.entry.address,
            software_version=upstream.entry.software_version,
            weights=options.weights,
            last_event=options.last_event_id,
            resumes=self._request.facts.resumes or None,
            in_flight=upstream.in_flight,
            kept_connection=connection.exchanges > 0,
            via=connection.via or None,
            attempt=self._request.sends,
            live_routers=self._parts.roster.live,
        )
