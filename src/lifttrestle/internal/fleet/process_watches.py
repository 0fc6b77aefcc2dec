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

"""The tasks that watch a router process itself."""

import asyncio

from lifttrestle.internal.clock.ticker import Ticker
from lifttrestle.internal.fleet.lateness_watch import LatenessWatch
from lifttrestle.internal.fleet.path.handlers import ReadinessHandler
from lifttrestle.internal.fleet.readiness_watch import watch_readiness
from lifttrestle.internal.fleet.stall_watch import watch_stalls


async def watch_process(
    ticker: Ticker, lateness: LatenessWatch, readiness: ReadinessHandler
) -> None:
    """Log pauses, lateness and changes of readiness, forever."""
    await asyncio.gather(
        watch_stalls(ticker),
        watch_readiness(ticker, readiness),
        lateness.run(ticker),
    )
