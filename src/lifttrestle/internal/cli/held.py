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

"""``lifttrestle held``: lists held requests and lifts holds.

Routers hold a request that crashes upstreams, so that it is not run again.
"""

import argparse
import asyncio
import datetime
import pathlib
import sys

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.cli.faults import report_fault
from lifttrestle.internal.cli.node_file import find_node_file
from lifttrestle.internal.cli.node_file import load_node_settings
from lifttrestle.internal.cli.node_file import SETTINGS_HELP
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.fleet.crashes.held_row import decode_held_row
from lifttrestle.internal.fleet.crashes.held_row import HELD_PREFIX
from lifttrestle.internal.fleet.crashes.held_row import HeldRow
from lifttrestle.internal.fleet.crashes.held_row import parse_digest
from lifttrestle.internal.fleet.crashes.suspects import get_kind_name
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from lifttrestle.internal.fleet.state.rows import RowStore
from lifttrestle.internal.fleet.state.rows import RowWrite
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.platform.row_store import PlatformRowStore

EXIT_OK = 0
EXIT_UNKNOWN = 1
# A call to the store usually takes 4 ms, and 0.4 s when the store is slow.
STORE_TIMEOUT_SECONDS = 2.0
MILLISECONDS = 1000
COLUMNS = '{:18} {:10} {:25} {:>7} {:20} {:16} {:6} {}'
HEADINGS = (
    'DIGEST',
    'KIND',
    'HELD AT',
    'CRASHED',
    'WORKSPACE',
    'ROUTE',
    'TRIALS',
)


def add_commands(commands: 'argparse._SubParsersAction') -> None:
    """Add the command to the command line."""
    parser = commands.add_parser(
        'held',
        help='list or lift the requests that crash upstreams',
    )
    parser.add_argument(
        '--settings',
        type=pathlib.Path,
        default=None,
        metavar='SETTINGS',
        help=SETTINGS_HELP,
    )
    parser.add_argument(
        '--json', action='store_true', help='print JSON for programs'
    )
    parser.add_argument(
        '--lift',
        metavar='DIGEST',
        default='',
        help='let this request run again, at every router',
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """List the held requests, or lift one hold.

    :return: 1 if the request to lift is not held, 2 if the store failed or the
        row changed meanwhile, else 0.
    """
    settings = load_node_settings(find_node_file(options.settings))
    address = parse_address(settings.store.address)
    store = PlatformRowStore(
        JsonClient(address, SystemClock(), STORE_TIMEOUT_SECONDS)
    )
    try:
        if options.lift:
            return asyncio.run(lift(store, options.lift))
        rows = asyncio.run(list_held(store))
    except (PlatformUnavailable, ConditionFailed) as error:
        return report_fault(
            error, 'check that the store answers, then try again'
        )
    print(render_json(rows) if options.json else render_table(rows))
    return EXIT_OK


async def list_held(store: RowStore) -> dict[str, HeldRow]:
    """Return the rows of held requests by digest, oldest first.

    A row that cannot be decoded is reported to stderr and skipped.
    """
    held = {}
    for row in await _read_rows(store):
        assert row.value is not None, 'a row of a table has a value'
        try:
            held[row.key.removeprefix(HELD_PREFIX)] = decode_held_row(
                row.value
            )
        except ValueError as error:
            print(f'{row.key}: {error}', file=sys.stderr)
    return dict(sorted(held.items(), key=lambda item: item[1].held_at_ms))


async def lift(store: RowStore, digest: str) -> int:
    """Remove the row of a held request; return the exit code."""
    for row in await _read_rows(store):
        if row.key != f'{HELD_PREFIX}{digest}':
            continue
        write = RowWrite(FLEET_TABLE, row.key, None, row.version)
        await store.write_row(write)
        print(f'{digest}: lifted')
        return EXIT_OK
    print(
        f'{digest} is not held; "lifttrestle held" lists the held requests',
        file=sys.stderr,
    )
    return EXIT_UNKNOWN


async def _read_rows(store: RowStore) -> list[VersionedRow]:
    try:
        table = await store.read_table(FLEET_TABLE)
    finally:
        # The connections belong to the event loop of this call, and each call
        # has its own.
        store.close()
    return [row for row in table.rows if row.key.startswith(HELD_PREFIX)]


def render_json(rows: dict[str, HeldRow]) -> str:
    """Return the rows as JSON, one object per line."""
    return '\n'.join(
        msgspec.json.encode(
            {
                'digest': digest,
                'kind': get_kind_name(parse_digest(digest)),
                **msgspec.structs.asdict(row),
            }
        ).decode()
        for digest, row in rows.items()
    )


def render_table(rows: dict[str, HeldRow]) -> str:
    """Return the rows as a table with headings; times are in UTC."""
    lines = [COLUMNS.format(*HEADINGS, 'BY')]
    for digest, row in rows.items():
        held_at = datetime.datetime.fromtimestamp(
            row.held_at_ms / MILLISECONDS, datetime.timezone.utc
        )
        lines.append(
            COLUMNS.format(
                digest,
                get_kind_name(parse_digest(digest)),
                held_at.isoformat(timespec='seconds'),
                row.crashed,
                row.workspace or '-',
                row.route or '-',
                row.trials,
                row.by,
            )
        )
    return '\n'.join(lines)
