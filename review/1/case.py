"""A rejection that comes twice, the second time as the answer to the retry.

Two replicas of a plain service are full at times, as clients press. One of
them sends some of its answers twice: the copy comes late, on the same
connection, at the point where the next answer is expected.
"""

import asyncio
import collections
import itertools
import pathlib
import random
import sys
import time

from review.standins import wire
from review.standins.client import Client
from review.standins.client import Outcome
from review.standins.deployment import Deployment
from review.standins.deployment import is_troubled
from review.standins.deployment import Record
from review.standins.deployment import Router
from review.standins.replica import Replica

CASE = pathlib.Path(__file__).resolve().parent
# Of punktikoda-grown: three replicas, their slots and queue, the time limits of
# points-post. Two serve here. They are as slow as nearly full replicas are.
SLOTS = 6
QUEUE = 6
REPLICAS = 2
WORK_SECONDS = 0.08
# The dose of `garble`, `extra late`: the share of its answers that a replica
# sends twice, and for how long. It is one replica of two, fewer than the
# share of 0.6 allows.
COPY_SHARE = 0.03
GARBLE_SECONDS = 5.0
PERIOD_SECONDS = 6.0
PLAY_SECONDS = 70.0
# Many clients come at once, at one router; the others have a few.
WAVE_CLIENTS = 24
WAVE_SECONDS = 0.3
WAVE_PERIOD_SECONDS = 0.75
CALM_ROUTERS = 8
CALM_CLIENTS = 2
NOT_RUN = (408, 421, 429, 503)
ROUTE = {
    'name': 'publish',
    'host': 'h.example',
    'prefix': '/publish/',
    'route_type': 'non_idempotent',
    'timeout_ms': 1200,
    'target_latency_ms': 200,
    'priority': 1,
    'service': 'app',
    'max_attempts': 1,
}


class CopyingReplica(Replica):
    """Sends some answers again where the next one is expected."""

    began_at = 0.0
    garbles = False
    answers = 0
    planned = 0
    copies = 0

    def _takes_copy(self, rejected: bool) -> bool:
        """Return whether the answer that was just sent comes once more.

        The fault is in how it rejects; all answers count for the share.
        """
        self.answers += 1
        if not rejected or not self._is_garbling():
            return False
        if self.planned >= COPY_SHARE * self.answers:
            return False
        self.planned += 1
        return True

    def _is_garbling(self) -> bool:
        elapsed = time.monotonic() - self.began_at
        return self.garbles and elapsed % PERIOD_SECONDS < GARBLE_SECONDS

    async def handle(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve a request, after the copy of the answer before."""
        kept = getattr(writer, 'copy', b'')
        self.record.note(
            f'{self.instance} is sent {request.headers.get("request-id")} on'
            f' connection {id(writer):x}{", copy first" if kept else ""}'
        )
        if kept:
            writer.copy = b''
            self.copies += 1
            await wire.send(writer, kept)
        recorder = _Recorder(writer)
        going_on = await super().handle(request, reader, recorder)
        if self._takes_copy(b'Not-Executed' in recorder.sent):
            writer.copy = recorder.sent
        return going_on


class _Recorder:
    """Passes bytes to a writer and remembers them."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.sent = b''

    def write(self, data: bytes) -> None:
        """Write and remember bytes."""
        self.sent += data
        self._writer.write(data)

    async def drain(self) -> None:
        """Wait until there is room for more."""
        await self._writer.drain()


async def press(
    router: Router,
    until: float,
    ids: itertools.count,
    outcomes: list[Outcome],
    record: Record,
    *,
    in_waves: bool,
) -> None:
    """Send one request after the other, as a client does."""
    client = Client(router.host, router.port)
    while time.monotonic() < until:
        if in_waves:
            elapsed = time.monotonic() % WAVE_PERIOD_SECONDS
            if elapsed > WAVE_SECONDS:
                await asyncio.sleep(WAVE_PERIOD_SECONDS - elapsed)
        else:
            await asyncio.sleep(random.uniform(0, 0.1))
        request_id = f'{next(ids):016x}'
        outcome = await client.call(
            'POST',
            '/publish/x',
            request_id,
            {'Deadline-Ms': '2500', 'Authorization': 'Token k1'},
            b'{"notice": 1}',
        )
        record.note(f'{router.name} answered {request_id} {outcome.status}')
        outcomes.append(outcome)
        if outcome.status in NOT_RUN:
            after = float(outcome.headers.get('retry-after', '0.1'))
            await asyncio.sleep(min(after, 1.0))
    client.close()


async def play() -> int:
    """Play the case and return the exit status."""
    async with Deployment(
        CASE, 1 + CALM_ROUTERS, memory_mb=552, retry_slack=170
    ) as deployment:
        store, record = deployment.store, deployment.record
        replicas = [
            CopyingReplica(
                f'i-{number}',
                'app',
                'za',
                store,
                record,
                slots=SLOTS,
                queue=QUEUE,
                work_seconds=WORK_SECONDS,
            )
            for number in range(REPLICAS)
        ]
        store.put(
            'op',
            'config',
            {
                'version': 3,
                'routes': [ROUTE],
                'services': [{'name': 'app', 'max_conns': 520}],
                'limits': {},
                'tenants': [{'name': 't1', 'api_keys': ['k1']}],
            },
        )
        for replica in replicas:
            await replica.start()
        await deployment.start_routers()
        await asyncio.sleep(3)
        replicas[0].began_at = time.monotonic()
        replicas[0].garbles = is_troubled()
        outcomes: list[Outcome] = []
        ids = itertools.count(1)
        until = time.monotonic() + PLAY_SECONDS
        pressing, *calm = deployment.routers
        await asyncio.gather(
            *(
                press(pressing, until, ids, outcomes, record, in_waves=True)
                for _ in range(WAVE_CLIENTS)
            ),
            *(
                press(router, until, ids, outcomes, record, in_waves=False)
                for router in calm
                for _ in range(CALM_CLIENTS)
            ),
        )
        await asyncio.sleep(4)
        return judge(replicas, outcomes, record)


def judge(
    replicas: list[CopyingReplica], outcomes: list[Outcome], record: Record
) -> int:
    """Return 1 if a request ran twice, or ran although it was refused."""
    runs = collections.Counter(
        run.request_id for replica in replicas for run in replica.runs
    )
    twice = sorted(key for key, count in runs.items() if count > 1)
    refused = [
        outcome.request_id
        for outcome in outcomes
        if outcome.status in NOT_RUN and runs[outcome.request_id]
    ]
    statuses = collections.Counter(outcome.status for outcome in outcomes)
    rejected = sum(replica.rejected for replica in replicas)
    lines = [
        f'answers by status: {dict(statuses)}',
        f'rejections: {rejected}, '
        f'copies: {replicas[0].copies} of {replicas[0].answers} answers',
        f'TWICE: {len(twice)} requests ran more than once: {twice[:20]}',
        f'REFUSED: {len(refused)} were refused and ran: {refused[:20]}',
    ]
    for line in lines:
        record.note(line)
        print(line)
    return 1 if twice or refused else 0


if __name__ == '__main__':
    try:
        sys.exit(asyncio.run(play()))
    except Exception as error:
        print(f'could not run: {error!r}')
        sys.exit(2)
