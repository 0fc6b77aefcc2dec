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

"""Handles the requests of callers, from the head to the answer."""

import asyncio
from collections.abc import Iterator
import contextlib
import logging
import random
import uuid

from lifttrestle.errors import CallerGone
from lifttrestle.errors import CutByStop
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.model import Workspace
from lifttrestle.internal.configuration.view import View
from lifttrestle.internal.exchange.progress import RequestEvent
from lifttrestle.internal.exchange.progress import RequestProgress
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.refusal.answers import ANSWER_RULES
from lifttrestle.internal.refusal.body import build_refusal
from lifttrestle.internal.refusal.execution import combine_executions
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.refusal.kind import ErrorKind
from lifttrestle.internal.router.authentication import check_data_centre
from lifttrestle.internal.router.authentication import identify_workspace
from lifttrestle.internal.router.chooser import UpstreamChooser
from lifttrestle.internal.router.cut import build_cut_refusal
from lifttrestle.internal.router.cut import find_cut_cause
from lifttrestle.internal.router.model_exchange import ModelExchange
from lifttrestle.internal.router.model_request import parse_model_request
from lifttrestle.internal.router.models_answer import list_models
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.readiness import Readiness
from lifttrestle.internal.router.route import find_route
from lifttrestle.internal.router.route import Route
from lifttrestle.internal.router.route import RouteKind
from lifttrestle.internal.router.scope import RequestScope
from lifttrestle.internal.router.service_request import ServiceRunner

LOG = logging.getLogger('lifttrestle.router')
HELD_RETRY_SECONDS = 2.0


def make_request_id(source: random.Random) -> str:
    """Return a random id, a UUID of version 4 in hexadecimal."""
    return uuid.UUID(int=source.getrandbits(128), version=4).hex


