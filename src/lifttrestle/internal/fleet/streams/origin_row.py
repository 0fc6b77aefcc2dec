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

"""The row in which a router stores the origins of its open streams."""

from collections.abc import Mapping

import msgspec

from lifttrestle.internal.fleet.streams.messages import Number
from lifttrestle.internal.fleet.streams.messages import Text
from lifttrestle.internal.fleet.streams.origin import StreamOrigin
from lifttrestle.internal.intake.decoding import decode_json

ORIGIN_TABLE = 'lifttrestle-streams'


class StoredOrigin(msgspec.Struct, frozen=True, array_like=True):
    """What began some of the streams.

    :ivar software_version: None if it is not known.
    :ivar start: digest of the upstream's start.
    """

    service: Text
    software_version: Text | None
    start: Number


class OriginRow(msgspec.Struct, frozen=True):
    """Row of one router.

    :ivar written_at_ms: Unix milliseconds.
    :ivar origins: each origin once.
    :ivar streams: digest of each stream, and index of its origin.
    """

    written_at_ms: int
    origins: list[StoredOrigin]
    streams: list[tuple[Number, Number]]


def encode_origin_row(
    streams: Mapping[int, StreamOrigin], written_at_ms: int
) -> bytes:
    """Return the row for some streams, by their digest, as JSON."""
    indexes = {
        origin: index
        for index, origin in enumerate(dict.fromkeys(streams.values()))
    }
    row = OriginRow(
        written_at_ms,
        [
            StoredOrigin(origin.service, origin.software_version, origin.start)
            for origin in indexes
        ],
        [(digest, indexes[origin]) for digest, origin in streams.items()],
    )
    return msgspec.json.encode(row)


def decode_origin_row(value: bytes) -> OriginRow:
    """Return a row decoded from JSON.

    :raises ValueError: if the bytes are not a valid row.
    """
    row = decode_json(value, OriginRow)
    for digest, index in row.streams:
        if index >= len(row.origins):
            raise ValueError(
                f'stream {digest:x} has the origin {index} of none'
            )
    return row


def list_row_origins(row: OriginRow) -> dict[int, StreamOrigin]:
    """Return the origin of each stream of a row, by its digest."""
    origins = [
        StreamOrigin(item.service, item.software_version, item.start)
        for item in row.origins
    ]
    return {digest: origins[index] for digest, index in row.streams}
