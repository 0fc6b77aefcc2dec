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

"""An engine stand-in that parts of prompts can crash and that restarts."""

import asyncio
import time

from lifttrestle.errors import CallerGone
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from tests.support.crashing_upstream import CrashingUpstream
from tests.support.fleet_upstream import Behaviour

DOWNTIME_SECONDS = 0.8
# From the begin of an answer to the crash under it.
CRASH_SECONDS = 0.1


class CrashingEngine(CrashingUpstream):
    """Crashes while it writes an answer to a prompt with a fatal part.

    :ivar fatal_parts: ids of the parts that crash it.
    :ivar fatal_runs: fatal part and time of each begin to write on one,
        monotonic seconds.
    :ivar crashed_under: the fatal parts and the time of each crash.
    """

    def __init__(self, instance, store, fatal_parts: set[str]) -> None:
        super().__init__(instance, store, DOWNTIME_SECONDS)
        self.fatal_parts = fatal_parts
        self.fatal_runs: list[tuple[str, float]] = []
        self.crashed_under: list[tuple[set[str], float]] = []
        # Fatal parts on which it writes now.
        self._writing: set[str] = set()
        # Sound streams run for some tenths of a second.
        self.event_seconds = 0.05

    def put_entry(self, **fields: object) -> None:
        """Write the entry of the current start."""
        models = [{'name': 'm', 'version': self.weights}]
        super().put_entry(service='engines', models=models, **fields)

    def begin_crash(self) -> None:
        """Crash without waiting for the next start."""
        if not self._restarts:
            self.crashed_under.append((self._writing, time.monotonic()))
            self._writing = set()
        super().begin_crash()

    async def _run(
        self,
        connection: ServerConnection,
        head: RequestHead,
        behaviour: Behaviour,
    ) -> None:
        prefix = head.get_header('prompt-prefix', '')
        parts = {item.partition(':')[0] for item in prefix.split(',')}
        fatal = parts & self.fatal_parts
        if not fatal:
            await super()._run(connection, head, behaviour)
            return
        now = time.monotonic()
        self.fatal_runs += [(part, now) for part in sorted(fatal)]
        self._writing |= fatal
        await self._start_stream(connection, head)
        await asyncio.sleep(CRASH_SECONDS)
        self.begin_crash()
        raise CallerGone('crashed by a part')
