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

"""The row of a request that runs no more, in the routers' table."""

import msgspec

from lifttrestle.internal.intake.decoding import decode_json

HELD_PREFIX = 'held/'
HEXADECIMAL = 16


class HeldRow(msgspec.Struct, frozen=True):
    """What operators and other routers are told; never the request itself.

    :ivar workspace: whose request it is.
    :ivar route: by which it came.
    :ivar crashed: how many upstreams had crashed under it.
    :ivar held_at_ms: Unix milliseconds.
    :ivar by: the router that wrote it.
    :ivar trials: how often it has run once more since.
    """

    workspace: str
    route: str
    crashed: int
    held_at_ms: int
    by: str
    trials: int = 0


def format_digest(digest: int) -> str:
    """Return how a digest is written in logs, rows and answers."""
    return f'{digest:016x}'


def build_key(digest: int) -> str:
    """Return the key of a request's row."""
    return f'{HELD_PREFIX}{format_digest(digest)}'


def read_key(key: str) -> int:
    """Return the digest of the request whose row has this key.

    :raises ValueError: if it is no such key.
    """
    return int(key.removeprefix(HELD_PREFIX), HEXADECIMAL)


def write_held(row: HeldRow) -> bytes:
    """Return a row's bytes."""
    return msgspec.json.encode(row)


def decode_held_row(value: bytes) -> HeldRow:
    """Return what a row's bytes say.

    :raises ValueError: if they hold no such row.
    """
    return decode_json(value, HeldRow)
