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

"""Asks an upstream whether it still is the start that the list names.

An upstream may start again under its name, with other software. What it
writes then does not fit to a stream that the known start began, and a router
that is out of step has not read the new entry.
"""

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.loads.engine_control import EngineControl
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('streams')
# A router in touch reads each change within some ms, and confirms at least
# this often that there was none.
CURRENT_LIST_SECONDS = 3.0


class StartCheck:
    """Confirms starts before streams go on at them."""

    def __init__(
        self,
        control: EngineControl,
        directory: UpstreamDirectory,
        clock: Clock,
    ) -> None:
        self._control = control
        self._directory = directory
        self._clock = clock

    async def confirm(self, upstream: FleetUpstream) -> bool:
        """Return whether a stream that fits to a known start may go on there.

        Without a report, the list decides if it is current.
        """
        if not upstream.entry.weights:
            # Only engines report.
            return True
        if upstream.uses_tunnels:
            # Calls of a router's own don't reach it.
            return self._is_list_current()
        try:
            state = await self._control.read_state(upstream)
        except PlatformUnavailable as error:
            LOG.info(
                'stream.start_not_reported',
                instance=upstream.instance,
                reason=str(error),
            )
            return self._is_list_current()
        is_known = self._directory.note_start(
            upstream, state.born, state.weights
        )
        if not is_known:
            LOG.info(
                'stream.other_start',
                instance=upstream.instance,
                born=state.born,
                expected=upstream.entry.born,
            )
        return is_known

    def _is_list_current(self) -> bool:
        age = self._clock.monotonic() - self._directory.get_list_time()
        return age <= CURRENT_LIST_SECONDS
