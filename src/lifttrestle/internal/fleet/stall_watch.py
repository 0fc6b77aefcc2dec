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

"""Logs pauses of the process: a suspended VM leaves no other trace."""

from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('router')
POLL_SECONDS = 0.5
# Timers of a loaded router fire some tens of milliseconds late.
STALL_SECONDS = 0.5


async def watch_stalls(ticker: Ticker) -> None:
    """Log each time that the process was not running, forever."""
    while True:
        late = await ticker.wait(POLL_SECONDS)
        if late >= STALL_SECONDS:
            LOG.warning('router.stood_still', seconds=round(late, 3))
