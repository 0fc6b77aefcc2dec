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

"""Serves one request to a plain service."""

import dataclasses

from lifttrestle.errors import LifttrestleError
from lifttrestle.errors import RequestRefused
from lifttrestle.errors import UpstreamFailed
from lifttrestle.internal.configuration.model import Service
from lifttrestle.internal.exchange.attempts import ATTEMPT_FAILURES
from lifttrestle.internal.exchange.attempts import AttemptPlan
from lifttrestle.internal.exchange.attempts import FailureAction
from lifttrestle.internal.exchange.attempts import NOT_RUN_FAILURES
from lifttrestle.internal.exchange.attempts import run_attempts
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.refusal.kind import ErrorKind
from lifttrestle.internal.router.attempt import Attempt
from lifttrestle.internal.router.call import check_answer
from lifttrestle.internal.router.call import open_call
from lifttrestle.internal.router.call import UpstreamCall
from lifttrestle.internal.router.chooser import UpstreamChooser
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.scope import RequestScope
from lifttrestle.internal.router.service_answer import keep_end_headers
from lifttrestle.internal.router.service_answer import pass_answer
from lifttrestle.internal.routing.prompt import Prompt
from lifttrestle.internal.settings.upstream import UpstreamKind
from lifttrestle.internal.upstream.exclusion import Target

REPEATABLE_METHODS = ('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS')
RETRY_SECONDS = 1.0
FAILED_STATUSES = (502, 503, 504)
NO_PROMPT = Prompt((), 0)
# What the caller says of these is for us, or ours to say.
OWN_HEADERS = ('host', 'authorization', 'expect', 'x-workspace')


@dataclasses.dataclass(frozen=True)
class ServiceRequest:
    """A request to a plain service, whole.

    :ivar rest: the target below the service's name, with its query.
    """

    service: Service
    rest: str
    body: bytes


def build_target(scope: RequestScope, service: Service) -> Target:
    """Return what a request to ``service`` needs of an upstream."""
    return Target(
        kind=UpstreamKind.SERVICE,
        group=service.group,
        data_centres=scope.workspace.data_centres,
    )


def build_head(
    scope: RequestScope, request: ServiceRequest, request_id: str
) -> RequestHead:
    """Return the head to send; the caller's token stays here."""
    kept = [
        (name, value)
        for name, value in keep_end_headers(scope.head.headers)
        if name not in OWN_HEADERS
    ]
    headers = (
        *kept,
        ('x-request-id', request_id),
        ('x-workspace', scope.workspace.name),
    )
    return RequestHead(scope.head.method, request.rest, headers)


class ServiceExchange(AttemptPlan[Attempt, None]):
    """Owns the attempts of a request that has no idempotency key.

    :param once: the operators say that it may not be repeated: once its
        first byte may have reached an upstream, it is not sent again.
    """

    def __init__(
        self,
        parts: RouterParts,
        chooser: UpstreamChooser,
        scope: RequestScope,
        request: ServiceRequest,
        once: bool,
    ) -> None:
        self._parts = parts
        self._chooser = chooser
        self._scope = scope
        self._request = request
        self._once = once
        self._tried: set[str] = set()

    async def run(self) -> None:
        """Serve the request to its end.

        :raises RequestRefused: if no answer could be begun.
        """
        self._parts.budget.note_request()
        await run_attempts(self)

    async def choose(self) -> Attempt:
        """Return the next upstream that has not failed this request."""
        attempt = self._chooser.choose(
            self._scope,
            build_target(self._scope, self._request.service),
            NO_PROMPT,
            self._tried,
            len(self._tried) + 1,
        )
        self._tried.add(attempt.upstream.name)
        return attempt

    async def attempt(self, chosen: Attempt) -> None:
        """Send the request and pass its answer on."""
        with self._chooser.track(chosen):
            await self._try(chosen)

    async def _try(self, attempt: Attempt) -> None:
        request_id = f'{self._scope.request_id}-{attempt.number}'
        head = build_head(self._scope, self._request, request_id)
        try:
            call = await open_call(
                self._parts,
                self._scope,
                attempt,
                head,
                self._request.body,
                once=not self._is_repeatable(),
            )
            await self._take_answer(attempt, call, request_id)
        except ATTEMPT_FAILURES as error:
            self._chooser.note_failure(self._scope, attempt, error)
            raise

    async def _take_answer(
        self, attempt: Attempt, call: UpstreamCall, request_id: str
    ) -> None:
        try:
            check_answer(self._parts, attempt, call, request_id)
            self._check_status(attempt, call)
            self._scope.progress.apply(RequestEvent.ANSWER)
            self._chooser.note_first_byte(attempt)
            await pass_answer(self._scope, call)
        except BaseException:
            call.connection.close()
            raise
        attempt.upstream.pool.give_back(call.connection)
        self._scope.progress.apply(RequestEvent.END)
        attempt.decision.outcome = f'status {call.head.status}'

    def _check_status(self, attempt: Attempt, call: UpstreamCall) -> None:
        """Ask another replica where that is harmless.

        Otherwise a service's error is its answer, and the caller's to read:
        even a 503 does not prove that nothing ran.
        """
        if call.head.status in FAILED_STATUSES and self._is_repeatable():
            raise UpstreamFailed(
                f'{attempt.upstream.name} answered {call.head.status}'
            )

    def _is_repeatable(self) -> bool:
        return not self._once and self._scope.head.method in REPEATABLE_METHODS

    async def handle_failure(
        self, chosen: Attempt, error: LifttrestleError
    ) -> FailureAction:
        """Try again where that is harmless and in time."""
        if self._scope.connection.answer_started:
            self._scope.connection.abort()
            raise self._refuse(f'the answer broke off: {error}')
        if (
            not isinstance(error, NOT_RUN_FAILURES)
            and not self._is_repeatable()
        ):
            raise self._refuse(str(error))
        if self._parts.clock.monotonic() >= self._scope.deadline:
            raise RequestRefused(
                ErrorKind.DEADLINE_EXCEEDED, f'no answer in time: {error}'
            )
        if not self._parts.budget.take():
            raise self._refuse(f'no retry is left: {error}')
        return FailureAction.RETRY

    def _refuse(self, message: str) -> RequestRefused:
        return RequestRefused(
            ErrorKind.UPSTREAM_FAILED, message, retry_after=RETRY_SECONDS
        )
