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

"""Measures the latency that a router adds to direct requests to an engine.

Both paths are measured alternately in one run with the same requests; the
differences are the figures to quote. Also measures the throughput of many
concurrent streams and the memory of an idle router.
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
P99_INDEX = 98


@dataclasses.dataclass
class Sample:
    """Measurements of one answer.

    :ivar first_byte: seconds to its first byte.
    :ivar complete: seconds to its last byte.
    :ivar events: number of its server-sent events.
    """

    first_byte: float
    complete: float
    events: int


async def request_completion(
    pool: ClientPool, number: int, tokens: int, stream: bool
) -> Sample:
    """Send a request and measure its answer.

    :param number: makes the prompt unique.
    :param tokens: length of the answer.
    """
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
    started_at = time.perf_counter()
    connection = await pool.take()
    await connection.send_request(head, msgspec.json.encode(content))
    answer = await connection.read_head()
    assert answer.status == 200, answer
    first_byte = 0.0
    events = 0
    async for part in connection.iterate_body():
        first_byte = first_byte or time.perf_counter() - started_at
        events += part.count(b'\n\n')
    pool.give_back(connection)
    return Sample(first_byte, time.perf_counter() - started_at, events)


async def measure_sequential(direct: ClientPool, routed: ClientPool) -> None:
    """Measure short answers on both paths alternately, one at a time."""
    paths = {'direct': direct, 'routed': routed}
    times: dict[str, list[float]] = {name: [] for name in paths}
    for number in range(ROUNDS):
        for name, pool in paths.items():
            sample = await request_completion(pool, number, 1, False)
            times[name].append(sample.complete * MILLISECONDS)
    print_percentiles('one at a time, complete answer', times)


async def measure_streams(direct: ClientPool, routed: ClientPool) -> None:
    """Measure throughput and first byte of concurrent streams on each path."""
    for title, pool in (('direct', direct), ('routed', routed)):
        started_at = time.perf_counter()
        samples = await asyncio.gather(
            *(
                request_completion(pool, number, STREAM_TOKENS, True)
                for number in range(STREAMS)
            )
        )
        seconds = time.perf_counter() - started_at
        events = sum(sample.events for sample in samples)
        first_bytes = sorted(
            sample.first_byte * MILLISECONDS for sample in samples
        )
        print(
            f'{STREAMS} streams, {title}: {events / seconds:.0f} events/s,'
            f' first byte p50 {statistics.median(first_bytes):.1f} ms'
            f' p99 {first_bytes[int(len(first_bytes) * 0.99) - 1]:.1f} ms'
        )


async def measure_during_streams(
    direct: ClientPool, routed: ClientPool
) -> None:
    """Measure short answers while many streams pass through the router."""
    background = [
        asyncio.create_task(
            request_completion(routed, number, STREAM_TOKENS * 5, True)
        )
        for number in range(STREAMS)
    ]
    await asyncio.sleep(1.0)
    paths = {'direct': direct, 'routed': routed}
    times: dict[str, list[float]] = {name: [] for name in paths}
    while not all(task.done() for task in background):
        for name, pool in paths.items():
            sample = await request_completion(pool, len(times[name]), 1, False)
            times[name].append(sample.complete * MILLISECONDS)
    await asyncio.gather(*background)
    print_percentiles(f'complete answer during {STREAMS} streams', times)


def print_percentiles(title: str, times: dict[str, list[float]]) -> None:
    """Print the percentiles of both paths and their differences.

    :param times: milliseconds of the answers on each path.
    """
    percentiles = {}
    for name, values in times.items():
        cuts = statistics.quantiles(values, n=100)
        percentiles[name] = (statistics.median(values), cuts[P99_INDEX])
    added = [
        routed - direct
        for routed, direct in zip(percentiles['routed'], percentiles['direct'])
    ]
    for name, (p50, p99) in percentiles.items():
        print(f'{title}, {name}: p50 {p50:.2f} ms p99 {p99:.2f} ms')
    print(f'{title}, added: p50 {added[0]:.2f} ms p99 {added[1]:.2f} ms')


async def run(engine: str, router: str) -> None:
    """Run all measurements.

    :param engine: address of the engine.
    :param router: address of the router.
    """
    clock = SystemClock()
    direct = ClientPool(parse_address(engine), clock, 5.0)
    routed = ClientPool(parse_address(router), clock, 5.0)
    await measure_sequential(direct, routed)
    await measure_streams(direct, routed)
    await measure_during_streams(direct, routed)


def main() -> None:
    """Start a router and engines, and measure both paths."""
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
