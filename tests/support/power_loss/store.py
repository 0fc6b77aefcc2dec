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

"""The store of a deployment, as a process with real rate limits."""

import asyncio
import json
import sys
import time

from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.platform import names
from tests.support.fleet_store import FleetStoreStandin

# Calls above the rate that are accepted at once.
BURST_SECONDS = 1.0
STATUS_TOO_MANY = 429
USUAL_SECONDS = 0.004


class RateLimit:
    """Token bucket for calls."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._level = rate * BURST_SECONDS
        self._at = time.monotonic()

    def take(self) -> bool:
        """Return whether one more call is within the limit."""
        now = time.monotonic()
        refilled = self._level + (now - self._at) * self._rate
        self._level = min(refilled, self._rate * BURST_SECONDS)
        self._at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class LimitedStore(FleetStoreStandin):
    """Answers calls above its rates with 429.

    :ivar busy_seconds: how long each call takes of its only processor.
    :ivar counts: number of calls, of those refused, and of those pending.
    """

    def __init__(self, reads: float, writes: float) -> None:
        super().__init__()
        self._reads = RateLimit(reads)
        self._writes = RateLimit(writes)
        self.delay = USUAL_SECONDS
        self.busy_seconds = 0.0
        self._processor = asyncio.Lock()
        self.counts = {'reads': 0, 'writes': 0, 'refused': 0, 'pending': 0}

    async def _answer(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> None:
        writes = head.path == names.COMMIT_PATH
        self.counts['writes' if writes else 'reads'] += 1
        limit = self._writes if writes else self._reads
        if not limit.take():
            self.counts['refused'] += 1
            await connection.send_answer(Answer(STATUS_TOO_MANY))
            return
        self.counts['pending'] += 1
        try:
            if self.busy_seconds:
                async with self._processor:
                    await asyncio.sleep(self.busy_seconds)
            await super()._answer(connection, head, body)
        finally:
            self.counts['pending'] -= 1


async def _read_commands(store: LimitedStore) -> None:
    """Carry out commands of the standard input, a JSON object a line."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    await loop.connect_read_pipe(lambda: protocol, sys.stdin)
    while line := await reader.readline():
        command = json.loads(line)
        store.rows.down = command.get('down', store.rows.down)
        store.delay = command.get('delay', store.delay)
        store.busy_seconds = command.get('busy', store.busy_seconds)
        if 'put' in command:
            store.put(*command['put'])
        print(json.dumps({'at': time.monotonic(), **store.counts}), flush=True)


async def _run(address: str, reads: float, writes: float) -> None:
    store = LimitedStore(reads, writes)
    store.address = await store.server.start(parse_address(address))
    print('started', flush=True)
    await _read_commands(store)


if __name__ == '__main__':
    asyncio.run(_run(sys.argv[1], float(sys.argv[2]), float(sys.argv[3])))
