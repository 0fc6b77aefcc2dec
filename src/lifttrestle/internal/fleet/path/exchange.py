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

"""Serves one request of a caller, over as many attempts as it may have."""

import asyncio
import itertools

from lifttrestle.errors import CallerGone
from lifttrestle.errors import LifttrestleError
from lifttrestle.errors import RequestRefused
from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.errors import UpstreamDeclined
from lifttrestle.errors import UpstreamFailed
from lifttrestle.internal.exchange.attempts import AttemptPlan
from lifttrestle.internal.exchange.attempts import run_attempts
from lifttrestle.internal.exchange.attempts import Verdict
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.exchange.progress import RequestProgress
from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.answer_passing import AnswerPassing
from lifttrestle.internal.fleet.path.answer_passing import Patience
from lifttrestle.internal.fleet.path.attempt import begin_attempt
from lifttrestle.internal.fleet.path.attempt import UpstreamAnswer
from lifttrestle.internal.fleet.path.candidates import Candidates
from lifttrestle.internal.fleet.path.dialect import RequestFacts
from lifttrestle.internal.fleet.path.dialect import UpstreamOrder
from lifttrestle.internal.fleet.path.order_building import build_order
from lifttrestle.internal.fleet.path.request_context import begin_request
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.fleet.path.story import build_admitted
from lifttrestle.internal.fleet.path.story import build_answered
from lifttrestle.internal.fleet.path.story import build_chosen
from lifttrestle.internal.fleet.path.story import MILLISECONDS
from lifttrestle.internal.fleet.path.story import RequestStory
from lifttrestle.internal.fleet.path.upstream_search import find_upstream
from lifttrestle.internal.fleet.policy.admission import get_urgency
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.refusal.kind import ErrorKind

# Sends of one request, counting those that were turned away unread.
MAX_SENDS = 4
# A repeatable request is taken elsewhere when its upstream has sent nothing
# to anyone for this many times the route's objective, and never sooner than
# a second. An upstream that is slow but answers others is waited for.
SILENT_TARGETS = 2.0
MIN_SILENT_SECONDS = 1.0
# After an engine has turned a request away, it is avoided until its entry or
# the plan tells more.
DECLINED_SECONDS = 0.15
# An engine that reads from a store which is gone waits some hundred
# milliseconds for it: a first piece that is later than expected by so much is
# a reason to look whether the store is there.
FETCH_LATE_SECONDS = 0.2
_TICKETS = itertools.count()


