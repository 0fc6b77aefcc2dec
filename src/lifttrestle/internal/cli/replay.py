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

"""``lifttrestle replay``, ``goodput`` and ``trace``: simulations on traces."""

import argparse
from collections.abc import Mapping
import pathlib

import msgspec

from lifttrestle.errors import SettingsInvalid
from lifttrestle.internal.cli.tables import print_rows
from lifttrestle.internal.replay.engine import EngineCosts
from lifttrestle.internal.replay.faults import FAULTS
from lifttrestle.internal.replay.figures import Figures
from lifttrestle.internal.replay.generator import generate_trace
from lifttrestle.internal.replay.goodput import GoodputReplay
from lifttrestle.internal.replay.outcome import find_differences
from lifttrestle.internal.replay.outcome import read_outcomes
from lifttrestle.internal.replay.policies import POLICIES
from lifttrestle.internal.replay.runner import Replay
from lifttrestle.internal.replay.scenario import SCENARIOS
from lifttrestle.internal.replay.trace import read_trace
from lifttrestle.internal.replay.trace import write_trace

EXIT_OK = 0
EXIT_DIFFERS = 1
OUTCOME_SUFFIX = '.outcome.toml'
MILLISECONDS = 1000
SPEEDS = (0.5, 0.8, 1.0, 1.5, 2.0, 4.0)


def add_commands(commands: 'argparse._SubParsersAction') -> None:
    """Add the commands to the command line."""
    replay = commands.add_parser(
        'replay', help='replay a trace and check its stated outcomes'
    )
    replay.add_argument('trace', type=pathlib.Path, metavar='TRACE')
    replay.add_argument(
        '--policy',
        default='nested',
        metavar='NAME[,NAME]',
        help=f'any of: {", ".join(POLICIES)}',
    )
    replay.add_argument(
        '--fault',
        default='healthy',
        metavar='NAME[,NAME]',
        help=f'any of: {", ".join(FAULTS)}',
    )
    replay.add_argument('--seed', type=int, default=1)
    replay.add_argument('--json', action='store_true')
    replay.set_defaults(run=run_replay)
    goodput = commands.add_parser(
        'goodput', help='replay a trace at multiples of its speed'
    )
    goodput.add_argument('trace', type=pathlib.Path, metavar='TRACE')
    goodput.add_argument(
        '--speed', type=_parse_speeds, default=SPEEDS, metavar='X[,X]'
    )
    goodput.add_argument('--running', type=int, default=27)
    goodput.add_argument('--queue', type=int, default=64)
    goodput.add_argument('--seed', type=int, default=1)
    goodput.add_argument('--json', action='store_true')
    goodput.set_defaults(run=run_goodput)
    trace = commands.add_parser('trace', help='generate a trace from a seed')
    trace.add_argument('scenario', choices=sorted(SCENARIOS))
    trace.add_argument('output', type=pathlib.Path, metavar='FILE')
    trace.add_argument('--seed', type=int, default=1)
    trace.set_defaults(run=run_trace)


def run_trace(options: argparse.Namespace) -> int:
    """Generate a trace from a scenario and a seed, and write it."""
    trace = generate_trace(SCENARIOS[options.scenario], options.seed)
    write_trace(options.output, trace)
    print(f'{options.output}: {len(trace.requests)} requests')
    return EXIT_OK


def run_replay(options: argparse.Namespace) -> int:
    """Replay a trace; return 1 if a figure violates a stated outcome."""
    policies = _parse_names('policy', options.policy, POLICIES)
    faults = _parse_names('fault', options.fault, FAULTS)
    trace = read_trace(options.trace)
    figures = [
        Replay(
            trace, policy, fault, FAULTS[fault], options.seed, EngineCosts()
        ).run()
        for fault in faults
        for policy in policies
    ]
    if options.json:
        print(msgspec.json.encode(figures).decode())
    else:
        _print_table(figures)
    stated = read_outcomes(options.trace.with_suffix(OUTCOME_SUFFIX))
    differences = [
        line for item in figures for line in find_differences(item, stated)
    ]
    for line in differences:
        print(f'differs: {line}')
    return EXIT_DIFFERS if differences else EXIT_OK


def run_goodput(options: argparse.Namespace) -> int:
    """Replay a trace through admission queues at several speeds."""
    trace = read_trace(options.trace)
    figures = [
        GoodputReplay(
            trace,
            speed,
            options.running,
            options.queue,
            options.seed,
            EngineCosts(),
        ).run()
        for speed in options.speed
    ]
    if options.json:
        print(msgspec.json.encode(figures).decode())
        return EXIT_OK
    titles = ('SPEED', 'OFFERED/S', 'GOOD/S', 'LATE', 'REFUSED', 'URGENT P99')
    rows = [
        (
            f'{item.speed:g}',
            f'{item.offered:.1f}',
            f'{item.good:.1f}',
            str(item.late),
            str(item.refused),
            f'{item.urgent_p99:.2f}',
        )
        for item in figures
    ]
    print_rows([titles, *rows])
    return EXIT_OK


def _parse_speeds(text: str) -> tuple[float, ...]:
    speeds = tuple(float(part) for part in text.split(','))
    if not all(speed > 0 for speed in speeds):
        raise argparse.ArgumentTypeError(f'{text!r}: write numbers above 0')
    return speeds


def _parse_names(
    option: str, text: str, available: Mapping[str, object]
) -> list[str]:
    names = text.split(',')
    for name in names:
        if name not in available:
            raise SettingsInvalid(
                f'--{option} {name!r} is unknown; use any of:'
                f' {", ".join(available)}'
            )
    return names


def _print_table(figures: list[Figures]) -> None:
    titles = (
        'POLICY',
        'FAULT',
        'HIT RATE',
        'IDEAL',
        'P50 MS',
        'P99 MS',
        'P99.9 MS',
        'WASTED',
        'SPREAD',
    )
    rows = [
        (
            item.policy,
            item.fault,
            f'{item.hit_rate:.3f}',
            f'{item.ideal_hit_rate:.3f}',
            f'{item.first_p50 * MILLISECONDS:.0f}',
            f'{item.first_p99 * MILLISECONDS:.0f}',
            f'{item.first_p999 * MILLISECONDS:.0f}',
            str(item.wasted_tokens),
            f'{item.spread:.2f}',
        )
        for item in figures
    ]
    print_rows([titles, *rows])
