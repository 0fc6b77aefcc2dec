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

"""Serves one request of the chat and completion API.

Generation is idempotent: until the answer has started, a failed attempt is
retried at another engine. A stream that breaks off is resumed at the same
incarnation. If that fails, a replica with the same weights continues it from
the delivered text. If that fails too, the stream ends with an error that the
caller cannot mistake for its end.
"""

import msgspec

from lifttrestle.errors import CallerGone
from lifttrestle.errors import LifttrestleError
from lifttrestle.errors import RequestRefused
from lifttrestle.errors import UpstreamFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.errors import WrongAnswer
from lifttrestle.internal.configuration.model import Model
from lifttrestle.internal.exchange.attempts import ATTEMPT_FAILURES
from lifttrestle.internal.exchange.attempts import AttemptPlan
from lifttrestle.internal.exchange.attempts import FailureAction
from lifttrestle.internal.exchange.attempts import run_attempts
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.refusal.kind import ErrorKind
from lifttrestle.internal.router.attempt import Attempt
from lifttrestle.internal.router.buffered_relay import BufferedRelay
from lifttrestle.internal.router.call import check_answer
from lifttrestle.internal.router.call import check_engine_status
from lifttrestle.internal.router.call import open_call
from lifttrestle.internal.router.call import UpstreamCall
from lifttrestle.internal.router.chooser import UpstreamChooser
from lifttrestle.internal.router.continuation import build_continuation
from lifttrestle.internal.router.generation_control import cancel_generation
from lifttrestle.internal.router.generation_control import resume_stream
from lifttrestle.internal.router.model_request import ModelRequest
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.relay import AnswerRelay
from lifttrestle.internal.router.scope import RequestScope
from lifttrestle.internal.router.stream_relay import StreamRelay
from lifttrestle.internal.routing.levels import derive_prompt
from lifttrestle.internal.routing.levels import derive_salt
from lifttrestle.internal.settings.upstream import UpstreamKind
from lifttrestle.internal.upstream.exclusion import Target
from lifttrestle.internal.upstream.identity import EngineIdentity

MAX_RESUMES = 3
MAX_ATTEMPTS = 5
RETRY_SECONDS = 1.0
FIRST_CLIENT_ERROR = 400
MAX_ERROR_BYTES = 1024 * 1024


