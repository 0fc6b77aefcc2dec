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

"""The HTTP listeners of a router: for callers, readiness and metrics."""

from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.handlers import MetricsHandler
from lifttrestle.internal.fleet.path.handlers import ReadinessHandler
from lifttrestle.internal.fleet.path.handlers import RequestHandler
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.stop_sequence import stop_gracefully
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('router')
IDLE_MARGIN_SECONDS = 2.0


class RouterListeners:
    """Opens and closes the listeners.

    :ivar callers: serves the requests of callers.
    :ivar callers_address: where it listens, once started.
    :ivar ready_address: where readiness is served, once started.
    """

    def __init__(self, parts: FleetParts, readiness: ReadinessHandler) -> None:
        self._parts = parts
        self.callers = HttpServer(
            RequestHandler(parts).handle,
            self._make_caller_limits(None),
            memory=parts.memory,
        )
        limits = HttpLimits(
            max_connections=parts.settings.max_control_connections
        )
        self._readiness = HttpServer(
            readiness.handle, limits, memory=parts.memory
        )
        metrics = MetricsHandler(parts.metrics, parts.limits, parts.clock)
        self._metrics = HttpServer(metrics.handle, limits, memory=parts.memory)
        self.callers_address = Address('', 0)
        self.ready_address = Address('', 0)

    def apply_limits(self, catalogue: Catalogue) -> None:
        """Apply the limits that a configuration sets for callers."""
        largest = self._parts.memory.largest_body
        if catalogue.limits.body_bytes > largest:
            LOG.warning(
                'limits.no_memory',
                body_bytes=catalogue.limits.body_bytes,
                largest=largest,
            )
        self.callers.set_limits(self._make_caller_limits(catalogue))

    async def start(self) -> None:
        """Open the listeners at the addresses in the settings."""
        settings = self._parts.settings
        self.callers_address = await self.callers.start(
            parse_address(settings.callers_address)
        )
        self.ready_address = await self._readiness.start(
            parse_address(settings.ready_address)
        )
        if settings.metrics_address:
            await self._metrics.start(parse_address(settings.metrics_address))

    async def stop_callers(self) -> bool:
        """Stop serving callers; return whether every request was ended."""
        return await stop_gracefully(self._parts, self.callers)

    async def stop_others(self) -> None:
        """Close the other listeners at once."""
        await self._readiness.stop(0)
        await self._metrics.stop(0)

    def _make_caller_limits(self, catalogue: Catalogue | None) -> HttpLimits:
        places = self._parts.settings.max_connections
        if catalogue is None:
            return HttpLimits(max_connections=places)
        limits = catalogue.limits
        return HttpLimits(
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            head_seconds=limits.head_seconds,
            idle_seconds=limits.idle_seconds + IDLE_MARGIN_SECONDS,
            max_connections=places,
        )
