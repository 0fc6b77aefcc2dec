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

"""The clock of the operating system."""

import asyncio
import datetime

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.elapsed import read_elapsed


class SystemClock(Clock):
    """Reads wall time and monotonic time from the operating system."""

    def now(self) -> datetime.datetime:
        """Return the system's wall time in UTC."""
        return datetime.datetime.now(datetime.timezone.utc)

    def monotonic(self) -> float:
        """Return monotonic seconds, including suspensions."""
        return read_elapsed()

    async def sleep(self, seconds: float) -> None:
        """Suspend the current task for ``seconds``."""
        await asyncio.sleep(seconds)
