"""All routers are killed and start again; the replicas keep their caches."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins-2'))

import fleet2

RECOVER_SECONDS = 12.0
BEFORE_SECONDS = 15.0
AFTER_SECONDS = 15.0
SHEETS = 48
SHARED_TOKENS = 6300
OWN_TOKENS = 250
OUT_TOKENS = 10
# One request in so many goes to the service without a model.
PLAIN_EACH = 5
REQUEST_SECONDS = 0.05
PAUSE_SECONDS = 1.0


class Clients:
    """Sends requests in turn to all routers and counts what is served."""

    def __init__(self, fleet: fleet2.Fleet) -> None:
        self._fleet = fleet
        self._sent = 0
        self._tasks: set[asyncio.Task[None]] = set()
        # By phase and outcome.
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.phase = 'before'

    async def run(self, seconds: float, phase: str) -> None:
        """Send requests for some time, and wait for their answers."""
        self.phase = phase
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            task = asyncio.create_task(self._send())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(REQUEST_SECONDS)
        if self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _send(self) -> None:
        number = self._sent
        self._sent += 1
        phase = self.phase
        routers = self._fleet.routers
        router = routers[number % len(routers)]
        request_id = self._fleet.make_id()
        headers = {
            'Request-Id': request_id,
            'Authorization': f'Token {fleet2.KEY}',
        }
        if number % PLAIN_EACH == 0:
            target = '/fiti832/ti23/2f'
            headers['Deadline-Ms'] = '3000'
        else:
            target = '/lepu270/2f'
            sheet = f'5c1e{number % SHEETS:04x}'
            headers |= {
                'Model': fleet2.MODEL,
                'Token-Count': f'{SHARED_TOKENS + OWN_TOKENS},{OUT_TOKENS}',
                'Prompt-Prefix': f'{sheet}:{SHARED_TOKENS},'
                f'{request_id}:{OWN_TOKENS}',
                'Deadline-Ms': '5000',
            }
        try:
            answer = await fleet2.call(
                router.host, router.front_port, 'POST', target, headers
            )
            seen = str(answer.status)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            seen = type(error).__name__
        self.counts[phase, seen] += 1
        self._fleet.record.write(
            f'{phase}: {router.name} {request_id} {target} -> {seen}'
        )

    def get_share(self, phase: str) -> float:
        """Return the share of the requests of a phase that was served."""
        sent = sum(n for (name, _), n in self.counts.items() if name == phase)
        return self.counts[phase, '200'] / max(sent, 1)


async def play(fleet: fleet2.Fleet) -> bool:
    """Return whether less than a quarter is served after the recovery."""
    await fleet.start(routers=3, engines=3, plain=2)
    for engine in fleet.engines:
        engine.reads_prompts = True
        engine.event_seconds = 0.004
    clients = Clients(fleet)
    await clients.run(BEFORE_SECONDS, 'before')
    if fleet2.is_in_trouble():
        for router in fleet.routers:
            router.kill()
        fleet.record.write('all router processes are killed')
        await asyncio.sleep(fleet2.KILLED_SECONDS)
    for router in fleet.routers:
        while not await router.is_ready():
            await asyncio.sleep(0.1)
    fleet.record.write('all routers are ready')
    await clients.run(RECOVER_SECONDS, 'recovering')
    await asyncio.sleep(PAUSE_SECONDS)
    await clients.run(AFTER_SECONDS, 'after')
    for phase in ('before', 'recovering', 'after'):
        counts = {
            seen: number
            for (name, seen), number in clients.counts.items()
            if name == phase
        }
        fleet.record.write(
            f'{phase}: {clients.get_share(phase):.3f} served, {counts}'
        )
    for router in fleet.routers:
        fleet.record.write(
            f'{router.name} is ready: {await router.is_ready()}'
        )
    return clients.get_share('after') < 0.25 <= clients.get_share('before')


fleet2.run_case(__file__, play)
