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

"""Runs a request that has an idempotency key at most once.

The key is claimed in the table service before anything is sent. Once the
first byte of the request may have reached an upstream, the request is not
sent again. The outcome is recorded even if the caller disconnects.
"""

import asyncio
import hashlib

from lifttrestle.errors import LifttrestleError
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.exchange.attempts import ATTEMPT_FAILURES
from lifttrestle.internal.exchange.attempts import AttemptPlan
from lifttrestle.internal.exchange.attempts import FailureAction
from lifttrestle.internal.exchange.attempts import NOT_RUN_FAILURES
from lifttrestle.internal.exchange.attempts import run_attempts
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.refusal.execution import combine_executions
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.refusal.kind import ErrorKind
from lifttrestle.internal.router.attempt import Attempt
from lifttrestle.internal.router.call import check_answer
from lifttrestle.internal.router.call import open_call
from lifttrestle.internal.router.chooser import UpstreamChooser
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.scope import RequestScope
from lifttrestle.internal.router.service_answer import read_answer
from lifttrestle.internal.router.service_exchange import build_head
from lifttrestle.internal.router.service_exchange import build_target
from lifttrestle.internal.router.service_exchange import NO_PROMPT
from lifttrestle.internal.router.service_exchange import ServiceRequest
from lifttrestle.internal.runrecord.ledger import Claim
from lifttrestle.internal.runrecord.ledger import RunKey
from lifttrestle.internal.runrecord.record import RunRecord
from lifttrestle.internal.runrecord.record import RunState

