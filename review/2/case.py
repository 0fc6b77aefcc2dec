"""Streams are taken up at a router that was just partitioned from the store.

Replicas with another software version begin to serve. One router, which reads
the store for others, is partitioned from it and doesn't hear of them. Another
one, which has begun streams at them, is killed, and its clients take their
streams up again at the first. TROUBLE=kill leaves the partition out.
"""

import asyncio
import dataclasses
import os
import pathlib
import sys
import time

from review.standins import wire
from review.standins.deployment import Deployment
from review.standins.deployment import is_troubled
from review.standins.deployment import Record
from review.standins.deployment import Router
from review.standins.replica import Replica
from review.standins.replica import STAMP

CASE = pathlib.Path(__file__).resolve().parent
# Of tcpa-grid: routers, engines, and the time limit of hint-write.
ROUTERS = 8
OLD_ENGINES = 3
NEW_ENGINES = 2
STREAMS = 60
EVENTS = 40
EVENT_SECONDS = 0.1
MAX_MIXED = 2
# From the cut: when the new engines register, when the streams begin, and
# when the router that has begun them is killed.
REGISTER_SECONDS = 0.05
BEGIN_SECONDS = 0.45
KILL_SECONDS = 0.9
CUT_SECONDS = 5.0
ROUTE = {
    'name': 'hint',
    'host': 'h.example',
    'prefix': '/hint/',
    'route_type': 'stream',
    'timeout_ms': 12000,
    'target_latency_ms': 500,
    'gap_aim_ms': 500,
    'priority': 0,
    'service': 'llm',
    'max_attempts': 2,
    'can_resume': True,
    'sticky': True,
}


