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

"""Compares algorithms that enforce a workspace's cap across many routers.

Prints a table for each number of routers. Each cell has three numbers: the
highest usage of any window relative to the allowed usage, the fraction of the
requests that were refused, and the admitted units relative to those that a
single bucket without any delay admits. Below the table is the CPU time of a
decision.
"""

import sys
import time

from tests.support.cap_simulation import CapPlay
from tests.support.cap_simulation import DemandShares
from tests.support.cap_simulation import EqualShares
from tests.support.cap_simulation import NoCaps
from tests.support.cap_simulation import Play
from tests.support.cap_simulation import SharedLevels

CALM = (1.0,) * 20
HOT = (1.0,) * 4 + (5.1,) * 10 + (1.0,) * 6
SCENARIOS = {
    'calm': Play(CALM),
    'calm, uneven': Play(CALM, uneven=True),
    'calm, 2 partitions': Play(CALM, cut=(4.0, 12.0)),
    'calm, 4 partitions': Play(CALM, cut=(4.0, 12.0), cut_all=True),
    'calm, 20 restarts per second': Play(CALM, restarts=20),
    'calm, all killed': Play(CALM, killed_at=8.0),
    'calm, 20 % of messages lost': Play(CALM, loss=0.2),
    'hot': Play(HOT),
    'hot, uneven': Play(HOT, uneven=True),
    'hot, 2 partitions': Play(HOT, cut=(3.0, 13.0)),
    'hot, 4 partitions': Play(HOT, cut=(3.0, 13.0), cut_all=True),
    'hot, 4 partitions at its start': Play(HOT, cut=(4.0, 13.0), cut_all=True),
    'hot, 2 partitions at its start': Play(HOT, cut=(4.0, 13.0)),
    'hot, 2 routers isolated': Play(HOT, cut=(3.0, 13.0), isolated=2),
    'hot, all killed': Play(HOT, killed_at=5.0),
    'hot, 20 restarts per second': Play(HOT, restarts=20),
    'hot, 20 % of messages lost': Play(HOT, loss=0.2),
    '8 times the load': Play((1.0,) * 4 + (8.0,) * 16),
}
DESIGNS = (NoCaps, EqualShares, DemandShares, SharedLevels)
ROUTERS = (8, 23, 90, 350)
SEEDS = (1, 2, 3)
ROUNDS = 20_000
MICROSECONDS = 1e6


def main() -> None:
    """Print the tables for the given numbers of routers, or for all."""
    for routers in [int(text) for text in sys.argv[1:]] or ROUTERS:
        names = ' '.join(f'{design.__name__:>23}' for design in DESIGNS)
        print(f'{routers} routers{"":20}{names}')
        for name, scenario in SCENARIOS.items():
            row = ' '.join(
                _render(design, routers, scenario) for design in DESIGNS
            )
            print(f'{name:31}{row}', flush=True)
        print(f'CPU time per decision: {_time_decision(routers):.1f} us')


def _render(design: type, routers: int, scenario: Play) -> str:
    if design is DemandShares and routers > ROUTERS[2]:
        return f'{"not simulated":>23}'
    outcomes = [CapPlay(routers, scenario, seed).run(design) for seed in SEEDS]
    peak = max(outcome.most for outcome in outcomes)
    refused = sum(outcome.refused for outcome in outcomes) / len(SEEDS)
    admitted = sum(outcome.admitted for outcome in outcomes) / len(SEEDS)
    return f'{peak:7.3f} {refused:7.4f} {admitted:7.3f}'


def _time_decision(routers: int) -> float:
    simulation = CapPlay(routers, Play(CALM), 1)
    design = SharedLevels(simulation)
    for number in range(200):
        design.step(number)
        design.admit(simulation.routers[number % routers], 0.0)
        simulation.clock.advance(0.05)
    ledger = design.ledgers[simulation.routers[0]]
    started_at = time.perf_counter()
    for _ in range(ROUNDS):
        simulation.clock.advance(0.0001)
        ledger.admit(design.workspace, 0.0)
    return (time.perf_counter() - started_at) / ROUNDS * MICROSECONDS


if __name__ == '__main__':
    main()
