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

"""A caller of several routers that sends each request until it is served."""

import asyncio
import dataclasses
import random
import time

from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from tests.support.soak_records import Attempt
from tests.support.soak_records import AttemptResult
from tests.support.soak_records import Record
from tests.support.soak_records import RouterStart
from tests.support.soak_router import SoakRouter
from tests.support.soak_upstream import PLAN

MAX_TRIES = 5
KEPT_SHARE = 0.7
# Far longer than any request may take.
HUNG_SECONDS = 30.0


@dataclasses.dataclass(frozen=True)
class SoakRequest:
    """What a caller asks for.

    :ivar limit: seconds that its route gives it.
    :ivar events: of its stream; zero for a plain request.
    :ivar pause: seconds before each event, or before the plain answer.
    :ivar wait: the caller's own limit, or zero.
    """

    route: str
    limit: float
    events: int
    pause: float
    wait: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether it may run more than once."""
        return self.route in ('safe', 'text')


class SoakCaller:
    """Sends one request after the other, each over one or more routers."""

    def __init__(
        self,
        name: str,
        routers: list[SoakRouter],
        record: Record,
        source: random.Random,
    ) -> None:
        self._name = name
        self._routers = routers
        self._record = record
        self._source = source
        self._kept: dict[str, tuple[RouterStart, ClientConnection]] = {}

    async def call(self, number: int, wish: SoakRequest) -> None:
        """Send a request until it was served, may have run, or is given up."""
        after = 0
        for attempt in range(MAX_TRIES):
            router = self._source.choice(self._routers)
            limit = min(wish.limit, wish.wait or wish.limit)
            name = f'{self._name}-{number}.{attempt}'
            done = Attempt(
                name,
                wish.route,
                router.current_start,
                limit,
                wish.events,
                after,
            )
            await self._try(router, wish, done)
            self._record.attempts.append(done)
            after += done.body.count(b'\n\n') if done.status == 200 else 0
            lost = (
                done.result in (AttemptResult.CLOSED, AttemptResult.CUT)
                and wish.repeatable
            )
            if not (
                lost or done.refused or done.result is AttemptResult.UNREACHED
            ):
                return
            await asyncio.sleep(self._source.uniform(0.0, 0.1))

    async def _try(
        self, router: SoakRouter, wish: SoakRequest, done: Attempt
    ) -> None:
        try:
            async with asyncio.timeout(HUNG_SECONDS):
                await self._exchange(router, wish, done)
            done.result = AttemptResult.COMPLETE
        except UpstreamConnectFailed:
            done.result = AttemptResult.UNREACHED
        except UpstreamLost:
            done.result = (
                AttemptResult.CUT if done.status else AttemptResult.CLOSED
            )
        except TimeoutError:
            done.result = AttemptResult.HUNG
        done.ended = time.monotonic()

    async def _exchange(
        self, router: SoakRouter, wish: SoakRequest, done: Attempt
    ) -> None:
        connection = await self._connect(router, done)
        head = RequestHead('POST', f'/{wish.route}/x', _build(wish, done))
        try:
            await connection.send_request(head, b'')
            done.sent = time.monotonic()
            done.status = (await connection.read_head()).status
            while part := await connection.read_part():
                done.body += part
        except BaseException:
            connection.close()
            raise
        if connection.reusable and self._source.random() < KEPT_SHARE:
            self._kept[router.name] = (done.router_start, connection)
        else:
            connection.close()

    async def _connect(
        self, router: SoakRouter, done: Attempt
    ) -> ClientConnection:
        kept = self._kept.pop(router.name, None)
        if kept is not None and kept[1].reusable:
            done.kept = True
            done.router_start = kept[0]
            return kept[1]
        connection = await ClientConnection.open(router.address, HUNG_SECONDS)
        # The address may have changed hands while it was connected to.
        done.router_start = router.current_start
        return connection

    def close(self) -> None:
        """Close what was kept."""
        for _, connection in self._kept.values():
            connection.close()


def _build(wish: SoakRequest, done: Attempt) -> tuple[tuple[str, str], ...]:
    headers = [
        ('host', 'shop.example'),
        ('request-id', done.id),
        ('authorization', 'Token k1'),
        (PLAN, f'{wish.events},{wish.pause:.3f}'),
    ]
    if wish.events:
        headers += [('model', 'm'), ('token-count', '460,5')]
    if wish.wait:
        headers.append(('deadline-ms', str(round(wish.wait * 1000))))
    if done.after:
        headers.append(('last-event-id', str(done.after)))
    return tuple(headers)
