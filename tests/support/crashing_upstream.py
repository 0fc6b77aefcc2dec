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

"""An upstream stand-in that a request can crash and that restarts."""

import asyncio

from lifttrestle.errors import CallerGone
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.http.server_connection import ServerConnection
from tests.support.entries import make_entry
from tests.support.fleet_store import FleetStoreStandin
from tests.support.fleet_upstream import Behaviour
from tests.support.fleet_upstream import FleetUpstreamStandin

FIRST_BORN = 1_767_225_600_000
# A request whose body begins with this crashes the upstream that runs it.
FATAL = b'crash'


class CrashingUpstream(FleetUpstreamStandin):
    """Closes all connections at a crash and restarts under its name.

    :ivar fatal_request_ids: ids of the fatal requests that it ran, also while
        it had already crashed.
    :ivar crashes: number of crashes.
    :ivar fatal_prefix: prefix of the bodies that crash it.
    :ivar downtime_seconds: time from a crash to the next start.
    :ivar run_seconds: time until a request is answered or crashes it.
    """

    def __init__(
        self,
        instance: str,
        store: FleetStoreStandin,
        downtime_seconds: float = 0.3,
        run_seconds: float = 0.01,
    ) -> None:
        super().__init__(instance)
        self.fatal_request_ids: list[str] = []
        self.crashes = 0
        self.downtime_seconds = downtime_seconds
        self.run_seconds = run_seconds
        self.fatal_prefix = FATAL
        self._store = store
        self._starts = 0
        self._restarts: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen and write the entry of this start."""
        if self._starts:
            limits = HttpLimits(idle_seconds=3600)
            self._server = HttpServer(self._handle, limits)
            await self._server.start(self.address)
        else:
            await super().start()
        self._starts += 1
        self.put_entry()

    def put_entry(self, **fields: object) -> None:
        """Write the entry of the current start."""
        entry = make_entry(
            **{'service': 'plain', **fields},
            address=str(self.address),
            slots=8,
            born=FIRST_BORN + self._starts,
        )
        self._store.put('servers', self.instance, entry)

    async def crash(self) -> None:
        """Close all connections and start again after the downtime."""
        await self._server.stop(0)
        await asyncio.sleep(self.downtime_seconds)
        await self.start()

    async def stop(self) -> None:
        """Stop at once without another start."""
        for restart in self._restarts:
            restart.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)
        await super().stop()

    def begin_crash(self) -> None:
        """Crash without waiting for the next start."""
        if self._restarts:
            # Another request has already crashed it.
            return
        self.crashes += 1
        restart = asyncio.create_task(self.crash())
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _run(
        self,
        connection: ServerConnection,
        head: RequestHead,
        behaviour: Behaviour,
    ) -> None:
        # The last recorded run belongs to this request.
        body = self.runs[-1].body
        await asyncio.sleep(self.run_seconds)
        if body.startswith(self.fatal_prefix):
            self.fatal_request_ids.append(head.get_header('request-id'))
            self.begin_crash()
            raise CallerGone('crashed by a request')
        await super()._run(connection, head, behaviour)
