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

"""Serves a request without an idempotency key to a plain service."""

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
from lifttrestle.internal.router.service_answer import forward_answer
from lifttrestle.internal.router.service_answer import keep_end_to_end_headers
from lifttrestle.internal.routing.prompt import Prompt
from lifttrestle.internal.settings.upstream import UpstreamKind
from lifttrestle.internal.upstream.exclusion import Target

IDEMPOTENT_METHODS = ('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS')
RETRY_SECONDS = 1.0
GATEWAY_ERRORS = (502, 503, 504)
NO_PROMPT = Prompt((), 0)
# Headers of the caller that are meant for the router, or that it sets itself.
ROUTER_HEADERS = ('host', 'authorization', 'expect', 'x-workspace')


@dataclasses.dataclass(frozen=True)
class ServiceRequest:
    """A complete request to a plain service.

    :ivar rest: the path below the service's name, with the query.
    """

    service: Service
    rest: str
    body: bytes


def build_target(scope: RequestScope, service: Service) -> Target:
    """Return what a request to ``service`` requires of an upstream."""
    return Target(
        kind=UpstreamKind.SERVICE,
        group=service.group,
        data_centres=scope.workspace.data_centres,
    )


def build_head(
    scope: RequestScope, request: ServiceRequest, request_id: str
) -> RequestHead:
    """Return the head to send to an upstream, without the caller's token."""
    kept = [
        (name, value)
        for name, value in keep_end_to_end_headers(scope.head.headers)
        if name not in ROUTER_HEADERS
    ]
    headers = (
        *kept,
        ('x-request-id', request_id),
        ('x-workspace', scope.workspace.name),
    )
    return RequestHead(scope.head.method, request.rest, headers)


class ServiceExchange(AttemptPlan[Attempt, None]):
    """Makes the attempts of a request that has no idempotency key.

    :param once: whether the operators forbid repeating the request: once its
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
        """Serve the request.

        :raises RequestRefused: if no answer was started, or one broke off.
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
        """Send the request and forward its answer."""
        with self._chooser.track(chosen):
            await self._run_attempt(chosen)

    async def _run_attempt(self, attempt: Attempt) -> None:
        request_id = f'{self._scope.request_id}-{attempt.number}'
        head = build_head(self._scope, self._request, request_id)
        try:
            call = await open_call(
                self._parts,
                self._scope,
                attempt,
                head,
                self._request.body,
                once=not self._is_idempotent(),
            )
            await self._handle_answer(attempt, call, request_id)
        except ATTEMPT_FAILURES as error:
            self._chooser.note_failure(self._scope, attempt, error)
            raise

    async def _handle_answer(
        self, attempt: Attempt, call: UpstreamCall, request_id: str
    ) -> None:
        try:
            check_answer(self._parts, attempt, call, request_id)
            self._check_status(attempt, call)
            self._scope.progress.apply(RequestEvent.ANSWER)
            self._chooser.note_first_byte(attempt)
            await forward_answer(self._scope, call)
        except BaseException:
            call.connection.close()
            raise
        attempt.upstream.pool.give_back(call.connection)
        self._scope.progress.apply(RequestEvent.END)
        attempt.decision.outcome = f'status {call.head.status}'

    def _check_status(self, attempt: Attempt, call: UpstreamCall) -> None:
        """Fail the attempt on a gateway error if the request is idempotent.

        Another replica may then answer it. In other cases the error is
        forwarded as the answer, since even a 503 does not prove that nothing
        ran.

        :raises UpstreamFailed: for such an error.
        """
        if call.head.status in GATEWAY_ERRORS and self._is_idempotent():
            raise UpstreamFailed(
                f'{attempt.upstream.name} answered {call.head.status}'
            )

    def _is_idempotent(self) -> bool:
        return not self._once and self._scope.head.method in IDEMPOTENT_METHODS

    async def handle_failure(
        self, chosen: Attempt, error: LifttrestleError
    ) -> FailureAction:
        """Retry if that is safe, in time and within the retry budget."""
        if self._scope.connection.answer_started:
            self._scope.connection.abort()
            raise self._refuse(f'the answer broke off: {error}')
        if (
            not isinstance(error, NOT_RUN_FAILURES)
            and not self._is_idempotent()
        ):
            raise self._refuse(str(error))
        if self._parts.clock.monotonic() >= self._scope.deadline:
            raise RequestRefused(
                ErrorKind.DEADLINE_EXCEEDED,
                f'no answer before the deadline: {error}',
            )
        if not self._parts.budget.take():
            raise self._refuse(f'the retry budget is used up: {error}')
        return FailureAction.RETRY

    def _refuse(self, message: str) -> RequestRefused:
        return RequestRefused(
            ErrorKind.UPSTREAM_FAILED, message, retry_after=RETRY_SECONDS
        )