class Engine(Replica):
    """An engine whose events name its software version."""

    async def run(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Write a stream, after the last event that the caller has."""
        self.note_run(request)
        lines = [
            'HTTP/1.1 200 OK',
            f'Request-Id: {request.headers["request-id"]}',
            f'Server-Stamp: {STAMP}',
            'Content-Type: text/event-stream',
            'Weight-Versions: 1',
            'Transfer-Encoding: chunked',
        ]
        head = '\r\n'.join(lines).encode() + wire.END_OF_HEAD
        await wire.send(writer, head)
        first = int(request.headers.get('last-event-id', '0')) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = f'id: {number}\ndata: token {self.version}\n\n'.encode()
            await wire.send(writer, b'%x\r\n%s\r\n' % (len(event), event))
        await wire.send(writer, b'0\r\n\r\n')


@dataclasses.dataclass
class Stream:
    """What a client has of one stream.

    :ivar versions: software version of each event, by its number.
    :ivar first_id: id of the attempt that brought the first event.
    """

    name: str
    versions: dict[int, str] = dataclasses.field(default_factory=dict)
    first_id: str = ''
    statuses: list[int] = dataclasses.field(default_factory=list)

    async def attempt(self, router: Router, number: int) -> None:
        """Begin the stream or take it up again, until it ends or breaks."""
        request_id = f'{self.name}-{number}'
        headers = {
            'Host': 'h.example',
            'Request-Id': request_id,
            'Authorization': 'Token k1',
            'Deadline-Ms': '12000',
            'Model': 'm0',
            'Token-Count': '826,49',
            'Prompt-Prefix': f'{self.name}:198,{self.name}f:628',
        }
        if self.versions:
            headers['Last-Event-Id'] = str(max(self.versions))
            headers['Resumes'] = self.first_id
        try:
            reader, writer = await asyncio.open_connection(
                router.host, router.port
            )
        except OSError:
            self.statuses.append(0)
            return
        try:
            first = 'POST /hint/x HTTP/1.1'
            await wire.send(writer, wire.build(first, headers, bytes(1700)))
            answer = await wire.read_head(reader)
            self.statuses.append(answer.status if answer is not None else 0)
            if answer is None or answer.status != 200:
                return
            await self._read_events(reader, request_id)
        except OSError:
            return
        finally:
            writer.close()

    async def _read_events(
        self, reader: asyncio.StreamReader, request_id: str
    ) -> None:
        number = 0
        while line := await reader.readline():
            if line.startswith(b'id: '):
                number = int(line[4:])
            elif line.startswith(b'data: '):
                self.first_id = self.first_id or request_id
                self.versions[number] = line.split()[-1].decode()


def choose_routers(deployment: Deployment) -> tuple[Router, Router]:
    """Return one that reads the store, and one that follows others."""
    readers = []
    followers = []
    for router in deployment.routers:
        sources = [
            line for line in router.read_log() if 'relay.source' in line
        ]
        reads = bool(sources) and '"store":true' in sources[-1]
        (readers if reads else followers).append(router)
    if not readers or not followers:
        raise OSError('no router follows another one')
    return readers[0], followers[0]


async def play() -> int:
    """Play the case and return the exit status."""
    async with Deployment(
        CASE, ROUTERS, memory_mb=150, retry_slack=56
    ) as deployment:
        store, record = deployment.store, deployment.record
        engines = [
            Engine(
                f'i-{number}',
                'llm',
                'za',
                store,
                record,
                slots=64,
                queue=192,
                models={'m0': 1},
                version='a1' if number < OLD_ENGINES else 'b2',
            )
            for number in range(OLD_ENGINES + NEW_ENGINES)
        ]
        engine = {
            'slots': 64,
            'kv_capacity_tokens': 99487,
            'kv_token_bytes': 18432.0,
            'link_mbps': 550000.0,
            'models': [{'name': 'm0'}],
        }
        service = {'name': 'llm', 'max_conns': 370, 'engine': engine}
        store.put(
            'op',
            'config',
            {
                'version': 3,
                'routes': [ROUTE],
                'services': [service],
                'limits': {},
                'tenants': [{'name': 't1', 'api_keys': ['k1']}],
            },
        )
        store.put('op', 'version/m0', {'model': 'm0', 'version': 1})
        for item in engines[:OLD_ENGINES]:
            await item.start()
        await deployment.start_routers()
        await asyncio.sleep(6)
        reader, follower = choose_routers(deployment)
        record.note(f'{reader.name} reads the store, {follower.name} follows')
        began_at = time.monotonic()
        if is_troubled() and os.environ.get('TROUBLE') != 'kill':
            reader.link.cut()
            record.note(f'{reader.name} is partitioned from the store')
        await asyncio.sleep(REGISTER_SECONDS)
        for item in engines[OLD_ENGINES:]:
            await item.start()
        record.note('the new engines are registered')
        await asyncio.sleep(began_at + BEGIN_SECONDS - time.monotonic())
        streams = [Stream(f'{number:04x}') for number in range(STREAMS)]
        attempts = [
            asyncio.create_task(stream.attempt(follower, 1))
            for stream in streams
        ]
        await asyncio.sleep(began_at + KILL_SECONDS - time.monotonic())
        if is_troubled():
            follower.kill()
            record.note(f'{follower.name} is killed')
        await asyncio.gather(*attempts)
        taken_up = [
            stream for stream in streams if 0 < len(stream.versions) < EVENTS
        ]
        record.note(f'{len(taken_up)} streams are taken up again')
        resumed = [
            asyncio.create_task(stream.attempt(reader, 2))
            for stream in taken_up
        ]
        await asyncio.sleep(began_at + CUT_SECONDS - time.monotonic())
        reader.link.heal()
        await asyncio.gather(*resumed)
        for router in deployment.routers:
            for line in router.read_log():
                if 'origin' in line and router is reader:
                    record.note(f'{router.name} logged {line[:400]}')
        return judge(streams, record)


def judge(streams: list[Stream], record: Record) -> int:
    """Return 1 if streams hold events of two software versions."""
    mixed = [item for item in streams if len(set(item.versions.values())) > 1]
    began = [item for item in streams if item.versions]
    new = [item for item in began if item.versions[1] == 'b2']
    for item in streams:
        events = ' '.join(f'{n}:{v}' for n, v in sorted(item.versions.items()))
        record.note(f'{item.name} {item.statuses} {events}')
    lines = [
        f'{len(began)} of {len(streams)} streams began, {len(new)} of them at'
        ' new engines',
        f'ORDER: {len(mixed)} streams hold events of two software versions:'
        f' {[item.name for item in mixed]}',
    ]
    for line in lines:
        record.note(line)
        print(line)
    return 1 if len(mixed) > MAX_MIXED else 0


if __name__ == '__main__':
    try:
        sys.exit(asyncio.run(play()))
    except Exception as error:
        print(f'could not run: {error!r}')
        sys.exit(2)
