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

"""Logs when a router becomes ready, and why it is not."""

import time

from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.path.handlers import ReadinessHandler
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('router')
POLL_SECONDS = 0.1


async def watch_readiness(ticker: Ticker, readiness: ReadinessHandler) -> None:
    """Log each change, forever.

    The processor time since the start of the process is logged with it: most
    of it is spent before the first table is read.
    """
    before: list[str] | None = None
    while True:
        obstacles = readiness.list_obstacles()
        if obstacles != before:
            before = obstacles
            event = 'router.not_ready' if obstacles else 'router.ready'
            used = round(time.process_time(), 3)
            LOG.info(event, obstacles=obstacles, processor_s=used)
        await ticker.wait(POLL_SECONDS)
