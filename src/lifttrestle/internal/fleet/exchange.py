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

"""Serves one request: chooses, sends, relays, tries again, or refuses."""

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
from lifttrestle.internal.fleet.admission import admit
from lifttrestle.internal.fleet.admission import Admitted
from lifttrestle.internal.fleet.admission import get_urgency
from lifttrestle.internal.fleet.admission import get_wall
from lifttrestle.internal.fleet.answer_passing import AnswerPassing
from lifttrestle.internal.fleet.answer_passing import Patience
from lifttrestle.internal.fleet.attempt import begin_attempt
from lifttrestle.internal.fleet.attempt import PROMISING
from lifttrestle.internal.fleet.attempt import UpstreamAnswer
from lifttrestle.internal.fleet.candidates import Candidates
from lifttrestle.internal.fleet.dialect import CacheUse
from lifttrestle.internal.fleet.dialect import RequestFacts
from lifttrestle.internal.fleet.dialect import UpstreamOrder
from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.placement import Placement
from lifttrestle.internal.fleet.shared_parts import build_salt
from lifttrestle.internal.fleet.story import RequestStory
from lifttrestle.internal.fleet.upstream import FleetUpstream
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.refusal.answers import ANSWERS
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.refusal.kind import ErrorKind

# Sends of one request, counting those that were turned away unread.
MAX_SENDS = 4
MILLISECONDS = 1000
# When a refused caller may come back: engines free a slot within that time.
RETRY_SECONDS = 0.15
# A repeatable request is taken elsewhere when its upstream has sent nothing
# to anyone for this many times the route's objective, and never sooner than
# a second. An upstream that is slow but answers others is waited for.
SILENT_TARGETS = 2.0
MIN_SILENT_SECONDS = 1.0
# A request is refused when its first piece would take more than this many
# times its objective wherever it is sent.
SHED_TARGETS = 1.0
MIN_SHED_RETRY_SECONDS = 0.4
MAX_SHED_RETRY_SECONDS = 1.0
# A caller with less than this share of its route's time has been here before.
FIRST_COME_SHARE = 0.95
# It is served if its first piece comes within this share of what is left.
RETURNED_SHARE = 0.5
# A request waits for an upstream at most so long, and at most that share of
# its time: engines that load are back within about a second.
MAX_HELD_SECONDS = 0.8
HELD_SHARE = 0.2
HELD_POLL_SECONDS = 0.03
# Below this there is no time left to be served in.
MIN_LEFT_SECONDS = 0.01
# After an engine has turned a request away for its weights, it is avoided
# until its entry or the plan tells more.
DECLINED_SECONDS = 0.15
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
        # Set before anything is tried; renewed with each attempt.
        self._admitted: Admitted
        self._started = parts.clock.monotonic()
        self._deadline = self._started
        self._progress = RequestProgress()
        self._passing = AnswerPassing(
            parts, connection, self._progress, facts.last_event
        )
        self._candidates = Candidates(parts, facts)
        self._sends = 0
        self._runs = 0
        self._service = ''
        self._story = RequestStory(parts.clock, facts.request_id)

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
            refused = self._be_truthful(refused)
            self._story.add(
                'refused',
                kind=refused.kind.value,
                reason=refused.message,
                ran=refused.ran.value,
                retry_after_s=refused.retry_after,
            )
            await self._refuse(refused)
        except CallerGone as gone:
            outcome = f'caller gone: {gone}'
            failed = True
            raise
        finally:
            self._story.tell(outcome, failed=failed, service=self._service)
            self._parts.metrics.count_request(
                self._service or 'none',
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
        admitted = admit(self._parts, self._facts)
        self._set_deadline(admitted)
        self._progress.move(RequestEvent.ADMIT)
        self._service = self._choose_service(admitted)
        self._tell_admitted(admitted)
        self._parts.get_budget(self._service).note_request()
        try:
            async with asyncio.timeout(self._get_left()):
                await run_attempts(self)
        except TimeoutError:
            self._story.add('out_of_time')
            raise RequestRefused(
                ErrorKind.DEADLINE_EXCEEDED,
                'the time for this request is over',
                ran=self._progress.execution,
            ) from None

    def _set_deadline(self, admitted: Admitted) -> None:
        seconds = admitted.route.timeout_seconds
        if self._facts.wait_seconds is not None:
            seconds = min(seconds, self._facts.wait_seconds)
        self._deadline = self._started + seconds

    def _choose_service(self, admitted: Admitted) -> str:
        shares = admitted.route.shares
        if len(shares) == 1:
            return shares[0].service
        chosen = self._parts.source.choices(
            shares, [share.weight for share in shares]
        )
        return chosen[0].service

    async def choose(self) -> Placement:
        """Return an upstream, by what is in force now.

        A key may have been taken away since the last attempt, or the view
        may have become too old to rely on.
        """
        self._admitted = admit(self._parts, self._facts)
        self._check_service(self._admitted)
        placement = await self._find_upstream()
        self._candidates.exclude(placement.upstream)
        self._tell_chosen(placement)
        return placement

    async def attempt(self, chosen: Placement) -> None:
        """Send the request and pass its answer on."""
        if self._sends >= 1 and not self._take_retry():
            raise self._give_up(
                ErrorKind.UPSTREAM_FAILED, 'no retry is left to spend'
            )
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
        self._note_failure(chosen.upstream, error)
        if self._sends >= MAX_SENDS:
            raise self._give_up(
                ErrorKind.UPSTREAM_FAILED, f'too many attempts: {error}'
            )
        if self._runs == 0:
            return Verdict.AGAIN
        route = self._admitted.route
        if not route.repeatable:
            raise self._give_up(
                ErrorKind.UPSTREAM_FAILED, f'it may have run: {error}'
            )
        if self._runs >= route.max_attempts:
            raise self._give_up(
                ErrorKind.UPSTREAM_FAILED, f'no attempt is left: {error}'
            )
        return Verdict.AGAIN

    def _note_failure(
        self, upstream: FleetUpstream, error: LifttrestleError
    ) -> None:
        kind = type(error).__name__
        self._parts.metrics.count_attempt(self._service, kind)
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
            upstream.unreached_at = now
        else:
            upstream.breaker.note_failure(now)

    def _note_declined(self, upstream: FleetUpstream, now: float) -> None:
        """Take a run back that was none; its upstream may do better soon."""
        self._progress.move(RequestEvent.DECLINED)
        self._runs -= 1
        until = now + DECLINED_SECONDS
        self._candidates.exclude(upstream, until)
        if self._facts.generation is not None:
            upstream.busy_until = max(upstream.busy_until, until)

    def _check_service(self, admitted: Admitted) -> None:
        names = [share.service for share in admitted.route.shares]
        if self._service not in names:
            self._service = self._choose_service(admitted)

    async def _find_upstream(self) -> Placement:
        """Return an upstream, waiting a little while there is none."""
        clock = self._parts.clock
        until = clock.monotonic() + min(
            MAX_HELD_SECONDS, self._get_left() * HELD_SHARE
        )
        held = False
        while True:
            placement = self._candidates.choose(self._admitted, self._service)
            if placement is not None:
                self._check_queue(self._admitted, placement)
                return placement
            waits = self._candidates.may_become_fit(self._service)
            if clock.monotonic() >= until or not waits:
                break
            if not held:
                held = True
                self._story.add('held', reason='no upstream is free for it')
            await asyncio.sleep(HELD_POLL_SECONDS)
            self._admitted = admit(self._parts, self._facts)
        raise self._give_up(
            ErrorKind.NO_UPSTREAM, 'no upstream may serve this now'
        )

    def _check_queue(self, admitted: Admitted, placement: Placement) -> None:
        """Refuse at once what would only wait too long.

        The best engine has a queue: to join it makes this request late, and
        all that follow as well. A caller that comes back with a part of its
        time gone is not turned away again while it can be served at all.
        """
        if self._facts.generation is None or self._sends:
            return
        route = admitted.route
        left = self._get_left()
        limit = SHED_TARGETS * route.target_seconds
        if left < FIRST_COME_SHARE * route.timeout_seconds:
            limit = max(limit, left * RETURNED_SHARE)
        wait = placement.expected_seconds
        if wait <= limit:
            return
        excess = wait - limit
        raise RequestRefused(
            ErrorKind.OVERLOADED,
            f'a first piece would take {wait:.2f} s at the least loaded'
            f' engine, over {limit:.2f} s',
            retry_after=min(
                excess + MIN_SHED_RETRY_SECONDS, MAX_SHED_RETRY_SECONDS
            ),
        )

    def _take_retry(self) -> bool:
        budget = self._parts.get_budget(self._service)
        granted = budget.take(self._parts.roster.live)
        self._parts.metrics.count_retry(self._service, granted)
        return granted

    async def _exchange(self, chosen: Placement, ticket: int) -> None:
        parts = self._parts
        upstream = chosen.upstream
        admitted = self._admitted
        connection = await upstream.pool.take()
        try:
            # Connecting may have taken a while.
            admit(parts, self._facts)
            order = self._build_order(admitted, upstream)
            head = parts.dialect.build_head(self._head, order)
            self._sends += 1
            self._runs += 1
            self._progress.move(RequestEvent.SEND)
            sent_at = parts.clock.monotonic()
            urgency = get_urgency(admitted)
            upstream.note_sent(ticket, sent_at, urgency, chosen.unread_tokens)
            parts.metrics.count_connection(
                self._service, connection.exchanges > 0
            )
            self._tell_sent(upstream, order, connection.exchanges)
            patience = self._build_patience(admitted)
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
            parts.metrics.time_first_byte(self._service, heard_at - sent_at)
            self._note_engine(upstream, order, answer)
            await self._passing.pass_on(
                admitted.route, upstream, answer, patience
            )
        except (UpstreamDeclined, UpstreamFailed):
            # Its answer was read to the end.
            upstream.pool.give_back(connection)
            raise
        except BaseException:
            connection.close()
            raise
        parts.metrics.count_attempt(self._service, 'good')
        upstream.breaker.note_success()
        upstream.pool.give_back(connection)

    def _note_engine(
        self,
        upstream: FleetUpstream,
        order: UpstreamOrder,
        answer: UpstreamAnswer,
    ) -> None:
        generation = self._facts.generation
        if generation is None:
            return
        if answer.facts.weights is not None:
            upstream.note_weights(generation.model, answer.facts.weights)
        if order.cache is not None:
            self._parts.sources.note_served(order.cache, generation)

    def _build_order(
        self, admitted: Admitted, upstream: FleetUpstream
    ) -> UpstreamOrder:
        workspace = admitted.workspace
        generation = self._facts.generation
        weights = None
        if generation is not None:
            weights = upstream.weights.get(generation.model)
        return UpstreamOrder(
            instance=upstream.instance,
            wait_seconds=self._get_left(),
            workspace=workspace.name if workspace is not None else '',
            hide_key=admitted.catalogue.keys is not None,
            weights=weights,
            cache=self._build_cache_use(admitted, weights),
            urgency=get_urgency(admitted) if generation else None,
            last_event=self._passing.relay.last_event,
        )

    def _build_cache_use(
        self, admitted: Admitted, weights: int | None
    ) -> CacheUse | None:
        generation = self._facts.generation
        if generation is None or weights is None:
            return None
        kept = admitted.catalogue.find_cache_store()
        address = kept.address if kept is not None else ''
        salt = build_salt(get_wall(admitted), generation.model, weights)
        return self._parts.sources.choose(salt, generation, address)

    def _give_up(self, kind: ErrorKind, message: str) -> RequestRefused:
        ran = self._progress.execution
        if ran is Execution.NOT_RUN:
            return RequestRefused(
                ErrorKind.NO_UPSTREAM, message, retry_after=RETRY_SECONDS
            )
        if kind is ErrorKind.NO_UPSTREAM:
            kind = ErrorKind.UPSTREAM_FAILED
        return RequestRefused(kind, message, ran=ran)

    async def _refuse(self, refused: RequestRefused) -> None:
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

    def _be_truthful(self, refused: RequestRefused) -> RequestRefused:
        """Promise that nothing ran only if that is so.

        A repeatable request may be refused for its key or for the age of the
        view after an attempt of which nobody knows whether it ran.
        """
        ran = self._progress.execution
        promises = ANSWERS[refused.kind].status in PROMISING
        if ran is Execution.NOT_RUN or not promises:
            return refused
        return RequestRefused(
            ErrorKind.UPSTREAM_FAILED, refused.message, ran=ran
        )

    def _get_left(self) -> float:
        return max(
            self._deadline - self._parts.clock.monotonic(), MIN_LEFT_SECONDS
        )

    def _may_leave(self, admitted: Admitted) -> bool:
        """Return whether another upstream could take the request over."""
        parts = self._parts
        budget = parts.get_budget(self._service)
        return budget.has_room(
            parts.roster.live
        ) and self._candidates.has_others(admitted, self._service)

    def _build_patience(self, admitted: Admitted) -> Patience:
        route = admitted.route
        seconds = None
        if route.repeatable and self._runs < route.max_attempts:
            seconds = max(
                SILENT_TARGETS * route.target_seconds, MIN_SILENT_SECONDS
            )
        return Patience(seconds, lambda: self._may_leave(admitted))

    def _tell_chosen(self, placement: Placement) -> None:
        self._story.add(
            'chosen',
            instance=placement.upstream.instance,
            reason=placement.reason,
            candidates_ms={
                name: round(cost * MILLISECONDS, 1)
                for name, cost in placement.candidates
            },
            avoided=list(placement.avoided) or None,
        )

    def _tell_admitted(self, admitted: Admitted) -> None:
        parts = self._parts
        workspace = admitted.workspace
        self._story.add(
            'admitted',
            host=self._facts.host,
            route=admitted.route.name,
            workspace=workspace.name if workspace is not None else None,
            configuration=admitted.catalogue.version,
            view_age_ms=round(parts.operator_watch.get_age() * MILLISECONDS),
            left_ms=round(self._get_left() * MILLISECONDS),
        )

    def _tell_sent(
        self, upstream: FleetUpstream, order: UpstreamOrder, exchanges: int
    ) -> None:
        name = 'resumed' if self._passing.relay.started else 'sent'
        self._story.add(
            name,
            instance=upstream.instance,
            address=upstream.entry.address,
            weights=order.weights,
            last_event=order.last_event,
            in_flight=upstream.in_flight,
            kept_connection=exchanges > 0,
            attempt=self._sends,
            live_routers=self._parts.roster.live,
        )