class FleetExchange(AttemptPlan[Placement, None]):
    """Owns the attempts that one request needs."""

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
        self._started = parts.clock.monotonic()
        self._progress = RequestProgress()
        self._story = RequestStory(parts.clock, facts.request_id)
        self._passing = AnswerPassing(
            parts, connection, self._progress, facts.last_event
        )
        self._candidates = Candidates(parts, facts)
        # Set once it is admitted, before anything is tried.
        self._request: RequestContext | None = None
        # What the log tells of the last attempt that was answered.
        self._answered: dict[str, object] = {}
        self._begun_seconds = 0.0

    async def run(self) -> None:
        """Serve the request to its end.

        :raises CallerGone: if the caller left.
        """
        outcome = 'complete'
        failed = False
        try:
            self._body = await self._connection.read_body()
            await self._serve_watched()
        except RequestRefused as refused:
            outcome = refused.kind.value
            failed = True
            await self._refuse(refused)
        except CallerGone as gone:
            outcome = f'caller gone: {gone}'
            failed = True
            raise
        finally:
            service = self._request.service if self._request else ''
            self._story.tell(
                outcome,
                failed=failed,
                service=service,
                longest_pause_ms=round(
                    self._passing.longest_pause * MILLISECONDS
                ),
                **self._answered,
            )
            self._parts.metrics.count_request(
                service or 'none',
                outcome.partition(':')[0],
                self._parts.clock.monotonic() - self._started,
            )

    async def _serve_watched(self) -> None:
        """Serve, and stop at once when the caller leaves."""
        work = asyncio.create_task(self._serve())
        gone = asyncio.create_task(self._connection.wait_gone())
        try:
            await asyncio.wait(
                {work, gone}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                raise CallerGone('the caller closed its connection')
            work.result()
        finally:
            for task in (work, gone):
                task.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)

    async def _serve(self) -> None:
        request = begin_request(
            self._parts,
            self._facts,
            self._story,
            self._progress,
            self._started,
        )
        self._request = request
        self._progress.move(RequestEvent.ADMIT)
        self._story.add(
            'admitted',
            **build_admitted(
                request.admitted,
                self._facts.host,
                self._parts.operator_watch.get_age(),
                request.get_left(),
            ),
        )
        self._parts.get_budget(request.service).note_request()
        try:
            async with asyncio.timeout(request.get_left()):
                await run_attempts(self)
        except TimeoutError:
            self._story.add('out_of_time')
            raise RequestRefused(
                ErrorKind.DEADLINE_EXCEEDED,
                'the time for this request is over',
                ran=self._progress.execution,
            ) from None

    @property
    def _context(self) -> RequestContext:
        assert self._request is not None, 'attempts follow admission'
        return self._request

    async def choose(self) -> Placement:
        """Return an upstream, by what is in force now."""
        self._context.admit_again()
        placement = await find_upstream(self._context, self._candidates)
        self._candidates.exclude(placement.upstream)
        self._story.add('chosen', **build_chosen(placement))
        return placement

    async def attempt(self, chosen: Placement) -> None:
        """Send the request and pass its answer on."""
        upstream = chosen.upstream
        ticket = next(_TICKETS)
        upstream.in_flight += 1
        try:
            await self._exchange(chosen, ticket)
        finally:
            upstream.in_flight -= 1
            upstream.note_ended(ticket)

    async def judge(
        self, chosen: Placement, error: LifttrestleError
    ) -> Verdict:
        """Hold the failure against the upstream, and go on if allowed."""
        request = self._context
        self._note_failure(chosen.upstream, error)
        if request.sends >= MAX_SENDS:
            raise request.give_up(
                ErrorKind.UPSTREAM_FAILED, f'too many attempts: {error}'
            )
        if request.runs == 0:
            return Verdict.AGAIN
        route = request.admitted.route
        if not route.repeatable:
            raise request.give_up(
                ErrorKind.UPSTREAM_FAILED, f'it may have run: {error}'
            )
        if request.runs >= route.max_attempts:
            raise request.give_up(
                ErrorKind.UPSTREAM_FAILED, f'no attempt is left: {error}'
            )
        return Verdict.AGAIN

    def _note_failure(
        self, upstream: FleetUpstream, error: LifttrestleError
    ) -> None:
        kind = type(error).__name__
        self._parts.metrics.count_attempt(self._context.service, kind)
        self._story.add(
            'attempt_failed',
            instance=upstream.instance,
            kind=kind,
            reason=str(error),
        )
        now = self._parts.clock.monotonic()
        if isinstance(error, UpstreamDeclined):
            self._note_declined(upstream, now)
        elif isinstance(error, UpstreamConnectFailed):
            upstream.reach.note_unreached()
        else:
            upstream.breaker.note_failure(now)

    def _note_declined(self, upstream: FleetUpstream, now: float) -> None:
        """Take a run back that was none; its upstream may do better soon."""
        self._progress.move(RequestEvent.DECLINED)
        self._context.runs -= 1
        until = now + DECLINED_SECONDS
        self._candidates.exclude(upstream, until)
        if self._facts.generation is not None:
            upstream.busy_until = max(upstream.busy_until, until)

    async def _exchange(self, chosen: Placement, ticket: int) -> None:
        upstream = chosen.upstream
        connection = await upstream.pool.take()
        try:
            answer, patience = await self._send(chosen, ticket, connection)
            await self._passing.pass_on(
                self._context.admitted.route, upstream, answer, patience
            )
        except (UpstreamDeclined, UpstreamFailed, RequestRefused):
            # Its answer was read to the end, or nothing was sent.
            upstream.pool.give_back(connection)
            raise
        except BaseException:
            connection.close()
            raise
        self._parts.metrics.count_attempt(self._context.service, 'good')
        upstream.breaker.note_success()
        upstream.pool.give_back(connection)

    async def _send(
        self, chosen: Placement, ticket: int, connection: ClientConnection
    ) -> tuple[UpstreamAnswer, Patience]:
        """Send the request and return its answer once that has begun."""
        parts = self._parts
        request = self._context
        upstream = chosen.upstream
        # Connecting may have taken a while; only what is sent is a retry.
        admitted = request.admit_again()
        if request.sends and not self._take_retry():
            raise request.give_up(
                ErrorKind.UPSTREAM_FAILED, 'no retry is left to spend'
            )
        order = build_order(request, upstream, self._passing.relay.last_event)
        head = parts.dialect.build_head(self._head, order)
        request.sends += 1
        request.runs += 1
        self._progress.move(RequestEvent.SEND)
        sent_at = parts.clock.monotonic()
        upstream.note_sent(
            ticket, sent_at, get_urgency(admitted), chosen.unread_tokens
        )
        kept = connection.exchanges > 0
        parts.metrics.count_connection(request.service, kept)
        self._tell_sent(upstream, order, kept)
        patience = self._build_patience()
        answer = await begin_attempt(
            parts.clock,
            parts.dialect,
            upstream,
            connection,
            head,
            self._body,
            self._facts.request_id,
            patience.seconds,
            patience.may_leave,
        )
        heard_at = parts.clock.monotonic()
        upstream.note_heard(ticket, heard_at)
        parts.metrics.time_first_byte(
            request.service, heard_at - sent_at, chosen.expected_seconds
        )
        if not self._answered:
            self._begun_seconds = heard_at - self._started
        self._answered = build_answered(
            chosen, heard_at - sent_at, self._begun_seconds, order
        )
        if heard_at - sent_at > chosen.expected_seconds + FETCH_LATE_SECONDS:
            self._suspect_store(order)
        self._note_engine(chosen, order, answer, heard_at - sent_at)
        return answer, patience

    def _take_retry(self) -> bool:
        service = self._context.service
        budget = self._parts.get_budget(service)
        granted = budget.take(self._parts.roster.live)
        self._parts.metrics.count_retry(service, granted)
        return granted

    def _note_engine(
        self,
        chosen: Placement,
        order: UpstreamOrder,
        answer: UpstreamAnswer,
        seconds: float,
    ) -> None:
        generation = self._facts.generation
        if generation is None:
            return
        self._parts.get_pace(self._context.service).note_answer(
            chosen.queue_tokens, chosen.unread_tokens, seconds
        )
        if answer.facts.weights is not None:
            chosen.upstream.note_weights(
                generation.model, answer.facts.weights
            )
        if order.cache is not None:
            self._parts.sources.note_served(order.cache, generation)

    def _suspect_store(self, order: UpstreamOrder) -> None:
        """Look after a store that an engine may have waited for."""
        if order.cache is not None and order.cache.source:
            self._parts.stores.suspect(order.cache.source)

    async def _refuse(self, refused: RequestRefused) -> None:
        if self._request is not None:
            refused = self._request.be_truthful(refused)
        self._story.add(
            'refused',
            kind=refused.kind.value,
            reason=refused.message,
            ran=refused.ran.value,
            retry_after_s=refused.retry_after,
        )
        if self._connection.answer_started:
            # What was sent can't be completed and must not look complete.
            self._connection.abort()
            return
        if self._passing.failure is not None:
            await self._connection.send_answer(self._passing.failure)
            return
        dialect = self._parts.dialect
        await self._connection.send_answer(
            dialect.build_refusal(refused, self._facts.request_id)
        )

    def _may_leave(self) -> bool:
        """Return whether another upstream could take the request over."""
        request = self._context
        budget = self._parts.get_budget(request.service)
        return budget.has_room(
            self._parts.roster.live
        ) and self._candidates.has_others(request.admitted, request.service)

    def _build_patience(self) -> Patience:
        request = self._context
        route = request.admitted.route
        seconds = None
        if route.repeatable and request.runs < route.max_attempts:
            seconds = max(
                SILENT_TARGETS * route.target_seconds, MIN_SILENT_SECONDS
            )
        return Patience(seconds, self._may_leave)

    def _tell_sent(
        self, upstream: FleetUpstream, order: UpstreamOrder, kept: bool
    ) -> None:
        name = 'resumed' if self._passing.relay.started else 'sent'
        self._story.add(
            name,
            instance=upstream.instance,
            address=upstream.entry.address,
            weights=order.weights,
            last_event=order.last_event,
            in_flight=upstream.in_flight,
            kept_connection=kept,
            attempt=self._context.sends,
            live_routers=self._parts.roster.live,
        )
