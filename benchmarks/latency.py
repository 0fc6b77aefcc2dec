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

"""What a router adds to an answer, against asking the stand-in directly.

Both paths are measured in one run, in turn, with the same requests; the
figures to quote are the differences. Also: the streaming throughput with many
concurrent streams, and the memory of an idle router.
"""

import argparse
import asyncio
import dataclasses
import statistics
import time

import msgspec

from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.http.head import RequestHead
from tests.support.deployment import Deployment
from tests.support.deployment import MODEL
from tests.support.process import read_rss_kib

ROUNDS = 400
STREAMS = 200
STREAM_TOKENS = 100
DECODE_SECONDS = '0.02'
MILLISECONDS = 1000
PERCENT_99 = 98


@dataclasses.dataclass
class Sample:
    """One answer: seconds to its first byte, to its end, and its bytes."""

    first: float
    whole: float
    events: int


async def ask(
    pool: ClientPool, number: int, tokens: int, stream: bool
) -> Sample:
    """Send one request and time its answer."""
    content = {
        'model': MODEL,
        'prompt': f'a shared prefix of some words {number}',
        'max_tokens': tokens,
        'ignore_eos': True,
        'stream': stream,
    }
    headers = (
        ('authorization', 'Bearer daily-token'),
        ('content-type', 'application/json'),
    )
    head = RequestHead('POST', '/v1/completions', headers)
    started = time.perf_counter()
    connection = await pool.take()
    await connection.send_request(head, msgspec.json.encode(content))
    answer = await connection.read_head()
    assert answer.status == 200, answer
    first = 0.0
    events = 0
    async for part in connection.iterate_body():
        first = first or time.perf_counter() - started
        events += part.count(b'\n\n')
    pool.give_back(connection)
    return Sample(first, time.perf_counter() - started, events)


async def measure_whole(direct: ClientPool, routed: ClientPool) -> None:
    """Time short whole answers on both paths in turn, one at a time."""
    paths = {'direct': direct, 'routed': routed}
    times: dict[str, list[float]] = {name: [] for name in paths}
    for number in range(ROUNDS):
        for name, pool in paths.items():
            sample = await ask(pool, number, 1, False)
            times[name].append(sample.whole * MILLISECONDS)
    report('one at a time, whole answer', times)


async def measure_streams(direct: ClientPool, routed: ClientPool) -> None:
    """Time the first byte of many concurrent streams on both paths."""
    for title, pool in (('direct', direct), ('routed', routed)):
        started = time.perf_counter()
        samples = await asyncio.gather(
            *(
                ask(pool, number, STREAM_TOKENS, True)
                for number in range(STREAMS)
            )
        )
        seconds = time.perf_counter() - started
        events = sum(sample.events for sample in samples)
        firsts = sorted(sample.first * MILLISECONDS for sample in samples)
        print(
            f'{STREAMS} streams, {title}: {events / seconds:.0f} events/s,'
            f' first byte p50 {statistics.median(firsts):.1f} ms'
            f' p99 {firsts[int(len(firsts) * 0.99) - 1]:.1f} ms'
        )


async def measure_under_streams(
    direct: ClientPool, routed: ClientPool
) -> None:
    """Time short answers while many streams run through the router."""
    background = [
        asyncio.create_task(ask(routed, number, STREAM_TOKENS * 5, True))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(1.0)
    paths = {'direct': direct, 'routed': routed}
    times: dict[str, list[float]] = {name: [] for name in paths}
    while not all(task.done() for task in background):
        for name, pool in paths.items():
            sample = await ask(pool, len(times[name]), 1, False)
            times[name].append(sample.whole * MILLISECONDS)
    await asyncio.gather(*background)
    report(f'whole answer under {STREAMS} streams', times)


def report(title: str, times: dict[str, list[float]]) -> None:
    """Print the percentiles of both paths and what the router adds."""
    figures = {}
    for name, values in times.items():
        cuts = statistics.quantiles(values, n=100)
        figures[name] = (statistics.median(values), cuts[PERCENT_99])
    added = [
        routed - direct
        for routed, direct in zip(figures['routed'], figures['direct'])
    ]
    for name, (middle, tail) in figures.items():
        print(f'{title}, {name}: p50 {middle:.2f} ms p99 {tail:.2f} ms')
    print(f'{title}, added: p50 {added[0]:.2f} ms p99 {added[1]:.2f} ms')


async def run(engine: str, router: str) -> None:
    """Measure everything."""
    clock = SystemClock()
    direct = ClientPool(parse_address(engine), clock, 5.0)
    routed = ClientPool(parse_address(router), clock, 5.0)
    await measure_whole(direct, routed)
    await measure_streams(direct, routed)
    await measure_under_streams(direct, routed)


def main() -> None:
    """Start a router and one engine and measure both paths."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.parse_args()
    arguments = ('--decode-seconds', DECODE_SECONDS, '--slots', '1000')
    deployment = Deployment(
        engines=4,
        engine_arguments=arguments,
        extra='log = { level = "info" }',
    )
    with deployment:
        deployment.configure_usual(requests_per_second=1e6)
        pid = deployment.router.process.pid
        print(f'idle router: {read_rss_kib(pid) / 1024:.1f} MiB')
        engine = deployment.addresses['engine-bkk-silom-1']
        asyncio.run(run(engine, deployment.router.callers))
        print(f'after the run: {read_rss_kib(pid) / 1024:.1f} MiB')


if __name__ == '__main__':
    main()
