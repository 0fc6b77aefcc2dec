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

"""Sends a request to its upstream and learns from how the answer begins."""

from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.fleet.path.answer_passing import AnswerPassing
from lifttrestle.internal.fleet.path.answer_passing import Patience
from lifttrestle.internal.fleet.path.attempt import begin_attempt
from lifttrestle.internal.fleet.path.attempt import UpstreamAnswer
from lifttrestle.internal.fleet.path.candidates import Candidates
from lifttrestle.internal.fleet.path.dialect import UpstreamOrder
from lifttrestle.internal.fleet.path.order_building import build_order
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.fleet.path.story import build_answered
from lifttrestle.internal.fleet.policy.admission import get_urgency
from lifttrestle.internal.fleet.policy.placement import Placement
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.refusal.kind import ErrorKind

# A repeatable request is taken elsewhere when its upstream has sent nothing
# to anyone for this many times the route's objective, and never sooner than
# a second. An upstream that is slow but answers others is waited for.
SILENT_TARGETS = 2.0
MIN_SILENT_SECONDS = 1.0
# An engine that reads from a store which is gone waits some hundred
# milliseconds for it: a first piece that is later than expected by so much is
# a reason to look whether the store is there.
FETCH_LATE_SECONDS = 0.2
# A prompt with so many tokens to read keeps an engine busy for 30 ms or more,
# and other routers are told of it at once. Told of with the next regular
# report, 0.15 s later at the most, it left mean worth at 0.527 in place of
# 0.561 (three days with trouble, three seeds).
LONG_PROMPT_TOKENS = 1000


class RequestSender:
    """Sends one request, as often as its attempts need.

    :param body: the whole body.
    :ivar answered: what the log tells of the last attempt that was answered.
    """

    def __init__(
        self,
        request: RequestContext,
        head: RequestHead,
        body: bytes,
        passing: AnswerPassing,
        candidates: Candidates,
    ) -> None:
        self._parts = request.parts
        self._request = request
        self._head = head
        self._body = body
        self._passing = passing
        self._candidates = candidates
        self.answered: dict[str, object] = {}
        self._begun_seconds = 0.0

    async def send(
        self, chosen: Placement, ticket: int, connection: ClientConnection
    ) -> tuple[UpstreamAnswer, Patience]:
        """Send the request and return its answer once that has begun."""
        parts = self._parts
        request = self._request
        upstream = chosen.upstream
        # Connecting may have taken a while; only what is sent is a retry.
        await request.check_held_to_send()
        admitted = request.admit_again()
        if request.sends and not self._take_retry():
            raise request.give_up(
                ErrorKind.UPSTREAM_FAILED, 'no retry is left to spend'
            )
        order = build_order(request, upstream, self._passing.relay.last_event)
        head = parts.dialect.build_head(self._head, order)
        request.sends += 1
        request.runs += 1
        if request.charge is not None:
            request.charge.note_sent()
        request.progress.apply(RequestEvent.SEND)
        sent_at = parts.clock.monotonic()
        upstream.note_sent(
            ticket, sent_at, get_urgency(admitted), chosen.unread_tokens
        )
        self._tell_load(chosen)
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
            request.facts.request_id,
            patience.seconds,
            patience.may_leave,
            lambda named: parts.limits.note_answer(upstream, named, sent_at),
        )
        parts.crashes.losses.note_answered(upstream, sent_at)
        self._note_answer(chosen, ticket, order, answer, sent_at)
        return answer, patience

    def _note_answer(
        self,
        chosen: Placement,
        ticket: int,
        order: UpstreamOrder,
        answer: UpstreamAnswer,
        sent_at: float,
    ) -> None:
        """Hold an answer that began against what was expected."""
        request = self._request
        heard_at = self._parts.clock.monotonic()
        seconds = heard_at - sent_at
        chosen.upstream.note_first_byte(ticket, heard_at)
        self._tell_load(chosen)
        self._parts.metrics.time_first_byte(
            request.service, seconds, chosen.expected_seconds
        )
        if not self.answered:
            self._begun_seconds = heard_at - request.started
        self.answered = build_answered(
            chosen, seconds, self._begun_seconds, order
        )
        if seconds > chosen.expected_seconds + FETCH_LATE_SECONDS:
            self._suspect_store(order)
        self._note_engine(chosen, order, answer, seconds)

    def _tell_load(self, chosen: Placement) -> None:
        """Have other routers know of a long prompt that is read, or was."""
        if chosen.unread_tokens >= LONG_PROMPT_TOKENS:
            self._parts.note_load_change()

    def _take_retry(self) -> bool:
        service = self._request.service
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
        generation = self._request.facts.generation
        if generation is None:
            return
        self._parts.get_pace(self._request.service).note_answer(
            chosen.queue_tokens, chosen.unread_tokens, seconds
        )
        if answer.facts.weights is not None:
            chosen.upstream.note_weights(
                generation.model,
                answer.facts.weights,
                self._parts.clock.monotonic(),
            )
        if order.cache is not None:
            self._parts.sources.note_served(order.cache, generation)

    def _suspect_store(self, order: UpstreamOrder) -> None:
        """Look after a store that an engine may have waited for."""
        if order.cache is not None and order.cache.source:
            self._parts.stores.suspect(order.cache.source)

    def _may_leave(self) -> bool:
        """Return whether another upstream could take the request over."""
        request = self._request
        budget = self._parts.get_budget(request.service)
        return budget.has_room(
            self._parts.roster.live
        ) and self._candidates.has_others(request.admitted, request.service)

    def _build_patience(self) -> Patience:
        request = self._request
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
        self._request.story.add(
            name,
            instance=upstream.instance,
            address=upstream.entry.address,
            weights=order.weights,
            last_event=order.last_event,
            in_flight=upstream.in_flight,
            kept_connection=kept,
            attempt=self._request.sends,
            live_routers=self._parts.roster.live,
        )
