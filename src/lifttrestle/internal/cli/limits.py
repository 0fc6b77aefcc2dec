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

"""``lifttrestle limits``: lists the rate limits that upstreams reported."""

import argparse
import asyncio

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.cli.faults import report_fault
from lifttrestle.internal.cli.tables import print_rows
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.fleet.limits.listing import ListedLimit
from lifttrestle.internal.fleet.path.handlers import LIMITS_PATH
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.intake.decoding import decode_json

EXIT_OK = 0
# A busy router answers within a few hundred milliseconds.
ANSWER_TIMEOUT_SECONDS = 2.0
TITLES = (
    'UPSTREAM',
    'DATA CENTRE',
    'RATE/S',
    'USED',
    'SHARE',
    'AGE S',
    'ROUTER',
)


def add_commands(commands: 'argparse._SubParsersAction') -> None:
    """Add the command to the command line."""
    parser = commands.add_parser(
        'limits', help='list the upstreams that reported a rate limit'
    )
    parser.add_argument(
        'routers',
        nargs='+',
        metavar='ADDRESS',
        help='HOST:PORT at which a router serves its metrics',
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print a line for each limited upstream of each router.

    :return: 2 if an address is malformed or a router gave no valid answer,
        else 0.
    """
    try:
        addresses = [parse_address(text) for text in options.routers]
    except ValueError as error:
        return report_fault(error, "write HOST:PORT of a router's metrics")
    return asyncio.run(_print_limits(addresses))


async def _print_limits(addresses: list[Address]) -> int:
    rows: list[tuple[str, ...]] = [TITLES]
    code = EXIT_OK
    for address in addresses:
        client = JsonClient(address, SystemClock(), ANSWER_TIMEOUT_SECONDS)
        try:
            answer = await client.call('GET', LIMITS_PATH)
            listed = decode_json(answer.body, list[ListedLimit])
        except (PlatformUnavailable, ValueError) as error:
            code = report_fault(
                error, f'see whether a router serves metrics at {address}'
            )
            continue
        finally:
            client.close()
        rows += [_build_row(item, address) for item in listed]
    print_rows(rows)
    return code


def _build_row(item: ListedLimit, address: Address) -> tuple[str, ...]:
    rate = 'ended' if item.rate is None else f'{item.rate:g}'
    is_allocator = item.share > 0
    return (
        item.start,
        item.data_centre,
        rate,
        f'{item.used:.2f}' if is_allocator else '-',
        f'{item.share:g}' if is_allocator else '-',
        f'{item.age:.1f}',
        str(address),
    )