class CallerHandler:
    """Handles the requests that callers send to a router."""

    def __init__(self, parts: RouterParts, readiness: Readiness) -> None:
        self._parts = parts
        self._readiness = readiness
        self._chooser = UpstreamChooser(parts)
        self._services = ServiceRunner(parts, self._chooser)

    async def handle(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        """Serve a request, or answer it with a refusal."""
        request_id = make_request_id(self._parts.source)
        progress = RequestProgress()
        try:
            await self._serve(connection, head, request_id, progress)
        except RequestRefused as refused:
            await self._refuse(connection, refused, request_id)
        except CutByStop as error:
            self._record_end(request_id, progress, error)
            await self._answer_cut(connection, request_id, progress)
        except (CallerGone, asyncio.CancelledError) as error:
            self._record_end(request_id, progress, error)
            raise
        except Exception:
            LOG.exception('router: request %s failed', request_id)
            # The failure may have happened at any step, so it is unknown
            # whether the request ran.
            failed = RequestRefused(
                ErrorKind.INTERNAL,
                f'the router failed to serve request {request_id}',
                ran=Execution.UNKNOWN,
            )
            await self._refuse(connection, failed, request_id)

    async def _serve(
        self,
        connection: ServerConnection,
        head: RequestHead,
        request_id: str,
        progress: RequestProgress,
    ) -> None:
        route = find_route(head.path)
        if route.kind is RouteKind.READY:
            await self._send_readiness(connection)
            return
        self._readiness.check()
        workspace = self._identify(head)
        _check_method(route, head.method)
        if route.kind is RouteKind.MODELS:
            view = self._parts.keeper.view
            await connection.send_answer(list_models(view, workspace))
            return
        scope = self._make_scope(
            connection, head, request_id, workspace, progress
        )
        if route.kind is RouteKind.SERVICE:
            self._services.check_head(scope, route)
        async with self._parts.stop.enforce_deadline():
            await self._admit(scope, route)

    async def _admit(self, scope: RequestScope, route: Route) -> None:
        # Limits are checked before the body is read, so that the requests of
        # a workspace that exceeds its share use no memory for their bodies.
        parts = self._parts
        workspace = scope.workspace
        parts.limits.enter(workspace, parts.peers.count_live())
        try:
            body = await scope.connection.read_body()
            await parts.gate.enter(workspace.priority, scope.deadline)
            try:
                scope.progress.apply(RequestEvent.ADMIT)
                parts.metrics.count(f'requests.{workspace.name}')
                await self._run(scope, route, body)
            except RequestRefused as refused:
                refused.ran = combine_executions(
                    refused.ran, scope.progress.execution
                )
                raise
            finally:
                parts.gate.leave()
        finally:
            parts.limits.leave(workspace)

    async def _run(
        self, scope: RequestScope, route: Route, body: bytes
    ) -> None:
        # The configuration may have changed while the request waited.
        scope.workspace = self._identify(scope.head)
        if route.kind is RouteKind.SERVICE:
            with self._measure_time(route.service):
                await self._services.run(scope, route, body)
            return
        request = parse_model_request(route.kind, body)
        view = await self._wait_while_held(ItemKind.MODEL, request.model)
        scope.workspace = self._identify(scope.head)
        _check_model(scope.workspace, request.model)
        model = view.document.models.get(request.model)
        if model is None:
            raise _build_no_model_refusal(request.model)
        exchange = ModelExchange(
            self._parts, self._chooser, scope, request, model
        )
        with self._measure_time(request.model):
            await exchange.run()

    @contextlib.contextmanager
    def _measure_time(self, target: str) -> Iterator[None]:
        """Measure the time of a request that can complete before a stop.

        :param target: the name of the model or service.
        :raises RequestRefused: if recent requests for the target took longer
            than the time that remains before the stop.
        """
        needed = self._parts.needed
        if (
            needed.get_longest(target)
            > self._parts.stop.get_remaining_seconds()
        ):
            raise build_cut_refusal(Execution.NOT_RUN)
        started = self._parts.clock.monotonic()
        yield
        needed.record(target, self._parts.clock.monotonic() - started)

    def _identify(self, head: RequestHead) -> Workspace:
        """Return the caller's workspace.

        :raises RequestRefused: if it is unknown, or may not be served in this
            data centre.
        """
        workspace = identify_workspace(head, self._parts.keeper.view)
        check_data_centre(workspace, self._parts.settings.router.data_centre)
        return workspace

    async def _wait_while_held(self, kind: ItemKind, name: str) -> View:
        """Wait until it is known which definition of an item is in force.

        :return: the view with that definition.
        :raises RequestRefused: if that takes longer than ``hold_seconds``.
        """
        keeper = self._parts.keeper
        if not keeper.view.is_held(kind, name):
            return keeper.view
        seconds = self._parts.settings.control.hold_seconds
        try:
            async with ReadTimeout(seconds):
                while keeper.view.is_held(kind, name):
                    keeper.request_poll()
                    await keeper.wait_for_change()
        except TimeoutError:
            raise RequestRefused(
                ErrorKind.NOT_CONFIGURED,
                f'{kind.value} {name!r} is being changed and it is not known'
                ' yet which definition is in force',
                retry_after=HELD_RETRY_SECONDS,
            ) from None
        return keeper.view

    def _make_scope(
        self,
        connection: ServerConnection,
        head: RequestHead,
        request_id: str,
        workspace: Workspace,
        progress: RequestProgress,
    ) -> RequestScope:
        now = self._parts.clock.monotonic()
        deadline = now + self._parts.settings.deadlines.request
        return RequestScope(
            request_id, connection, head, workspace, now, deadline, progress
        )

    async def _refuse(
        self,
        connection: ServerConnection,
        refused: RequestRefused,
        request_id: str,
    ) -> None:
        kind = refused.kind.value
        if connection.answer_started:
            cause = f'{kind}: {refused.message}'
            self._record_cut(request_id, refused.ran, cause, kind)
            connection.abort()
            return
        LOG.info(
            'router: refused request=%s kind=%s status=%d ran="%s" message=%s',
            request_id,
            kind,
            ANSWER_RULES[refused.kind].status,
            refused.ran.value,
            refused.message,
        )
        self._parts.metrics.count(f'refused.{kind}')
        await connection.send_answer(build_refusal(refused, request_id))

    async def _answer_cut(
        self,
        connection: ServerConnection,
        request_id: str,
        progress: RequestProgress,
    ) -> None:
        """Refuse a request that a stop cut, or abort its started answer."""
        if connection.answer_started:
            connection.abort()
            return
        connection.close_after_answer()
        refused = build_cut_refusal(progress.execution)
        await self._refuse(connection, refused, request_id)

    def _record_end(
        self,
        request_id: str,
        progress: RequestProgress,
        error: CallerGone | CutByStop | asyncio.CancelledError,
    ) -> None:
        cause = find_cut_cause(error, self._parts.stop.begun)
        ran = progress.execution
        self._record_cut(request_id, ran, cause.value, cause.name.lower())

    def _record_cut(
        self, request_id: str, ran: Execution, cause: str, counter: str
    ) -> None:
        """Log and count a request that got no complete answer."""
        LOG.info(
            'router: cut request=%s ran="%s" cause="%s"',
            request_id,
            ran.value,
            cause,
        )
        self._parts.metrics.count(f'cut.{counter}')

    async def _send_readiness(self, connection: ServerConnection) -> None:
        status = 200 if self._readiness.is_ready() else 503
        await connection.send_answer(Answer(status))


def _check_method(route: Route, method: str) -> None:
    if not route.methods or method in route.methods:
        return
    raise RequestRefused(
        ErrorKind.METHOD_NOT_ALLOWED,
        f'{method} is not allowed; use {" or ".join(route.methods)}',
        field='method',
    )


def _check_model(workspace: Workspace, name: str) -> None:
    if name not in workspace.models:
        raise _build_no_model_refusal(name)


def _build_no_model_refusal(name: str) -> RequestRefused:
    return RequestRefused(
        ErrorKind.MODEL_NOT_FOUND,
        f'your workspace has no model {name!r}',
        field='model',
    )
