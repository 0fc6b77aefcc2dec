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

"""Measures how costs grow with size, for docs/CAPACITY.md.

Each cost is measured for at least four sizes. The result is the slope and
intercept of a least-squares line; its largest residual shows how far the line
may be extrapolated.
"""

import argparse
import asyncio
import pathlib
import random
import statistics
import time
import tracemalloc

import msgspec

from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.combination import combine_documents
from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.plan import AcceptedChange
from lifttrestle.internal.membership.member import Member
from lifttrestle.internal.membership.member import Members
from lifttrestle.internal.membership.messages import Greeting
from lifttrestle.internal.membership.messages import Reply
from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.levels import derive_prompt
from lifttrestle.internal.routing.nested import NestedPolicy
from lifttrestle.internal.runrecord.committer import GroupCommitter
from lifttrestle.internal.store.memory_table import MemoryTable
from lifttrestle.internal.store.row import ABSENT
from lifttrestle.internal.store.row import Check
from lifttrestle.internal.store.row import Transaction
from lifttrestle.internal.store.row import Write
from tests.support.deployment import Deployment
from tests.support.deployment import digest
from tests.support.deployment import request
from tests.support.process import read_rss_kib

DECISIONS = 3000
UPSTREAMS = (5, 50, 200, 600)
WORKSPACES = (8, 400, 1500, 4300)
ROUTERS = (8, 16, 32, 64)
IDLE_SECONDS = 10.0
TICKS_PER_SECOND = 100
MICROSECONDS = 1e6
TRANSACTION_SECONDS = 0.005


def report_line(title: str, sizes: list[float], values: list[float]) -> None:
    """Print the least-squares line through the measured points."""
    slope, intercept = statistics.linear_regression(sizes, values)
    largest_residual = max(
        abs(value - slope * size - intercept)
        for size, value in zip(sizes, values)
    )
    points = ', '.join(
        f'{size:g}: {value:.4g}' for size, value in zip(sizes, values)
    )
    print(f'{title}: {points}')
    print(
        f'    slope {slope:.4g}, intercept {intercept:.4g},'
        f' largest residual {largest_residual:.3g}'
    )


def measure_decisions() -> None:
    """Measure the time of a routing decision by the number of upstreams."""
    times = []
    for count in UPSTREAMS:
        policy = NestedPolicy(random.Random(1))
        candidates = [
            Candidate(f'engine-{number}', 'one', 32, 8000.0)
            for number in range(count)
        ]
        prompts = [
            derive_prompt('salt', [f'tenant {item % 40} ' * 99, f'{item}'])
            for item in range(DECISIONS)
        ]
        for prompt in prompts[:200]:
            policy.choose(prompt, candidates, 0.0)
        started_at = time.perf_counter()
        for prompt in prompts:
            policy.choose(prompt, candidates, 0.0)
        seconds = time.perf_counter() - started_at
        times.append(seconds / DECISIONS * MICROSECONDS)
    report_line('microseconds per decision, by upstreams', UPSTREAMS, times)


def measure_evidence() -> None:
    """Measure the memory of cache evidence by the number of prefixes."""
    sizes = (1000, 2000, 4000, 8000)
    allocated = []
    for size in sizes:
        policy = NestedPolicy(random.Random(1))
        candidate = Candidate('engine-1', 'one', 32, 8000.0)
        tracemalloc.start()
        for number in range(size):
            prompt = derive_prompt('salt', [f'tenant {number}', 'q'])
            policy.observe(prompt, candidate, 0, 0.0)
        allocated.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    report_line('bytes of cache evidence, by prefixes', sizes, allocated)


def make_changes(count: int) -> tuple[Change, ...]:
    """Return changes that set one model and ``count`` workspaces."""
    changes = [
        Change(
            ItemKind.MODEL, 'm', {'name': 'm', 'version': '1', 'group': 'g'}
        )
    ]
    for number in range(count):
        name = f'workspace-{number}'
        body = {
            'name': name,
            'data_centres': ['north', 'south'],
            'token_digests': [digest(name)],
            'models': ['m'],
        }
        changes.append(Change(ItemKind.WORKSPACE, name, body))
    return tuple(changes)


def measure_configuration() -> None:
    """Measure configuration costs by the number of workspaces.

    These are memory, encoded size, and the time to apply a change and to
    combine a proposal.
    """
    memory, encoded, applied, combined = [], [], [], []
    for count in WORKSPACES:
        changes = make_changes(count)
        tracemalloc.start()
        document = Document().apply(changes)
        document.workspace_by_token  # noqa: B018
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        encoded.append(len(msgspec.msgpack.encode(document.list_changes())))
        one = (changes[1],)
        started_at = time.perf_counter()
        for _ in range(20):
            document.apply(one)
        applied.append((time.perf_counter() - started_at) / 20 * 1000)
        started_at = time.perf_counter()
        for _ in range(20):
            combine_documents(document, one)
        combined.append((time.perf_counter() - started_at) / 20 * 1000)
    report_line('bytes in memory, by workspaces', WORKSPACES, memory)
    report_line(
        'bytes of a complete document, by workspaces', WORKSPACES, encoded
    )
    report_line(
        'milliseconds to apply one change, by workspaces', WORKSPACES, applied
    )
    report_line(
        'milliseconds to combine one proposal, by workspaces',
        WORKSPACES,
        combined,
    )
    change = AcceptedChange(1, '0' * 16, make_changes(1)[1:])
    print(
        f'bytes of one accepted change: {len(msgspec.msgpack.encode(change))}'
    )


