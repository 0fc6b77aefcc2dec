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

"""The operators' side of a router: the intent API over HTTP."""

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
JSON = (('content-type', 'application/json'),)
T = typing.TypeVar('T')
OK = 200
CREATED = 201
ACCEPTED = 202
DEFAULT_WAIT_SECONDS = 5.0
MAX_WAIT_SECONDS = 60.0


class PlanCall(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a call that makes a plan."""

    changes: tuple[Change, ...]


class ConfirmCall(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a confirmation; it may be empty."""

    wait_seconds: float = DEFAULT_WAIT_SECONDS


@dataclasses.dataclass(frozen=True)
class OperatorCall:
    """One call by a known operator.

    :ivar names: the parts of the path that the route leaves open.
    """

    operator: Operator
    names: dict[str, str]
    body: bytes


Action = Callable[[OperatorCall], Awaitable[Answer]]


@dataclasses.dataclass(frozen=True)
class OperatorRoute:
    """A method and path, the role it needs and what it does."""

    method: str
    path: re.Pattern[str]
    role: Role
    action: Action


class OperatorHandler:
    """Checks the operator's role and runs the call."""

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
        table: tuple[tuple[str, str, Role, Action], ...] = (
            ('GET', r'/intent/status', Role.READER, self._status),
            ('GET', items, Role.READER, self._list_items),
            ('GET', items + r'/(?P<name>[^/]+)', Role.READER, self._get_item),
            ('POST', r'/intent/plans', Role.PLANNER, self._plan),
            ('GET', plan, Role.READER, self._read),
            ('POST', plan + '/confirm', Role.CONFIRMER, self._confirm),
            ('POST', plan + '/withdraw', Role.CONFIRMER, self._withdraw),
        )
        self._routes = [
            OperatorRoute(method, re.compile(path), role, action)
            for method, path, role, action in table
        ]

    async def handle(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        """Answer one call."""
        request_id = make_request_id(self._parts.source)
        try:
            answer = await self._serve(connection, head)
        except RequestRefused as refused:
            answer = build_refusal(refused, request_id)
        except (CallerGone, asyncio.CancelledError):
            raise
        except Exception:
            LOG.exception('operators: call %s failed', request_id)
            failed = RequestRefused(
                ErrorKind.INTERNAL,
                f'the router failed at call {request_id}',
                ran=Execution.UNKNOWN,
            )
            answer = build_refusal(failed, request_id)
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
        route, names = self._find_route(head)
        operator = self._tokens.authorise(head, route.role)
        body = await connection.read_body()
        return await route.action(OperatorCall(operator, names, body))

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
                f'{head.method} is not used here; use {" or ".join(methods)}',
                field='method',
            )
        raise RequestRefused(
            ErrorKind.NOT_FOUND,
            f'there is no path {head.path!r}',
            field='path',
        )

    async def _status(self, _call: OperatorCall) -> Answer:
        return _answer(OK, build_status(self._parts, self._readiness))

    async def _list_items(self, call: OperatorCall) -> Answer:
        kind = _read_kind(call.names['kind'])
        items = self._parts.keeper.view.accepted.get_items(kind)
        return _answer(
            OK, [encode_item(items[name]) for name in sorted(items)]
        )

    async def _get_item(self, call: OperatorCall) -> Answer:
        kind = _read_kind(call.names['kind'])
        name = call.names['name']
        item = self._parts.keeper.view.accepted.get_items(kind).get(name)
        if item is None:
            raise RequestRefused(
                ErrorKind.NOT_FOUND,
                f'there is no {kind.value} {name!r}',
                field='name',
            )
        return _answer(OK, encode_item(item))

    async def _plan(self, call: OperatorCall) -> Answer:
        request = _decode(call.body, PlanCall)
        plan = await self._intent.plan(request.changes, call.operator.name)
        return _answer(CREATED, PlanOutcome(plan, {}))

    async def _read(self, call: OperatorCall) -> Answer:
        return _answer(OK, await self._intent.read(call.names['plan_id']))

    async def _confirm(self, call: OperatorCall) -> Answer:
        request = _decode(call.body or b'{}', ConfirmCall)
        seconds = min(max(request.wait_seconds, 0), MAX_WAIT_SECONDS)
        outcome = await self._intent.confirm(call.names['plan_id'], seconds)
        LOG.info(
            'operators: %s confirmed plan %s, it is %s',
            call.operator.name,
            outcome.plan.plan_id,
            outcome.plan.state.value,
        )
        pending = outcome.plan.state is PlanState.PROPOSED
        return _answer(ACCEPTED if pending else OK, outcome)

    async def _withdraw(self, call: OperatorCall) -> Answer:
        return _answer(OK, await self._intent.withdraw(call.names['plan_id']))


def _read_kind(name: str) -> ItemKind:
    try:
        return ItemKind(name)
    except ValueError:
        known = ', '.join(kind.value for kind in ItemKind)
        raise RequestRefused(
            ErrorKind.NOT_FOUND,
            f'there is no kind {name!r}; use one of: {known}',
            field='kind',
        ) from None


def _decode(body: bytes, model: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=model)
    except msgspec.MsgspecError as error:
        raise RequestRefused(
            ErrorKind.INVALID_VALUE,
            f'the body is not as the call needs it: {error}',
            field='body',
        ) from None


def _answer(status: int, content: object) -> Answer:
    return Answer(status, JSON, msgspec.json.encode(content))
