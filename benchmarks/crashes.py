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

"""Measures the cost of crash tracking: ``python -m benchmarks.crashes``.

Prints the microseconds per request digest, by the size of the body. Then
prints, by the number of routers, the messages and bytes that all routers send
for a crashed engine and for a held request, and the microseconds that a router
needs per received message.
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
# Requests in progress at the crashed engine; they belong to different routers
# if there are enough.
REQUESTS_IN_PROGRESS = 20
MICROSECONDS = 1e6


def time_digest(size: int) -> float:
    """Return the microseconds per digest of a request.

    :param size: length of the body in bytes.
    """
    workspace = Workspace('acme', None, False)
    admitted = AdmittedRequest(None, None, workspace)  # type: ignore[arg-type]
    head = RequestHead('POST', '/lepu270/2f')
    body = bytes(size)
    started_at = time.perf_counter()
    for _ in range(ROUNDS):
        build_request_digest(admitted, 'jepu9.example', head, body)
    return (time.perf_counter() - started_at) / ROUNDS * MICROSECONDS


def time_update(routers: int) -> float:
    """Return the microseconds that a router needs per received update."""
    tracker = CrashFleet(routers).trackers[0]
    data = [
        encode_message(CrashUpdate('r1', [CrashItem(DIGEST + number, [1, 2])]))
        for number in range(ROUNDS)
    ]
    started_at = time.perf_counter()
    for item in data:
        tracker.handle_update(decode_message(item))  # type: ignore[arg-type]
    return (time.perf_counter() - started_at) / ROUNDS * MICROSECONDS


def count_crash(routers: int) -> tuple[int, int]:
    """Return the messages and bytes that all routers send for one crash."""
    fleet = CrashFleet(routers)
    for number in range(REQUESTS_IN_PROGRESS):
        fleet.crash(number % routers, 0, [DIGEST + number])
    fleet.send_updates()
    return fleet.messages, fleet.bytes


def count_hold(routers: int) -> tuple[int, int]:
    """Return the messages and bytes until all routers hold a request."""
    fleet = CrashFleet(routers)
    for number in range(3):
        fleet.crash(number, number, [DIGEST])
        fleet.send_updates()
    return fleet.messages, fleet.bytes


def main() -> None:
    """Print the tables."""
    print('bytes of body  us per digest')
    for size in BODIES:
        print(f'{size:13,}  {time_digest(size):13.1f}')
    print('routers  per crashed engine   per held request  us per message')
    for routers in ROUTERS:
        crash = count_crash(routers)
        hold = count_hold(routers)
        print(
            f'{routers:7}  {crash[0]:7} {crash[1]:9,} B  {hold[0]:5}'
            f' {hold[1]:9,} B  {time_update(routers):14.0f}'
        )


if __name__ == '__main__':
    main()
