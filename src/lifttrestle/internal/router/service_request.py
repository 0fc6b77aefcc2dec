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

"""Validates requests for plain services and selects their exchange."""

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.model import RunOnceRule
from lifttrestle.internal.configuration.model import Service
from lifttrestle.internal.refusal.kind import ErrorKind
from lifttrestle.internal.router.chooser import UpstreamChooser
from lifttrestle.internal.router.embargo import check_embargo
from lifttrestle.internal.router.embargo import normalise_path
from lifttrestle.internal.router.once_exchange import OnceExchange
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.router.route import Route
from lifttrestle.internal.router.scope import RequestScope
from lifttrestle.internal.router.service_exchange import ServiceExchange
from lifttrestle.internal.router.service_exchange import ServiceRequest

KEY_HEADER = 'idempotency-key'
MAX_KEY_LENGTH = 255
HELD_RETRY_SECONDS = 2.0


class ServiceRunner:
    """Applies a workspace's rules to a request for a plain service."""

    def __init__(self, parts: RouterParts, chooser: UpstreamChooser) -> None:
        self._parts = parts
        self._chooser = chooser

    def check_head(self, scope: RequestScope, route: Route) -> None:
        """Refuse unknown services, embargoed paths and invalid keys.

        Only the head is needed, so the body does not have to be read first.
        """
        workspace = scope.workspace
        if route.service not in workspace.services:
            raise RequestRefused(
                ErrorKind.NOT_FOUND,
                f'your workspace has no service {route.service!r}',
                field='path',
            )
        check_embargo(
            workspace,
            route.service,
            route.rest or '/',
            self._parts.clock.now(),
            self._parts.settings.control.clock_error_seconds,
        )
        _check_key(scope.head.get_header(KEY_HEADER))

    async def run(
        self, scope: RequestScope, route: Route, body: bytes
    ) -> None:
        """Serve the request.

        :raises RequestRefused: if it could not be served.
        """
        # Checked again, as the request may have waited for admission and an
        # embargo may have been set in the meantime.
        self.check_head(scope, route)
        request = ServiceRequest(
            self._find_service(route.service),
            _build_request_target(route, scope.head.query),
            body,
        )
        key = scope.head.get_header(KEY_HEADER)
        if key:
            exchange = OnceExchange(
                self._parts,
                self._chooser,
                scope,
                request,
                key,
                needs_claim=not self._drops_repeats(request.service),
            )
            await exchange.run()
            return
        once = any(
            _matches(rule, route, scope.head.method)
            for rule in scope.workspace.run_once
        )
        await ServiceExchange(
            self._parts, self._chooser, scope, request, once
        ).run()

    def _find_service(self, name: str) -> Service:
        view = self._parts.keeper.view
        if view.is_held(ItemKind.SERVICE, name):
            raise RequestRefused(
                ErrorKind.NOT_CONFIGURED,
                f'service {name!r} is being changed',
                retry_after=HELD_RETRY_SECONDS,
            )
        service = view.document.services.get(name)
        if service is None:
            raise RequestRefused(
                ErrorKind.NOT_FOUND,
                f'your workspace has no service {name!r}',
                field='path',
            )
        return service

    def _drops_repeats(self, service: Service) -> bool:
        replicas = [
            upstream.settings
            for upstream in self._parts.registry
            if upstream.settings.group == service.group
        ]
        return bool(replicas) and all(
            settings.can.drops_repeats for settings in replicas
        )


def _matches(rule: RunOnceRule, route: Route, method: str) -> bool:
    if rule.service != route.service or method not in rule.methods:
        return False
    path = normalise_path(route.rest or '/')
    return path.startswith(normalise_path(rule.path_prefix))


def _build_request_target(route: Route, query: str) -> str:
    """Return the request target for the service, in origin form."""
    path = route.rest or '/'
    return f'{path}?{query}' if query else path


def _check_key(key: str) -> None:
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise RequestRefused(
            ErrorKind.INVALID_VALUE,
            f'{KEY_HEADER} = {key[:40]!r}...: use up to {MAX_KEY_LENGTH}'
            ' printable characters',
            field=KEY_HEADER,
        )