class ModelExchange(AttemptPlan[Attempt, None]):
    """Makes the attempts that one request needs."""

    def __init__(
        self,
        parts: RouterParts,
        chooser: UpstreamChooser,
        scope: RequestScope,
        request: ModelRequest,
        model: Model,
    ) -> None:
        self._parts = parts
        self._chooser = chooser
        self._scope = scope
        self._request = request
        self._model = model
        salt = derive_salt(scope.workspace.name, model.name, model.version)
        caller_salt = request.body.get('cache_salt')
        self._salt = f'{salt}-{caller_salt}' if caller_salt else salt
        self._prompt = derive_prompt(
            self._salt, request.texts, request.cache_key
        )
        self._body = self._build_body()
        self._tried: set[str] = set()
        self._attempts = 0
        # Software version of the engine that begins the answer.
        self._software = ''
        self._relay = self._build_relay()

    async def run(self) -> None:
        """Serve the request to its end.

        :raises RequestRefused: if no answer could be started, or if a stream
            broke off; in the latter case, the caller's connection has been
            aborted.
        """
        self._parts.budget.note_request()
        try:
            await run_attempts(self)
        except RequestRefused as refused:
            await self._fail(refused)

    async def choose(self) -> Attempt:
        """Choose an engine, a failed one again if all have failed."""
        attempt = self._choose()
        self._tried.add(attempt.upstream.name)
        return attempt

    async def attempt(self, chosen: Attempt) -> None:
        """Send the request and forward its answer."""
        with self._chooser.track(chosen):
            await self._run_attempt(chosen)

    async def handle_failure(
        self, chosen: Attempt, error: LifttrestleError
    ) -> FailureAction:
        """End a stream that lacks only its end, or decide on a retry.

        :raises RequestRefused: if no further attempt may be made.
        """
        if await self._try_finish_stream():
            return FailureAction.END
        refusal = self._find_refusal(error)
        if refusal is not None:
            raise refusal
        return FailureAction.RETRY

    def _choose(self) -> Attempt:
        relay = self._relay
        target = Target(
            kind=UpstreamKind.ENGINE,
            group=self._model.group,
            data_centres=self._scope.workspace.data_centres,
            model=self._model.name,
            version=self._model.version,
            continues_text=relay.started,
            software=self._software if relay.started else None,
        )
        self._attempts += 1
        try:
            return self._choose_untried(target)
        except RequestRefused:
            if not self._tried or self._attempts > MAX_ATTEMPTS:
                raise
            # Every engine has failed once. Generation may be repeated, and the
            # cause of a failure may no longer exist.
            self._tried.clear()
            return self._choose_untried(target)

    def _choose_untried(self, target: Target) -> Attempt:
        return self._chooser.choose(
            self._scope, target, self._prompt, self._tried, self._attempts
        )

    async def _run_attempt(self, attempt: Attempt) -> None:
        request_id = f'{self._scope.request_id}-{attempt.number}'
        head = RequestHead(
            'POST',
            self._request.path,
            (
                ('content-type', 'application/json'),
                ('x-request-id', request_id),
            ),
        )
        try:
            call = await open_call(
                self._parts, self._scope, attempt, head, self._body
            )
            await self._handle_answer(attempt, call, request_id)
        except ATTEMPT_FAILURES as error:
            self._chooser.note_failure(self._scope, attempt, error)
            raise

    async def _handle_answer(
        self, attempt: Attempt, call: UpstreamCall, request_id: str
    ) -> None:
        identity = self._parts.driver.decode_identity(call.head)
        try:
            check_answer(self._parts, attempt, call, request_id)
            check_engine_status(attempt, call)
            if call.head.status >= FIRST_CLIENT_ERROR:
                await self._forward_error(attempt, call)
                attempt.upstream.pool.give_back(call.connection)
                return
            self._check_weights(attempt, identity)
            self._scope.progress.apply(RequestEvent.ANSWER)
            self._chooser.note_first_byte(attempt)
            if not self._relay.started:
                self._software = attempt.upstream.software
            await self._forward_answer(attempt, call, identity)
        except CallerGone:
            call.connection.close()
            self._schedule_cancel(attempt, identity)
            raise
        except BaseException:
            call.connection.close()
            raise
        attempt.upstream.pool.give_back(call.connection)
        self._scope.progress.apply(RequestEvent.END)
        self._note_usage(attempt)

    async def _forward_answer(
        self, attempt: Attempt, call: UpstreamCall, identity: EngineIdentity
    ) -> None:
        """Forward the answer, resuming the stream where it breaks off."""
        resumes = 0
        while True:
            try:
                await self._relay.forward(call)
                return
            except UpstreamLost as lost:
                call.connection.close()
                resumes += 1
                if resumes > MAX_RESUMES:
                    raise
                call.connection = await self._resume(attempt, identity, lost)

    async def _resume(
        self, attempt: Attempt, identity: EngineIdentity, lost: UpstreamLost
    ) -> ClientConnection:
        relay = self._relay
        if not isinstance(relay, StreamRelay) or not relay.order.indexed:
            raise lost
        request_id = f'{self._scope.request_id}-{attempt.number}'
        head = self._parts.driver.build_resume(
            identity, relay.order.last_index, request_id
        )
        connection = await resume_stream(self._parts, attempt, identity, head)
        if connection is None:
            raise lost
        attempt.decision.reason += ', resumed'
        return connection

    def _check_weights(
        self, attempt: Attempt, identity: EngineIdentity
    ) -> None:
        if identity.version == self._model.version:
            return
        raise WrongAnswer(
            f'{attempt.upstream.name} answered with weights'
            f' {identity.version!r}, not {self._model.version!r}'
        )

    async def _forward_error(
        self, attempt: Attempt, call: UpstreamCall
    ) -> None:
        body = await call.read_body(MAX_ERROR_BYTES)
        attempt.decision.outcome = f'status {call.head.status}'
        if self._relay.started:
            raise UpstreamFailed(
                f'{attempt.upstream.name} refused to continue the answer'
            )
        self._scope.progress.apply(RequestEvent.ANSWER)
        headers = (
            ('content-type', call.head.get_header('content-type')),
            ('x-request-id', self._scope.request_id),
        )
        await self._scope.connection.send_answer(
            Answer(call.head.status, headers, body)
        )

    async def _try_finish_stream(self) -> bool:
        relay = self._relay
        if not isinstance(relay, StreamRelay) or not relay.started:
            return False
        return await relay.try_finish(self._request.max_tokens)

    def _find_refusal(self, error: LifttrestleError) -> RequestRefused | None:
        """Return why the request fails, or None to make another attempt."""
        relay = self._relay
        if relay.started and not self._prepare_continuation():
            return self._refuse(f'the answer broke off: {error}')
        if not relay.started and self._is_past_deadline():
            return RequestRefused(
                ErrorKind.DEADLINE_EXCEEDED,
                f'no answer before the deadline: {error}',
                ran=self._scope.progress.execution,
            )
        if not self._parts.budget.take():
            return self._refuse(f'the retry budget is used up: {error}')
        return None

    def _prepare_continuation(self) -> bool:
        relay = self._relay
        if not isinstance(relay, StreamRelay) or not self._request.continuable:
            return False
        body = build_continuation(self._request, relay.transcript)
        if body is None:
            return False
        relay.begin_continuation()
        self._body = self._encode_body(body)
        return True

    async def _fail(self, refused: RequestRefused) -> None:
        relay = self._relay
        refused.ran = self._scope.progress.execution
        if not isinstance(relay, StreamRelay) or not relay.started:
            raise refused
        error = {
            'message': refused.message,
            'type': ErrorKind.UPSTREAM_FAILED.value,
            'code': ErrorKind.UPSTREAM_FAILED.value,
            'request_id': self._scope.request_id,
        }
        await relay.fail(msgspec.json.encode({'error': error}))
        raise refused

    def _refuse(self, message: str) -> RequestRefused:
        return RequestRefused(
            ErrorKind.UPSTREAM_FAILED,
            message,
            ran=self._scope.progress.execution,
            retry_after=RETRY_SECONDS,
        )

    def _is_past_deadline(self) -> bool:
        return self._parts.clock.monotonic() >= self._scope.deadline

    def _build_relay(self) -> AnswerRelay:
        if not self._request.streams:
            return BufferedRelay(self._scope)
        return StreamRelay(self._scope, self._request.wants_usage)

    def _build_body(self) -> bytes:
        return self._encode_body(self._request.body)

    def _encode_body(self, body: dict[str, object]) -> bytes:
        content = {**body, 'cache_salt': self._salt}
        if self._request.streams:
            options = body.get('stream_options') or {}
            content['stream_options'] = {
                **options,  # type: ignore[dict-item]
                'include_usage': True,
            }
        return msgspec.json.encode(content)

    def _note_usage(self, attempt: Attempt) -> None:
        usage = self._relay.usage
        if usage is None:
            attempt.decision.outcome = 'complete'
            return
        self._chooser.note_usage(
            attempt, self._prompt, usage.cached_tokens, usage.completion_tokens
        )
        if self._parts.recorder is not None:
            self._parts.recorder.record(
                self._scope.started,
                self._scope.workspace.name,
                self._model.name,
                self._prompt,
                usage.completion_tokens,
                self._scope.workspace.priority,
            )

    def _schedule_cancel(
        self, attempt: Attempt, identity: EngineIdentity
    ) -> None:
        if not identity.stream_id or not self._request.streams:
            return
        head = self._parts.driver.build_cancel(identity)
        seconds = self._parts.settings.deadlines.stall
        self._parts.background.start(cancel_generation(attempt, head, seconds))
