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

"""Handlers for the HTTP servers of a fleet router."""

from collections.abc import Callable

import msgspec

from lifttrestle.errors import CallerGone
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.limits.listing import list_limits
from lifttrestle.internal.fleet.limits.upstream_limits import UpstreamLimits
from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.exchange import FleetExchange
from lifttrestle.internal.fleet.policy.admission import is_fresh
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.refusal.kind import ErrorKind
from lifttrestle.internal.telemetry.event_log import get_event_log
from lifttrestle.internal.telemetry.fleet_metrics import FleetMetrics

LOG = get_event_log('router')
STATUS_OK = 200
METRICS_HEADERS = (
    ('content-type', 'text/plain; version=0.0.4; charset=utf-8'),
)
JSON_HEADERS = (('content-type', 'application/json'),)
STATUS_UNAVAILABLE = 503
LIMITS_PATH = '/limits'


class RequestHandler:
    """Serves each request of a caller by an exchange."""

    def __init__(self, parts: FleetParts) -> None:
        self._parts = parts

    async def handle(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        """Serve one request."""
        dialect = self._parts.dialect
        try:
            facts = dialect.read_request(head)
        except RequestRefused as refused:
            await connection.send_answer(dialect.build_refusal(refused, ''))
            return
        exchange = FleetExchange(self._parts, connection, head, facts)
        try:
            await exchange.run()
        except (CallerGone, OSError):
            raise
        except Exception:
            # A bug in the router: logged with its traceback, and reported to
            # the caller as a failure after which the request may have run.
            LOG.exception('router.fault', request=facts.request_id)
            await self._send_internal_error(connection, facts.request_id)

    async def _send_internal_error(
        self, connection: ServerConnection, request_id: str
    ) -> None:
        if connection.answer_started:
            connection.abort()
            return
        refused = RequestRefused(
            ErrorKind.INTERNAL,
            'the router failed; its log has the cause',
            ran=Execution.UNKNOWN,
        )
        connection.close_after_answer()
        await connection.send_answer(
            self._parts.dialect.build_refusal(refused, request_id)
        )


class ReadinessHandler:
    """Reports whether the router is ready for new connections.

    :param conditions: further conditions, by the obstacle while they don't
        hold; without these, no request may be served.
    """

    def __init__(
        self, parts: FleetParts, conditions: dict[str, Callable[[], bool]]
    ) -> None:
        self._conditions = {
            'stopping': lambda: not parts.shutdown.begun,
            'no configuration': lambda: parts.view.catalogue is not None,
            'old configuration': lambda: is_fresh(parts),
            **conditions,
        }

    async def handle(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        """Answer 200 or 503."""
        status = STATUS_OK if self.is_ready() else STATUS_UNAVAILABLE
        await connection.send_answer(Answer(status))

    def is_ready(self) -> bool:
        """Return whether requests can be served."""
        return all(holds() for holds in self._conditions.values())

    def list_obstacles(self) -> list[str]:
        """Return what keeps the router from being ready."""
        return [
            obstacle
            for obstacle, holds in self._conditions.items()
            if not holds()
        ]


class MetricsHandler:
    """Serves the limits in force as JSON, and metrics at all other paths."""

    def __init__(
        self, metrics: FleetMetrics, limits: UpstreamLimits, clock: Clock
    ) -> None:
        self._metrics = metrics
        self._limits = limits
        self._clock = clock

    async def handle(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        """Answer with the limits or the metrics, by the path."""
        answer = Answer(STATUS_OK, METRICS_HEADERS, self._metrics.render())
        if head.path == LIMITS_PATH:
            listed = list_limits(self._limits, self._clock.monotonic())
            answer = Answer(
                STATUS_OK, JSON_HEADERS, msgspec.json.encode(listed)
            )
        await connection.send_answer(answer)
