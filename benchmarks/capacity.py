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

"""Slopes for docs/CAPACITY.md, from at least four sizes each.

Every figure is the slope and intercept of a least-squares line with its
largest residual, so that the page can say how far it may be carried.
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
from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.plan import AcceptedChange
from lifttrestle.internal.configuration.stricter import combine_documents
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
CONTROL_SECONDS = 10.0
TICKS_A_SECOND = 100
MICROSECONDS = 1e6
TABLE_SECONDS = 0.005


def report_line(title: str, sizes: list[float], values: list[float]) -> None:
    """Print the least-squares line through the measured points."""
    slope, intercept = statistics.linear_regression(sizes, values)
    worst = max(
        abs(value - slope * size - intercept)
        for size, value in zip(sizes, values)
    )
    points = ', '.join(
        f'{size:g}: {value:.4g}' for size, value in zip(sizes, values)
    )
    print(f'{title}: {points}')
    print(
        f'    slope {slope:.4g}, intercept {intercept:.4g},'
        f' largest residual {worst:.3g}'
    )


def measure_decisions() -> None:
    """Time one routing decision against the number of upstreams."""
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
        started = time.perf_counter()
        for prompt in prompts:
            policy.choose(prompt, candidates, 0.0)
        seconds = time.perf_counter() - started
        times.append(seconds / DECISIONS * MICROSECONDS)
    report_line('microseconds a decision, by upstreams', UPSTREAMS, times)


def measure_evidence() -> None:
    """Count the bytes that evidence takes for each remembered prefix."""
    sizes = (1000, 2000, 4000, 8000)
    grown = []
    for size in sizes:
        policy = NestedPolicy(random.Random(1))
        candidate = Candidate('engine-1', 'one', 32, 8000.0)
        tracemalloc.start()
        for number in range(size):
            prompt = derive_prompt('salt', [f'tenant {number}', 'q'])
            policy.observe(prompt, candidate, 0, 0.0)
        grown.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    report_line('bytes of evidence, by prefixes', sizes, grown)


def make_changes(count: int) -> tuple[Change, ...]:
    """Return changes that set so many workspaces."""
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
    """Measure memory, bytes and time against the number of workspaces."""
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
        started = time.perf_counter()
        for _ in range(20):
            document.apply(one)
        applied.append((time.perf_counter() - started) / 20 * 1000)
        started = time.perf_counter()
        for _ in range(20):
            combine_documents(document, one)
        combined.append((time.perf_counter() - started) / 20 * 1000)
    report_line('bytes in memory, by workspaces', WORKSPACES, memory)
    report_line('bytes of a whole document', WORKSPACES, encoded)
    report_line('milliseconds to apply one change', WORKSPACES, applied)
    report_line('milliseconds to combine one proposal', WORKSPACES, combined)
    change = AcceptedChange(1, '0' * 16, make_changes(1)[1:])
    print(
        f'bytes of one accepted change: {len(msgspec.msgpack.encode(change))}'
    )


def measure_messages() -> None:
    """Count the bytes of what routers and the table say to each other."""
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
    """A table that takes a few milliseconds over each transaction."""

    transactions = 0

    async def transact(self, transaction: Transaction) -> int:
        """Apply the writes after a moment."""
        self.transactions += 1
        await asyncio.sleep(TABLE_SECONDS)
        return await super().transact(transaction)


async def count_transactions(rate: int) -> float:
    """Return transactions a second for so many claims a second."""
    table = SlowTable()
    committer = GroupCommitter(table)
    value = msgspec.Raw(b'{}')
    tasks = []
    started = time.perf_counter()
    for number in range(rate):
        key = f'run/{number}'
        work = committer.commit(Check(key, ABSENT), Write(key, value))
        tasks.append(asyncio.create_task(work))
        behind = number / rate - (time.perf_counter() - started)
        await asyncio.sleep(max(behind, 0))
    await asyncio.gather(*tasks)
    return table.transactions / (time.perf_counter() - started)


def measure_claims() -> None:
    """Count transactions against claims, at one router."""
    sizes = (50, 200, 500, 1000)
    rates = [asyncio.run(count_transactions(size)) for size in sizes]
    report_line('transactions/s at one router, by claims/s', sizes, rates)


def read_cpu_ticks(pid: int) -> int:
    """Return the processor time of a process in clock ticks."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return int(user) + int(system)


def measure_control(sizes: tuple[int, ...]) -> None:
    """Measure idle routers: processor, memory, calls to the table."""
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
            before = [read_cpu_ticks(pid) for pid in pids]
            counts = count_reads(deployment)
            time.sleep(CONTROL_SECONDS)
            spent = [
                read_cpu_ticks(pid) - start for pid, start in zip(pids, before)
            ]
            seconds = CONTROL_SECONDS * TICKS_A_SECOND
            cpu.append(statistics.mean(spent) / seconds * 100)
            memory.append(
                statistics.mean(read_rss_kib(pid) for pid in pids) / 1024
            )
            reads.append((count_reads(deployment) - counts) / CONTROL_SECONDS)
    report_line('% of a core for control a router, by routers', sizes, cpu)
    report_line('MiB resident a router, by routers', sizes, memory)
    report_line('table reads/s of all routers', sizes, reads)


def count_reads(deployment: Deployment) -> int:
    """Return how many reads the table has served."""
    reply = request(deployment.addresses['table'], 'GET', '/standin/counts')
    return reply.json()['read']


def main() -> None:
    """Measure the parts named, or all."""
    parts = {
        'decisions': measure_decisions,
        'evidence': measure_evidence,
        'configuration': measure_configuration,
        'messages': measure_messages,
        'claims': measure_claims,
        'control': lambda: measure_control(ROUTERS),
    }
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('part', nargs='*', choices=[[], *parts])
    for name in parser.parse_args().part or parts:
        parts[name]()


if __name__ == '__main__':
    main()
