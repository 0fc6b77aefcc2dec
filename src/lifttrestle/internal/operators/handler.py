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

"""HTTP handler of the intent API, which operators use."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging
import re
import typing

import msgspec

from lifttrestle.errors import CallerGone
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.document import encode_item
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.plan import PlanState
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.operators.intent import IntentService
from lifttrestle.internal.operators.outcome import PlanOutcome
from lifttrestle.internal.operators.role import Role
from lifttrestle.internal.operators.status import build_status
from lifttrestle.internal.operators.tokens import Operator
from lifttrestle.internal.operators.tokens import OperatorTokens
from lifttrestle.internal.refusal.body import build_refusal
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.refusal.kind import ErrorKind
from lifttrestle.internal.router.caller_handler import make_request_id
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.readiness import Readiness

LOG = logging.getLogger('lifttrestle.operators')
JSON_HEADERS = (('content-type', 'application/json'),)
T = typing.TypeVar('T')
OK = 200
CREATED = 201
ACCEPTED = 202
DEFAULT_WAIT_SECONDS = 5.0
MAX_WAIT_SECONDS = 60.0


class PlanRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request for a new plan."""

    changes: tuple[Change, ...]


class ConfirmRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a confirmation; an empty body stands for the defaults.

    :ivar wait_seconds: how long to wait for the plan to be accepted, limited
        to 0 to ``MAX_WAIT_SECONDS``.
    """

    wait_seconds: float = DEFAULT_WAIT_SECONDS


@dataclasses.dataclass(frozen=True)
class OperatorRequest:
    """A request of an authorised operator.

    :ivar path_parameters: values of the named groups of the route's path.
    """

    operator: Operator
    path_parameters: dict[str, str]
    body: bytes


Action = Callable[[OperatorRequest], Awaitable[Answer]]


@dataclasses.dataclass(frozen=True)
class OperatorRoute:
    """A method and path, the required role and the action to run."""

    method: str
    path: re.Pattern[str]
    role: Role
    action: Action


class OperatorHandler:
    """Routes and authorises the requests of operators and runs them."""

    def __init__(
        self,
        parts: RouterParts,
        readiness: Readiness,
        intent: IntentService,
        tokens: OperatorTokens,
    ) -> None:
        self._parts = parts
        self._readiness = readiness
        self._intent = intent
        self._tokens = tokens
        plan = r'/intent/plans/(?P<plan_id>[0-9a-f]+)'
        items = r'/intent/items/(?P<kind>[a-z]+)'
        routes: tuple[tuple[str, str, Role, Action], ...] = (
            ('GET', r'/intent/status', Role.READER, self._get_status),
            ('GET', items, Role.READER, self._list_items),
            ('GET', items + r'/(?P<name>[^/]+)', Role.READER, self._get_item),
            ('POST', r'/intent/plans', Role.PLANNER, self._make_plan),
            ('GET', plan, Role.READER, self._read_plan),
            ('POST', plan + '/confirm', Role.CONFIRMER, self._confirm),
            ('POST', plan + '/withdraw', Role.CONFIRMER, self._withdraw),
        )
        self._routes = [
            OperatorRoute(method, re.compile(path), role, action)
            for method, path, role, action in routes
        ]

    async def handle(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        """Serve one request and send its answer."""
        request_id = make_request_id(self._parts.source)
        try:
            answer = await self._serve(connection, head)
        except RequestRefused as refused:
            answer = build_refusal(refused, request_id)
        except (CallerGone, asyncio.CancelledError):
            raise
        except Exception:
            LOG.exception('operators: request %s failed', request_id)
            refusal = RequestRefused(
                ErrorKind.INTERNAL,
                f'the router failed to serve request {request_id}',
                ran=Execution.UNKNOWN,
            )
            answer = build_refusal(refusal, request_id)
        LOG.info(
            'operators: %s %s answered %d request=%s',
            head.method,
            head.path,
            answer.status,
            request_id,
        )
        await connection.send_answer(answer)

    async def _serve(
        self, connection: ServerConnection, head: RequestHead
    ) -> Answer:
        route, path_parameters = self._find_route(head)
        operator = self._tokens.authorise(head, route.role)
        body = await connection.read_body()
        return await route.action(
            OperatorRequest(operator, path_parameters, body)
        )

    def _find_route(
        self, head: RequestHead
    ) -> tuple[OperatorRoute, dict[str, str]]:
        methods = []
        for route in self._routes:
            match = route.path.fullmatch(head.path)
            if match is None:
                continue
            if route.method == head.method:
                return route, match.groupdict()
            methods.append(route.method)
        if methods:
            raise RequestRefused(
                ErrorKind.METHOD_NOT_ALLOWED,
                f'{head.method} is not allowed; use {" or ".join(methods)}',
                field='method',
            )
        raise RequestRefused(
            ErrorKind.NOT_FOUND,
            f'path {head.path!r} does not exist',
            field='path',
        )

    async def _get_status(self, _request: OperatorRequest) -> Answer:
        return _build_answer(OK, build_status(self._parts, self._readiness))

    async def _list_items(self, request: OperatorRequest) -> Answer:
        kind = _parse_kind(request.path_parameters['kind'])
        items = self._parts.keeper.view.accepted.get_items(kind)
        return _build_answer(
            OK, [encode_item(items[name]) for name in sorted(items)]
        )

    async def _get_item(self, request: OperatorRequest) -> Answer:
        kind = _parse_kind(request.path_parameters['kind'])
        name = request.path_parameters['name']
        item = self._parts.keeper.view.accepted.get_items(kind).get(name)
        if item is None:
            raise RequestRefused(
                ErrorKind.NOT_FOUND,
                f'{kind.value} {name!r} does not exist',
                field='name',
            )
        return _build_answer(OK, encode_item(item))

    async def _make_plan(self, request: OperatorRequest) -> Answer:
        content = _decode(request.body, PlanRequest)
        plan = await self._intent.plan(content.changes, request.operator.name)
        return _build_answer(CREATED, PlanOutcome(plan, {}))

    async def _read_plan(self, request: OperatorRequest) -> Answer:
        return _build_answer(
            OK, await self._intent.read(request.path_parameters['plan_id'])
        )

    async def _confirm(self, request: OperatorRequest) -> Answer:
        content = _decode(request.body or b'{}', ConfirmRequest)
        seconds = min(max(content.wait_seconds, 0), MAX_WAIT_SECONDS)
        outcome = await self._intent.confirm(
            request.path_parameters['plan_id'], seconds
        )
        LOG.info(
            'operators: %s confirmed plan %s; its state is %s',
            request.operator.name,
            outcome.plan.plan_id,
            outcome.plan.state.value,
        )
        pending = outcome.plan.state is PlanState.PROPOSED
        return _build_answer(ACCEPTED if pending else OK, outcome)

    async def _withdraw(self, request: OperatorRequest) -> Answer:
        return _build_answer(
            OK, await self._intent.withdraw(request.path_parameters['plan_id'])
        )


def _parse_kind(name: str) -> ItemKind:
    try:
        return ItemKind(name)
    except ValueError:
        known = ', '.join(kind.value for kind in ItemKind)
        raise RequestRefused(
            ErrorKind.NOT_FOUND,
            f'unknown kind {name!r}; use one of: {known}',
            field='kind',
        ) from None


def _decode(body: bytes, model: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=model)
    except msgspec.MsgspecError as error:
        raise RequestRefused(
            ErrorKind.INVALID_VALUE,
            f'the body is not valid for this request: {error}',
            field='body',
        ) from None


def _build_answer(status: int, content: object) -> Answer:
    return Answer(status, JSON_HEADERS, msgspec.json.encode(content))
