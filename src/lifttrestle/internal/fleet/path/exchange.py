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

"""Serves one request of a caller, with retries and failover."""

import asyncio
import itertools

from lifttrestle.errors import CallerGone
from lifttrestle.errors import LifttrestleError
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.exchange.attempts import AttemptPlan
from lifttrestle.internal.exchange.attempts import FailureAction
from lifttrestle.internal.exchange.attempts import run_attempts
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.exchange.progress import RequestProgress
from lifttrestle.internal.fleet.crashes.held_row import format_digest
from lifttrestle.internal.fleet.crashes.held_row import format_digests
from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.answer_forwarding import AnswerForwarder
from lifttrestle.internal.fleet.path.attempt import FIRST_CLIENT_ERROR
from lifttrestle.internal.fleet.path.candidates import Candidates
from lifttrestle.internal.fleet.path.dialect import RequestFacts
from lifttrestle.internal.fleet.path.event_buffer import build_admitted_fields
from lifttrestle.internal.fleet.path.event_buffer import build_chosen_fields
from lifttrestle.internal.fleet.path.event_buffer import EventBuffer
from lifttrestle.internal.fleet.path.event_buffer import MILLISECONDS
from lifttrestle.internal.fleet.path.failure_recording import FailureRecorder
from lifttrestle.internal.fleet.path.failure_recording import REUSABLE_AFTER
from lifttrestle.internal.fleet.path.hold_check import check_held
from lifttrestle.internal.fleet.path.repeat_check import check_repeatable
from lifttrestle.internal.fleet.path.request_context import begin_request
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.fleet.path.request_digest import identify_request
from lifttrestle.internal.fleet.path.sending import RequestSender
from lifttrestle.internal.fleet.path.stream_origin import bind_stream
from lifttrestle.internal.fleet.path.stream_origin import note_complete
from lifttrestle.internal.fleet.path.upstream_search import find_upstream
from lifttrestle.internal.fleet.path.watched_work import read_body
from lifttrestle.internal.fleet.path.watched_work import run_while_connected
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.streams.binding import StreamBinding
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.refusal.kind import ErrorKind

_ATTEMPT_IDS = itertools.count()