def measure_messages() -> None:
    """Measure the size of membership messages and of the table row."""
    member = Member('0' * 32, 'router-1', 'vm-router-1', 'north', '1.2.3.4:5')
    greeting = Greeting(member, 1000, '', True)
    reply = Reply(member, 1000, True)
    print(f'bytes of a greeting: {len(msgspec.msgpack.encode(greeting))}')
    print(f'bytes of a reply: {len(msgspec.msgpack.encode(reply))}')
    sizes = (8, 64, 175, 350)
    lengths = [
        len(msgspec.json.encode(Members((member,) * count))) for count in sizes
    ]
    report_line('bytes of the row of routers, by routers', sizes, lengths)


class SlowTable(MemoryTable):
    """A table with a delay of ``TRANSACTION_SECONDS`` per transaction.

    :ivar transactions: number of transactions so far.
    """

    transactions = 0

    async def transact(self, transaction: Transaction) -> int:
        """Apply the writes after the delay."""
        self.transactions += 1
        await asyncio.sleep(TRANSACTION_SECONDS)
        return await super().transact(transaction)


async def count_transactions(rate: int) -> float:
    """Return transactions per second at ``rate`` claims per second."""
    table = SlowTable()
    committer = GroupCommitter(table)
    value = msgspec.Raw(b'{}')
    tasks = []
    started_at = time.perf_counter()
    for number in range(rate):
        key = f'run/{number}'
        work = committer.commit(Check(key, ABSENT), Write(key, value))
        tasks.append(asyncio.create_task(work))
        delay = number / rate - (time.perf_counter() - started_at)
        await asyncio.sleep(max(delay, 0))
    await asyncio.gather(*tasks)
    return table.transactions / (time.perf_counter() - started_at)


def measure_claims() -> None:
    """Measure the rate of transactions at one router by that of claims."""
    sizes = (50, 200, 500, 1000)
    rates = [asyncio.run(count_transactions(size)) for size in sizes]
    report_line('transactions/s at one router, by claims/s', sizes, rates)


def read_cpu_ticks(pid: int) -> int:
    """Return the CPU time of a process in clock ticks."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return int(user) + int(system)


def measure_idle_routers(sizes: tuple[int, ...]) -> None:
    """Measure CPU use, memory and table reads of idle routers.

    :param sizes: numbers of routers.
    """
    cpu, memory, reads = [], [], []
    control = (
        'control = { table_poll_seconds = 1.0, vms_poll_seconds = 1.0,'
        ' probe_seconds = 0.5 }'
    )
    for count in sizes:
        deployment = Deployment(
            engines=2, services=1, routers=count, extra=control
        )
        with deployment:
            deployment.configure_usual()
            pids = [item.process.pid for item in deployment.routers.values()]
            time.sleep(3.0)
            start_ticks = [read_cpu_ticks(pid) for pid in pids]
            counts = count_reads(deployment)
            time.sleep(IDLE_SECONDS)
            used = [
                read_cpu_ticks(pid) - start
                for pid, start in zip(pids, start_ticks)
            ]
            seconds = IDLE_SECONDS * TICKS_PER_SECOND
            cpu.append(statistics.mean(used) / seconds * 100)
            memory.append(
                statistics.mean(read_rss_kib(pid) for pid in pids) / 1024
            )
            reads.append((count_reads(deployment) - counts) / IDLE_SECONDS)
    report_line('% of a core per idle router, by routers', sizes, cpu)
    report_line('MiB resident per idle router, by routers', sizes, memory)
    report_line('table reads/s of all idle routers, by routers', sizes, reads)


def count_reads(deployment: Deployment) -> int:
    """Return the number of reads that the table has served."""
    reply = request(deployment.addresses['table'], 'GET', '/standin/counts')
    return reply.json()['read']


def main() -> None:
    """Run the measurements named on the command line, or all."""
    measurements = {
        'decisions': measure_decisions,
        'evidence': measure_evidence,
        'configuration': measure_configuration,
        'messages': measure_messages,
        'claims': measure_claims,
        'control': lambda: measure_idle_routers(ROUTERS),
    }
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('part', nargs='*', choices=[[], *measurements])
    for name in parser.parse_args().part or measurements:
        measurements[name]()


if __name__ == '__main__':
    main()
