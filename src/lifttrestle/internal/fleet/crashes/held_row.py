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

"""Table rows of held requests and their encoding."""

from collections.abc import Iterable

import msgspec

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.clock.unix_time import get_unix_ms
from lifttrestle.internal.intake.decoding import decode_json

HELD_PREFIX = 'held/'
HEXADECIMAL = 16


class HeldRow(msgspec.Struct, frozen=True):
    """Row of a held request; it never contains the request itself.

    :ivar workspace: workspace that sent the request.
    :ivar route: route of the request.
    :ivar crashed: number of upstreams that had crashed under the request.
    :ivar held_at_ms: start of the hold, Unix milliseconds.
    :ivar by: router that wrote the row.
    :ivar trials: number of trial runs since the start of the hold.
    """

    workspace: str
    route: str
    crashed: int
    held_at_ms: int
    by: str
    trials: int = 0


def format_digest(digest: int) -> str:
    """Return a digest as hexadecimal text for logs, rows and answers."""
    return f'{digest:016x}'


def parse_digest(text: str) -> int:
    """Return a digest from its text.

    :raises ValueError: if the text is not that of a digest.
    """
    return int(text, HEXADECIMAL)


def format_digests(digests: Iterable[int]) -> str | None:
    """Return digests as text for logs, None if there are none."""
    return ' '.join(map(format_digest, digests)) or None


def build_key(digest: int) -> str:
    """Return the key of the row for a request."""
    return f'{HELD_PREFIX}{format_digest(digest)}'


def parse_key(key: str) -> int:
    """Return the digest of the request from the key of its row.

    :raises ValueError: if the key is not that of a held request.
    """
    return parse_digest(key.removeprefix(HELD_PREFIX))


def encode_held_row(row: HeldRow) -> bytes:
    """Return a row encoded as JSON."""
    return msgspec.json.encode(row)


def decode_held_row(value: bytes) -> HeldRow:
    """Return a row decoded from JSON.

    :raises ValueError: if the bytes are not a valid row.
    """
    return decode_json(value, HeldRow)


def build_held_row(
    clock: Clock, workspace: str, route: str, crashed: int, by: str
) -> HeldRow:
    """Return the row of a request whose hold starts now."""
    return HeldRow(workspace, route, crashed, get_unix_ms(clock), by)