class FleetExchange(AttemptPlan[Placement, None]):
    """Runs the attempts of one request and reports how it ended."""

    def __init__(
        self,
        parts: FleetParts,
        connection: ServerConnection,
        head: RequestHead,
        facts: RequestFacts,
    ) -> None:
        self._parts = parts
        self._connection = connection
        self._head = head
        self._facts = facts
        self._body = b''
        self._received_at = parts.clock.monotonic()
        self._progress = RequestProgress()
        self._event_buffer = EventBuffer(parts.clock, facts.request_id)
        self._binding = StreamBinding()
        self._forwarder = AnswerForwarder(
            parts,
            connection,
            self._progress,
            facts.last_event_id,
            self._binding,
        )
        self._candidates = Candidates(parts, facts, self._binding)
        # All are set on admission, before the first attempt.
        self._request: RequestContext | None = None
        self._failures: FailureRecorder | None = None
        self._sender: RequestSender | None = None

    async def run(self) -> None:
        """Serve the request to its end.

        :raises CallerGone: if the caller left.
        """
        # Reported if none of the handlers below applies.
        outcome = 'fault'
        failed = True
        try:
            shutdown = self._parts.shutdown
            self._body = await read_body(self._connection, shutdown)
            await run_while_connected(
                self._serve(), self._connection, shutdown
            )
            outcome = 'complete'
            failed = False
        except RequestRefused as refused:
            if self._request is not None:
                refused = self._request.correct_refusal(refused)
            outcome = refused.kind.value
            await self._refuse(refused)
        except (CallerGone, OSError) as gone:
            outcome = f'caller gone: {gone}'
            raise
        except asyncio.CancelledError:
            # The process stops before the request has ended.
            outcome = 'cut'
            raise
        finally:
            if self._request is not None and self._request.charge is not None:
                self._request.charge.settle()
            service = self._request.service if self._request else ''
            self._event_buffer.write(
                outcome,
                failed=failed,
                service=service,
                longest_pause_ms=round(
                    self._forwarder.longest_pause * MILLISECONDS
                ),
                events=self._forwarder.relay.sent or None,
                quiet_ms=self._get_inactive_ms() if outcome == 'cut' else None,
                **(self._sender.answered_fields if self._sender else {}),
            )
            self._parts.metrics.count_request(
                service or 'none',
                outcome.partition(':')[0],
                self._parts.clock.monotonic() - self._received_at,
            )

    def _get_inactive_ms(self) -> int | None:
        """Return for how long the stream has been silent, if it began."""
        seconds = self._forwarder.get_inactive_seconds(
            self._parts.clock.monotonic()
        )
        return None if seconds is None else round(seconds * MILLISECONDS)

    async def _serve(self) -> None:
        request = begin_request(
            self._parts,
            self._facts,
            self._event_buffer,
            self._progress,
            self._received_at,
            self._binding,
        )
        self._request = request
        identify_request(request, self._head, self._body)
        self._failures = FailureRecorder(request, self._candidates)
        self._sender = RequestSender(
            request, self._head, self._body, self._forwarder, self._candidates
        )
        self._progress.apply(RequestEvent.ADMIT)
        self._event_buffer.add(
            'admitted',
            **build_admitted_fields(
                request.admitted,
                self._facts,
                self._parts.operator_watch.get_age(),
                request.get_remaining_seconds(),
                self._parts.shutdown.get_remaining_seconds(),
            ),
            digest=format_digest(request.digest),
            parts=format_digests(request.part_digests),
        )
        try:
            async with ReadTimeout(request.get_remaining_seconds()):
                await bind_stream(request)
                self._parts.get_budget(request.service).note_request()
                await run_attempts(self)
            note_complete(request)
        except TimeoutError:
            self._event_buffer.add('out_of_time')
            raise RequestRefused(
                ErrorKind.DEADLINE_EXCEEDED,
                'the deadline of this request has passed',
                ran=self._progress.execution,
            ) from None

    @property
    def _context(self) -> RequestContext:
        assert self._request is not None, 'attempts follow admission'
        return self._request

    async def choose(self) -> Placement:
        """Choose an upstream by the current configuration and loads."""
        check_held(self._context)
        workspace = self._context.admitted.workspace
        capped = workspace is not None and workspace.cap is not None
        if self._facts.generation is not None or capped:
            await self._parts.refresh_loads(workspace if capped else None)
        self._context.readmit()
        self._context.charge_usage()
        placement = await find_upstream(self._context, self._candidates)
        self._candidates.note_chosen(placement.upstream)
        self._event_buffer.add('chosen', **build_chosen_fields(placement))
        return placement

    async def attempt(self, chosen: Placement) -> None:
        """Send the request and forward its answer."""
        upstream = chosen.upstream
        attempt_id = next(_ATTEMPT_IDS)
        upstream.in_flight += 1
        try:
            await self._send_and_forward(chosen, attempt_id)
        finally:
            upstream.in_flight -= 1
            upstream.note_ended(attempt_id)

    async def handle_failure(
        self, chosen: Placement, error: LifttrestleError
    ) -> FailureAction:
        """Record the failure of an attempt and decide whether to retry."""
        request = self._context
        assert self._failures is not None, 'attempts follow admission'
        self._failures.note_failure(
            chosen.upstream, error, self._forwarder.get_writing_seconds()
        )
        check_repeatable(request, error)
        return FailureAction.RETRY

    async def _send_and_forward(
        self, chosen: Placement, attempt_id: int
    ) -> None:
        upstream = chosen.upstream
        self._forwarder.begin_attempt()
        request_id = self._facts.request_id
        # Only its place on the connection tells the answer without an id.
        connection = await upstream.pool.take(
            fresh=not request_id, tag=request_id
        )
        try:
            assert self._sender is not None, 'attempts follow admission'
            answer, inactivity_timeout = await self._sender.send(
                chosen, attempt_id, connection
            )
            await self._forwarder.forward(
                self._context.admitted.route,
                upstream,
                answer,
                inactivity_timeout,
            )
        except REUSABLE_AFTER:
            # The answer was read completely, or nothing was sent.
            upstream.pool.give_back(connection)
            raise
        except BaseException:
            connection.close()
            raise
        if answer.facts.status < FIRST_CLIENT_ERROR:
            # Error answers don't count: an upstream may reject a request that
            # it has not begun to run.
            self._parts.crashes.note_success(
                self._context.digest, self._context.part_digests
            )
        self._parts.metrics.count_attempt(self._context.service, 'good')
        upstream.breaker.note_success()
        upstream.pool.give_back(connection)

    async def _refuse(self, refused: RequestRefused) -> None:
        self._event_buffer.add(
            'refused',
            kind=refused.kind.value,
            reason=refused.message,
            ran=refused.ran.value,
            retry_after_s=refused.retry_after,
        )
        if self._connection.answer_started:
            # The answer can't be completed and must not look complete.
            self._connection.abort()
            return
        if self._forwarder.failure is not None:
            await self._connection.send_answer(self._forwarder.failure)
            return
        dialect = self._parts.dialect
        await self._connection.send_answer(
            dialect.build_refusal(refused, self._facts.request_id)
        )
