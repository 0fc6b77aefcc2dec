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

"""Ways to keep a workspace's cap over many routers, compared.

Prints a table for each number of routers: the units of the fullest window of
what it may hold, the requests that were refused, and the units that were
given out of those that one bucket without any delay gives out. Below it the
processor time of a decision.
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
PLAYS = {
    'calm': Play(CALM),
    'calm, uneven': Play(CALM, uneven=True),
    'calm, cut in two': Play(CALM, cut=(4.0, 12.0)),
    'calm, cut in four': Play(CALM, cut=(4.0, 12.0), cut_all=True),
    'calm, 20 started a second': Play(CALM, restarts=20),
    'calm, all killed': Play(CALM, killed_at=8.0),
    'calm, a fifth lost': Play(CALM, loss=0.2),
    'hot': Play(HOT),
    'hot, uneven': Play(HOT, uneven=True),
    'hot, cut in two': Play(HOT, cut=(3.0, 13.0)),
    'hot, cut in four': Play(HOT, cut=(3.0, 13.0), cut_all=True),
    'hot, cut in four as it begins': Play(HOT, cut=(4.0, 13.0), cut_all=True),
    'hot, cut in two as it begins': Play(HOT, cut=(4.0, 13.0)),
    'hot, two alone': Play(HOT, cut=(3.0, 13.0), isolated=2),
    'hot, all killed': Play(HOT, killed_at=5.0),
    'hot, 20 started a second': Play(HOT, restarts=20),
    'hot, a fifth lost': Play(HOT, loss=0.2),
    'eight times': Play((1.0,) * 4 + (8.0,) * 16),
}
DESIGNS = (NoCaps, EqualShares, DemandShares, SharedLevels)
ROUTERS = (8, 23, 90, 350)
SEEDS = (1, 2, 3)
ROUNDS = 20_000
MICROSECONDS = 1e6


def main() -> None:
    """Print the tables for the numbers of routers that are given, or all."""
    for routers in [int(text) for text in sys.argv[1:]] or ROUTERS:
        names = ' '.join(f'{design.__name__:>23}' for design in DESIGNS)
        print(f'{routers} routers{"":20}{names}')
        for name, play in PLAYS.items():
            row = ' '.join(
                _render(design, routers, play) for design in DESIGNS
            )
            print(f'{name:31}{row}', flush=True)
        print(f'a decision: {_time_decision(routers):.1f} us')


def _render(design: type, routers: int, play: Play) -> str:
    if design is DemandShares and routers > ROUTERS[2]:
        return f'{"not played":>23}'
    outcomes = [CapPlay(routers, play, seed).run(design) for seed in SEEDS]
    most = max(outcome.most for outcome in outcomes)
    refused = sum(outcome.refused for outcome in outcomes) / len(SEEDS)
    given = sum(outcome.admitted for outcome in outcomes) / len(SEEDS)
    return f'{most:7.3f} {refused:7.4f} {given:7.3f}'


def _time_decision(routers: int) -> float:
    play = CapPlay(routers, Play(CALM), 1)
    design = SharedLevels(play)
    for number in range(200):
        design.step(number)
        design.admit(play.routers[number % routers], 0.0)
        play.clock.advance(0.05)
    ledger = design.ledgers[play.routers[0]]
    began = time.perf_counter()
    for _ in range(ROUNDS):
        play.clock.advance(0.0001)
        ledger.admit(design.workspace, 0.0)
    return (time.perf_counter() - began) / ROUNDS * MICROSECONDS


if __name__ == '__main__':
    main()
