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

"""Applies the settings of a router whenever they change."""

import asyncio
from collections.abc import Callable
import contextlib

from lifttrestle.internal.fleet.settings import FleetSettings
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('router')
# The settings file may change without a signal.
POLL_SECONDS = 5.0
SettingsReader = Callable[[], FleetSettings | None]


class SettingsFollower:
    """Reads the settings after a request and periodically.

    :param current: the settings in force.
    :param apply: called with settings that differ from those in force;
        requests in progress continue.
    """

    def __init__(
        self,
        current: FleetSettings,
        apply: Callable[[FleetSettings], None],
    ) -> None:
        self._current = current
        self._apply = apply
        self._reload = asyncio.Event()

    def request_reload(self) -> None:
        """Request that the settings be read at once."""
        self._reload.set()

    async def run(self, read: SettingsReader) -> None:
        """Apply the settings whenever they change, until cancelled.

        :param read: returns the settings, None if they can't be read.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_SECONDS):
                    await self._reload.wait()
            self._reload.clear()
            settings = read()
            if settings is None or settings == self._current:
                continue
            self._current = settings
            self._apply(settings)
            LOG.info('router.settings_applied', vm=settings.vm)
