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

"""Messages by which routers relay the shared tables, and their framing."""

import asyncio
import math

import msgspec

from lifttrestle.internal.fleet.state.rows import RowChanges
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.table_copy import CopyUpdate

LENGTH_BYTES = 4
# Several times the size of a whole table, whose rows are at most 64 KiB.
MAX_UPDATE_BYTES = 16 * 1024 * 1024
# A request holds a version for each of a few tables.
MAX_REQUEST_BYTES = 4 * 1024
# The offset of an update that confirms nothing.
NOTHING_CONFIRMED = -math.inf


class SubscribeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests all updates of the tables from now on.

    :ivar number: identifies the request in the updates that it causes.
    :ivar versions: the newest version that the sender holds of each table.
    """

    number: int
    versions: dict[str, int]


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row; its value is None if it was removed."""

    key: str
    value: bytes | None
    version: int


class TableUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The changes since the last update on this connection.

    It is also sent without rows, to confirm that the table is current.

    :ivar request: the number of the request that caused it.
    :ivar as_of_offset: seconds from the arrival of the request to the time
        as of which the table is current; negative if that was earlier. The
        receiver adds it to the time at which it *sent* the request, which is
        not later than the arrival, so it never assumes a later time.
    :ivar after_outage: the store was unavailable before the relay read this.
    :ivar is_snapshot: ``rows`` holds all rows of the table; others do not
        exist.
    """

    request: int
    table: str
    version: int
    as_of_offset: float
    after_outage: bool
    is_snapshot: bool
    rows: list[RelayedRow]


def build_update(
    request: int,
    table: str,
    update: CopyUpdate,
    as_of_offset: float,
    after_outage: bool,
) -> TableUpdate:
    """Return the message that carries ``update``."""
    return TableUpdate(
        request,
        table,
        update.changes.version,
        as_of_offset,
        after_outage,
        update.is_snapshot,
        [
            RelayedRow(row.key, row.value, row.version)
            for row in update.changes.rows
        ],
    )


def build_wait_notice(request: int, table: str, version: int) -> TableUpdate:
    """Return the message of a relay that waits for the store itself.

    It confirms nothing.
    """
    return TableUpdate(
        request, table, version, NOTHING_CONFIRMED, False, False, []
    )


def extract_update(message: TableUpdate) -> CopyUpdate:
    """Return the update that a message carries."""
    rows = tuple(
        VersionedRow(row.key, row.value, row.version) for row in message.rows
    )
    return CopyUpdate(RowChanges(rows, message.version), message.is_snapshot)


def encode_frame(message: msgspec.Struct) -> bytes:
    """Return an encoded message, prefixed with its length."""
    body = msgspec.msgpack.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, 'big') + body


async def read_frame(reader: asyncio.StreamReader, limit: int) -> bytes:
    """Return the bytes of the next message, at most ``limit``.

    :raises OSError: if the connection ended, or the frame is too long.
    """
    try:
        head = await reader.readexactly(LENGTH_BYTES)
        size = int.from_bytes(head, 'big')
        if size > limit:
            raise OSError(
                f'frame of {size} bytes exceeds the limit of {limit}'
            )
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError as error:
        raise OSError('the connection ended') from error
