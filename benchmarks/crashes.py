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

"""What the memory of crashes costs: ``python -m benchmarks.crashes``.

Prints microseconds a digest by the size of the body, and what a crashed engine
costs a fleet in messages and bytes, and a router in microseconds a message, by
the number of routers.
"""

import time

from lifttrestle.internal.fleet.crashes.messages import CrashItem
from lifttrestle.internal.fleet.crashes.messages import CrashUpdate
from lifttrestle.internal.fleet.path.request_digest import build_request_digest
from lifttrestle.internal.fleet.policy.admission import AdmittedRequest
from lifttrestle.internal.fleet.state.catalogue import Workspace
from lifttrestle.internal.fleet.state.load_messages import decode_message
from lifttrestle.internal.fleet.state.load_messages import encode_message
from lifttrestle.internal.http.head import RequestHead
from tests.support.crash_fleet import CrashFleet

BODIES = (1_000, 40_000, 1_000_000)
ROUTERS = (7, 82, 195)
ROUNDS = 300
DIGEST = 0xCAE714BDFB5AE264
# Requests that a crashed engine had under way, each of another router.
UNDER_WAY = 20
MICROSECONDS = 1e6


def time_digest(size: int) -> float:
    """Return the microseconds that a digest takes."""
    workspace = Workspace('acme', None, False)
    admitted = AdmittedRequest(None, None, workspace)  # type: ignore[arg-type]
    head = RequestHead('POST', '/lepu270/2f')
    body = bytes(size)
    began = time.perf_counter()
    for _ in range(ROUNDS):
        build_request_digest(admitted, 'jepu9.example', head, body)
    return (time.perf_counter() - began) / ROUNDS * MICROSECONDS


def time_news(routers: int) -> float:
    """Return the microseconds that a router takes to hear of one request."""
    memory = CrashFleet(routers).trackers[0]
    data = [
        encode_message(CrashUpdate('r1', [CrashItem(DIGEST + number, [1, 2])]))
        for number in range(ROUNDS)
    ]
    began = time.perf_counter()
    for item in data:
        memory.handle_update(decode_message(item))  # type: ignore[arg-type]
    return (time.perf_counter() - began) / ROUNDS * MICROSECONDS


def count_crash(routers: int) -> tuple[int, int]:
    """Return messages and bytes of all routers for one crashed engine."""
    fleet = CrashFleet(routers)
    for number in range(UNDER_WAY):
        fleet.crash(number % routers, 0, [DIGEST + number])
    fleet.send_updates()
    return fleet.messages, fleet.bytes


def count_verdict(routers: int) -> tuple[int, int]:
    """Return messages and bytes until all know of a dangerous request."""
    fleet = CrashFleet(routers)
    for number in range(3):
        fleet.crash(number, number, [DIGEST])
        fleet.send_updates()
    return fleet.messages, fleet.bytes


def main() -> None:
    """Print the tables."""
    print('bytes of body  us a digest')
    for size in BODIES:
        print(f'{size:13,}  {time_digest(size):11.1f}')
    print('routers  a crashed engine    a dangerous request  us a message')
    for routers in ROUTERS:
        crash = count_crash(routers)
        verdict = count_verdict(routers)
        print(
            f'{routers:7}  {crash[0]:5} {crash[1]:8,} B  {verdict[0]:7}'
            f' {verdict[1]:9,} B  {time_news(routers):12.0f}'
        )


if __name__ == '__main__':
    main()
