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

"""Replicas of a deployment, several in one process.

An engine prefills one prompt after the other, skips the parts that it has
cached, and generates tokens for all of its running requests at once.
"""

import asyncio
import collections
import json
import random
import sys
import time

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowWrite
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.platform import names
from lifttrestle.internal.platform.row_store import PlatformRowStore
from tests.support.entries import make_entry
from tests.support.power_loss.layout import ENGINES
from tests.support.power_loss.layout import MODEL

STAMP = (names.STAMP, '3e1b.07')
PREFILL_TOKENS_PER_SECOND = 50_700.0
FIRST_SECONDS = 0.010
STEP_SECONDS = 0.006
STRIDE = 5
KV_TOKENS = 146_048
QUEUE_FACTOR = 4
MAX_CONNECTIONS = 520
WORK_SECONDS = 0.06
RETRY_SECONDS = 0.2
STORE_SECONDS = 2.0
STATUS_FULL = 503
STATUS_OTHER = 421


class Replica:
    """One replica of a service.

    :ivar running: number of requests that run.
    :ivar waiting: number of requests that wait for a slot.
    """

    def __init__(
        self, instance: str, service: str, slots: int, source: random.Random
    ) -> None:
        self.instance = instance
        self.service = service
        self.slots = slots
        self.running = 0
        self.waiting = 0
        self._source = source
        self._free = asyncio.Semaphore(slots)
        self._prefill = asyncio.Lock()
        # Tokens of each cached part, the least recently used first.
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.server = HttpServer(
            self._handle,
            HttpLimits(idle_seconds=20, max_connections=MAX_CONNECTIONS),
        )

    def build_entry(self, address: str, zone: str) -> dict[str, object]:
        """Return the entry in the list of replicas."""
        entry = make_entry(
            service=self.service,
            address=address,
            zone=zone,
            slots=self.slots,
            born=int(time.time() * 1000),
        )
        if self.service == ENGINES:
            entry['models'] = [{'name': MODEL, 'version': 1}]
        return entry

    async def _handle(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        await connection.read_body()
        if head.path == names.REPORT_PATH:
            await self._report(connection)
            return
        meant = head.get_header(names.EXPECT_INSTANCE)
        if meant and meant != self.instance:
            await self._decline(connection, head, STATUS_OTHER)
            return
        if self.waiting + self.running >= QUEUE_FACTOR * self.slots:
            await self._decline(connection, head, STATUS_FULL)
            return
        run = asyncio.create_task(self._run(connection, head))
        left = asyncio.create_task(connection.wait_disconnected())
        await asyncio.wait({run, left}, return_when='FIRST_COMPLETED')
        left.cancel()
        if not run.done():
            run.cancel()
        # The connection may be read again once both have ended.
        await asyncio.gather(run, left, return_exceptions=True)

    async def _report(self, connection: ServerConnection) -> None:
        content = {
            'models': [{'name': MODEL, 'version': 1}],
            'busy': False,
            'seq_no': 0,
            'waiting': self.waiting,
            'running': self.running,
            'kv_used': 0,
            'kv_total': KV_TOKENS,
        }
        headers = (('content-type', 'application/json'),)
        answer = Answer(200, headers, msgspec.json.encode(content))
        await connection.send_answer(answer)

    async def _decline(
        self, connection: ServerConnection, head: RequestHead, status: int
    ) -> None:
        headers = (
            (names.REQUEST_ID, head.get_header(names.REQUEST_ID)),
            (names.NOT_RUN, '1'),
            (names.INSTANCE, self.instance),
        )
        await connection.send_answer(Answer(status, headers))

    async def _run(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            if head.get_header(names.MODEL):
                await self._generate(connection, head)
            else:
                await self._work(connection, head)
        finally:
            self.running -= 1
            self._free.release()

    async def _work(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        await asyncio.sleep(self._source.uniform(0.5, 1.5) * WORK_SECONDS)
        headers = (
            (names.REQUEST_ID, head.get_header(names.REQUEST_ID)),
            STAMP,
        )
        await connection.send_answer(Answer(200, headers, b'x' * 800))

    async def _generate(
        self, connection: ServerConnection, head: RequestHead
    ) -> None:
        async with self._prefill:
            tokens = self._cache_parts(head)
            await asyncio.sleep(
                FIRST_SECONDS + tokens / PREFILL_TOKENS_PER_SECOND
            )
        wanted = int(head.get_header('token-count').partition(',')[2])
        headers = (
            (names.REQUEST_ID, head.get_header(names.REQUEST_ID)),
            STAMP,
            (names.WEIGHTS, '1'),
            ('content-type', 'text/event-stream'),
        )
        await connection.start_answer(200, headers)
        first = int(head.get_header(names.LAST_EVENT, '0')) + 1
        for number in range(first, max(wanted // STRIDE, first) + 1):
            await connection.send_part(b'id: %d\ndata: t\n\n' % number)
            await asyncio.sleep(STRIDE * STEP_SECONDS)
        await connection.end_answer()

    def _cache_parts(self, head: RequestHead) -> int:
        """Cache the parts of a prompt; return the tokens to prefill."""
        salt = head.get_header(names.CACHE_SALT)
        missing = 0
        for item in head.get_header(names.PROMPT_PREFIX).split(','):
            name, _, tokens = item.partition(':')
            key = f'{salt}/{name}'
            if key not in self._parts:
                missing += int(tokens)
            self._parts[key] = int(tokens)
            self._parts.move_to_end(key)
        total = sum(self._parts.values())
        while total > KV_TOKENS and len(self._parts) > 1:
            total -= self._parts.popitem(last=False)[1]
        return missing


async def _serve(task: dict) -> None:
    clock = SystemClock()
    client = JsonClient(parse_address(task['store']), clock, STORE_SECONDS)
    store = PlatformRowStore(client)
    for item in task['replicas']:
        source = random.Random(f'{task["seed"]}/{item["instance"]}')
        replica = Replica(
            item['instance'], item['service'], item['slots'], source
        )
        await replica.server.start(parse_address(item['address']))
        entry = replica.build_entry(item['address'], item['zone'])
        await _register(store, item['instance'], entry)
    print('started', flush=True)
    await asyncio.Event().wait()


async def _register(
    store: PlatformRowStore, instance: str, entry: dict[str, object]
) -> None:
    """Write the entry of a replica, in place of that of an earlier start."""
    value = msgspec.json.encode(entry)
    version = NO_ROW
    while True:
        write = RowWrite(names.UPSTREAMS_TABLE, instance, value, version)
        try:
            await store.write_row(write)
            return
        except ConditionFailed:
            version = await _find_version(store, instance)
        except PlatformUnavailable:
            await asyncio.sleep(RETRY_SECONDS)


async def _find_version(store: PlatformRowStore, instance: str) -> int:
    try:
        rows = (await store.read_table(names.UPSTREAMS_TABLE)).rows
    except PlatformUnavailable:
        return NO_ROW
    versions = [row.version for row in rows if row.key == instance]
    return versions[0] if versions else NO_ROW


if __name__ == '__main__':
    asyncio.run(_serve(json.loads(sys.argv[1])))
