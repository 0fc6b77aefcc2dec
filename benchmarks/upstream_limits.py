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

"""Compares algorithms that enforce limits of upstreams across many routers.

Run it as ``python -m benchmarks.upstream_limits [ROUTERS ...]``. The load is
simulated.
"""

import sys

from tests.support.limit_simulation import EqualShares
from tests.support.limit_simulation import LimitScenario
from tests.support.limit_simulation import Permits
from tests.support.limit_simulation import simulate_limits
from tests.support.limit_simulation import Unread

DESIGNS = (Unread, EqualShares, Permits)
ROUTERS = (6, 23, 90, 350)
RATES = (0.1, 1.2, 10.0, 50.0)
# Requests per second for each router.
REQUESTS_PER_SECOND = 4.0


def main(routers: tuple[int, ...]) -> None:
    """Print a line for each scenario and algorithm."""
    for count in routers:
        for rate in RATES:
            for limited in (1 / 9, 1 / 3):
                scenario = LimitScenario(
                    count, rate, REQUESTS_PER_SECOND * count, limited=limited
                )
                for design in DESIGNS:
                    outcome = simulate_limits(scenario, design)
                    print(
                        f'{count:4d} routers, {rate:5.1f} per second at'
                        f' {limited:4.2f} of the upstreams,'
                        f' {design.__name__:12s}'
                        f' peak {outcome.peak:7.2f},'
                        f' used {outcome.used:7.2f},'
                        f' served {outcome.served:.3f},'
                        f' {outcome.messages:6.0f} messages per second,'
                        f' {outcome.microseconds:4.0f} us per request'
                    )


if __name__ == '__main__':
    main(tuple(int(number) for number in sys.argv[1:]) or ROUTERS)
