"""New weights are named for two models that the same replicas hold."""

import asyncio
import pathlib
import sys

from review.standins.client import Client
from review.standins.deployment import Deployment
from review.standins.deployment import is_troubled
from review.standins.deployment import Record
from review.standins.replica import Replica

CASE = pathlib.Path(__file__).resolve().parent
ROUTERS = 6
REPLICAS = 5
LEASE_SECONDS = 3.0
# Between the versions, as on the day trouble-1; then until all have loaded.
PAUSES = (3.0, 4.0, 4.0, 14.0)
MODELS = ('daka510000', 'mizu730000')
ROUTE = {
    'name': 'check',
    'host': 'h.example',
    'prefix': '/check/',
    'route_type': 'idempotent',
    'timeout_ms': 5000,
    'target_latency_ms': 600,
    'priority': 1,
    'service': 'llm',
    'max_attempts': 1,
}


async def play() -> int:
    """Play the case and return the exit status."""
    async with Deployment(CASE, ROUTERS) as deployment:
        store, record = deployment.store, deployment.record
        replicas = [
            Replica(
                f'i-{number}',
                'llm',
                'za',
                store,
                record,
                slots=64,
                queue=192,
                models=dict.fromkeys(MODELS, 1),
            )
            for number in range(REPLICAS)
        ]
        engine = {
            'slots': 64,
            'kv_capacity_tokens': 119045,
            'kv_token_bytes': 18432.0,
            'link_mbps': 370000.0,
            'models': [{'name': name} for name in MODELS],
        }
        service = {'name': 'llm', 'max_conns': 360, 'engine': engine}
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
        for name in MODELS:
            store.put('op', f'version/{name}', {'model': name, 'version': 1})
        for replica in replicas:
            await replica.start()
        await deployment.start_routers()
        await asyncio.sleep(5)
        client = Client(deployment.routers[0].host, deployment.routers[0].port)
        headers = {'Authorization': 'Token k1', 'Model': MODELS[0]}
        headers['Token-Count'] = '200,20'
        headers['Prompt-Prefix'] = 'aa:150,bb:50'
        answer = await client.call('POST', '/check/x', '1', headers)
        record.note(f'a request before the new weights: {answer.status}')
        # The trouble is that both models get new weights, in place of one.
        named = MODELS if is_troubled() else MODELS[:1]
        for version, pause in enumerate(PAUSES, start=2):
            for name in named:
                row = {'model': name, 'version': version}
                store.put('op', f'version/{name}', row)
                record.note(f'operator names version {version} of {name}')
            await asyncio.sleep(pause)
        return judge(replicas, record)


def count_back_turns(orders: list[tuple[float, dict]]) -> int:
    """Return how often A's order follows B's, and that one A's, in time."""
    count = 0
    for first, second, third in zip(orders, orders[1:], orders[2:]):
        holders = [item[1]['holder'] for item in (first, second, third)]
        in_time = (
            second[0] - first[0] < LEASE_SECONDS
            and third[0] - second[0] < LEASE_SECONDS
        )
        count += in_time and holders[0] == holders[2] != holders[1]
    return count


def judge(replicas: list[Replica], record: Record) -> int:
    """Return 1 if holders take turns, to and back, within the lease."""
    turns = []
    back = 0
    orders = 0
    for replica in replicas:
        orders += len(replica.orders)
        back += count_back_turns(replica.orders)
        for before, after in zip(replica.orders, replica.orders[1:]):
            seconds = after[0] - before[0]
            holders = before[1]['holder'], after[1]['holder']
            if holders[0] != holders[1] and seconds < LEASE_SECONDS:
                text = f'{holders[0]}, then {holders[1]} after {seconds:.3f} s'
                turns.append(f'{replica.instance}: {text}')
    lines = [
        f'orders: {orders}',
        f'versions: {[replica.models for replica in replicas]}',
        f'ONE: {len(turns)} turns of holders within the lease, {back} of them'
        ' back to the holder before',
        *turns,
    ]
    for line in lines:
        record.note(line)
        print(line)
    return 1 if back else 0


if __name__ == '__main__':
    try:
        sys.exit(asyncio.run(play()))
    except Exception as error:
        print(f'could not run: {error!r}')
        sys.exit(2)
