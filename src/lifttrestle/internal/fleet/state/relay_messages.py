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

"""What routers tell each other of the shared tables, and how it is framed."""

import asyncio

import msgspec

from lifttrestle.internal.fleet.state.rows import RowChanges
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.table_copy import CopyUpdate

LENGTH_BYTES = 4
# Several times what a whole table holds: rows are at most 64 KiB.
MAX_NEWS_BYTES = 16 * 1024 * 1024
# A question holds a number for each of a few tables.
MAX_QUESTION_BYTES = 4 * 1024


class SubscribeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for all news of the tables from now on.

    :ivar number: of the question; news are told to answer one.
    :ivar versions: the newest version held of each table.
    """

    number: int
    versions: dict[str, int]


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row, without a value if it was removed."""

    key: str
    value: bytes | None
    version: int


class TableUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A proof, and what changed since the last one on this connection.

    :ivar question: the question that it answers.
    :ivar proved_after: seconds from the question's arrival to the moment as
        of which the table is proved to be as told; negative if that was
        before. The asker counts it from when it *sent* the question, which
        was no later: so it never believes too much.
    :ivar after_outage: the store was away before this was read.
    :ivar whole: all rows are told; others are gone.
    """

    question: int
    table: str
    version: int
    proved_after: float
    after_outage: bool
    whole: bool
    rows: list[RelayedRow]


def build_news(
    question: int,
    table: str,
    news: CopyUpdate,
    proved_after: float,
    after_outage: bool,
) -> TableUpdate:
    """Return the message that tells ``news``."""
    return TableUpdate(
        question,
        table,
        news.changes.version,
        proved_after,
        after_outage,
        news.whole,
        [
            RelayedRow(row.key, row.value, row.version)
            for row in news.changes.rows
        ],
    )


def read_news(message: TableUpdate) -> CopyUpdate:
    """Return what a message tells."""
    rows = tuple(
        VersionedRow(row.key, row.value, row.version) for row in message.rows
    )
    return CopyUpdate(RowChanges(rows, message.version), message.whole)


def encode_frame(message: msgspec.Struct) -> bytes:
    """Return a message with its length before it."""
    body = msgspec.msgpack.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, 'big') + body


async def read_frame(reader: asyncio.StreamReader, limit: int) -> bytes:
    """Return the next message's bytes, at most ``limit``.

    :raises OSError: if the connection ended, or the frame is too long.
    """
    try:
        head = await reader.readexactly(LENGTH_BYTES)
        size = int.from_bytes(head, 'big')
        if size > limit:
            raise OSError(f'a frame of {size} bytes; {limit} are allowed')
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError as error:
        raise OSError('the connection ended') from error
