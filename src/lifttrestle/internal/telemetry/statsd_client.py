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

"""Sends metrics to a statsd server, if one is configured."""

from typing import Any

from lifttrestle.internal.settings.sections import StatsdSection

MILLISECONDS = 1000


class StatsdClient:
    """Statsd client that does nothing without a configured server."""

    def __init__(self, settings: StatsdSection) -> None:
        # A statsd.StatsClient, or None without a configured server.
        self._client: Any = None
        if settings.host:
            # Few deployments have a server; the others skip this import.
            import statsd

            self._client = statsd.StatsClient(
                settings.host, settings.port, prefix=settings.prefix
            )

    def count(self, name: str, number: float = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, number)

    def time(self, name: str, seconds: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, seconds * MILLISECONDS)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)