RETRY_SECONDS = 2.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class OnceExchange(AttemptPlan[Attempt, Answer]):
    """Claims the key of a request and runs the request at most once.

    :param needs_claim: False if the upstreams drop repeats themselves.
    """

    def __init__(
        self,
        parts: RouterParts,
        chooser: UpstreamChooser,
        scope: RequestScope,
        request: ServiceRequest,
        key: str,
        needs_claim: bool,
    ) -> None:
        self._parts = parts
        self._chooser = chooser
        self._scope = scope
        self._request = request
        self._run_key = RunKey(scope.workspace.name, key)
        self._needs_claim = needs_claim
        self._attempt_id = scope.request_id
        self._claimed: Claim | None = None
        self._tried: set[str] = set()

    async def run(self) -> None:
        """Serve the request in a task that continues if the caller leaves.

        :raises RequestRefused: if there is no answer; the refusal states
            whether the request ran, as far as is known.
        """
        task = self._parts.background.start(self._run_to_completion())
        try:
            outcome = await asyncio.shield(task)
        except asyncio.CancelledError:
            self._scope.progress.detached = True
            raise
        if isinstance(outcome, RequestRefused):
            raise outcome
        assert isinstance(outcome, Answer)
        await self._scope.connection.send_answer(outcome)

    async def _run_to_completion(self) -> Answer | RequestRefused:
        try:
            self._claimed = await self._claim()
            answer = await run_attempts(self)
            assert answer is not None
            return answer
        except RequestRefused as refused:
            refused.ran = combine_executions(
                refused.ran, self._scope.progress.execution
            )
            return refused

    async def _claim(self) -> Claim | None:
        if not self._needs_claim:
            return None
        remaining = self._scope.deadline - self._parts.clock.monotonic()
        try:
            async with asyncio.timeout(max(remaining, 0)):
                outcome = await self._parts.ledger.claim(
                    self._run_key,
                    self._attempt_id,
                    self._compute_fingerprint(),
                )
        except (PlatformUnavailable, TimeoutError) as error:
            # The claim may have been written, or its write may still be in
            # flight. Only this attempt may void it, since this attempt will
            # never be sent. The caller does not have to wait for that.
            self._parts.ledger.schedule_void(self._run_key, self._attempt_id)
            raise RequestRefused(
                ErrorKind.TABLE_UNAVAILABLE,
                'the run could not be recorded, so the request was not sent:'
                f' {str(error) or "the deadline has passed"}',
                retry_after=RETRY_SECONDS,
            ) from None
        if not isinstance(outcome, Claim):
            raise self._build_conflict_refusal(outcome.record)
        self._scope.progress.apply(RequestEvent.CLAIM)
        return outcome

    async def choose(self) -> Attempt:
        """Return the next attempt, or void the claim if there is none."""
        try:
            self._check_deadline()
            attempt = self._chooser.choose(
                self._scope,
                build_target(self._scope, self._request.service),
                NO_PROMPT,
                self._tried,
                len(self._tried) + 1,
            )
        except RequestRefused:
            await self._void(self._claimed)
            raise
        self._tried.add(attempt.upstream.name)
        return attempt

    async def attempt(self, chosen: Attempt) -> Answer:
        """Send the request and return its complete answer."""
        with self._chooser.track(chosen):
            try:
                answer = await self._run_attempt(chosen)
            except ATTEMPT_FAILURES as error:
                self._chooser.note_failure(self._scope, chosen, error)
                raise
            except BaseException:
                self._finish(self._claimed, RunState.UNKNOWN, 0)
                raise
        self._finish(self._claimed, RunState.DONE, answer.status)
        return answer

    async def handle_failure(
        self, chosen: Attempt, error: LifttrestleError
    ) -> FailureAction:
        """Retry, under the same claim, only if the request did not run."""
        if isinstance(error, NOT_RUN_FAILURES):
            return FailureAction.RETRY
        self._finish(self._claimed, RunState.UNKNOWN, 0)
        raise RequestRefused(
            ErrorKind.UPSTREAM_FAILED,
            f'the request was sent and its outcome is unknown: {error}',
            ran=Execution.UNKNOWN,
        ) from None

    async def _run_attempt(self, attempt: Attempt) -> Answer:
        request_id = f'{self._scope.request_id}-{attempt.number}'
        head = build_head(self._scope, self._request, request_id)
        call = await open_call(
            self._parts,
            self._scope,
            attempt,
            head,
            self._request.body,
            once=True,
        )
        try:
            check_answer(self._parts, attempt, call, request_id)
            self._scope.progress.apply(RequestEvent.ANSWER)
            self._chooser.note_first_byte(attempt)
            answer = await read_answer(call, MAX_ANSWER_BYTES)
        except BaseException:
            call.connection.close()
            raise
        attempt.upstream.pool.give_back(call.connection)
        self._scope.progress.apply(RequestEvent.END)
        attempt.decision.outcome = f'status {answer.status}'
        id_header = ('x-request-id', self._scope.request_id)
        return Answer(answer.status, (*answer.headers, id_header), answer.body)

    def _check_deadline(self) -> None:
        in_time = self._parts.clock.monotonic() < self._scope.deadline
        if in_time and not self._scope.progress.detached:
            return
        raise RequestRefused(
            ErrorKind.DEADLINE_EXCEEDED,
            'the deadline passed before the request was sent',
            retry_after=RETRY_SECONDS,
        )

    async def _void(self, claim: Claim | None) -> None:
        if claim is None:
            return
        ledger = self._parts.ledger
        if not await ledger.void(self._run_key, self._attempt_id):
            ledger.schedule_void(self._run_key, self._attempt_id)

    def _finish(
        self, claim: Claim | None, state: RunState, status: int
    ) -> None:
        if claim is not None:
            self._parts.ledger.schedule_finish(claim, state, status)

    def _compute_fingerprint(self) -> str:
        method = self._scope.head.method
        digest = hashlib.sha256(f'{method} {self._request.rest}\n'.encode())
        digest.update(self._request.body)
        return digest.hexdigest()[:32]

    def _build_conflict_refusal(self, record: RunRecord) -> RequestRefused:
        key = self._run_key.key
        if (
            record.fingerprint
            and record.fingerprint != self._compute_fingerprint()
        ):
            return RequestRefused(
                ErrorKind.KEY_REUSED,
                f'the idempotency key {key!r} belongs to another request',
                field='idempotency-key',
            )
        details: dict[str, object] = {
            'recorded_state': record.state.value,
            'recorded_status': record.status or None,
        }
        if record.state is RunState.DONE:
            return RequestRefused(
                ErrorKind.ALREADY_RUN,
                f'the request with key {key!r} has run',
                field='idempotency-key',
                ran=Execution.RAN,
                details=details,
            )
        return RequestRefused(
            ErrorKind.RUN_UNKNOWN,
            f'another attempt holds the key {key!r} and may have run',
            field='idempotency-key',
            ran=Execution.UNKNOWN,
            details=details,
        )
