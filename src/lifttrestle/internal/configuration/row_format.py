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

"""Encoding and decoding of the rows of the configuration."""

import dataclasses
import typing

import msgspec

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.document import convert_item
from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.document import encode_item
import lifttrestle.internal.configuration.keys as keys
from lifttrestle.internal.configuration.model import Item
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.store.row import ABSENT
from lifttrestle.internal.store.row import make_write
from lifttrestle.internal.store.row import REMOVED
from lifttrestle.internal.store.row import Row
from lifttrestle.internal.store.row import Write

T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True)
class Versioned(typing.Generic[T]):
    """A decoded row and its version, for the checks of a transaction."""

    value: T
    version: int


def build_document(rows: list[Row]) -> Document:
    """Return the document that consists of the rows of all items."""
    tables: dict[ItemKind, dict[str, Item]] = {kind: {} for kind in ItemKind}
    for row in rows:
        kind_name, _, name = row.key.removeprefix(keys.ITEMS).partition('/')
        kind = ItemKind(kind_name)
        body = msgspec.json.decode(row.value)
        tables[kind][name] = convert_item(kind, body)
    return Document(
        tables[ItemKind.WORKSPACE],  # type: ignore[arg-type]
        tables[ItemKind.MODEL],  # type: ignore[arg-type]
        tables[ItemKind.SERVICE],  # type: ignore[arg-type]
    )


def make_item_write(change: Change) -> Write:
    """Return the write that applies a change to the row of its item."""
    key = keys.format_item_key(change.kind, change.name)
    if change.body is None:
        return Write(key, REMOVED)
    item = convert_item(change.kind, change.body)
    return make_write(key, encode_item(item))


def decode_row(row: Row | None, model: type[T]) -> Versioned[T]:
    """Decode a row, or return an empty ``model`` if there is none."""
    if row is None:
        return Versioned(model(), ABSENT)
    return Versioned(msgspec.json.decode(row.value, type=model), row.version)


def decode_existing(rows: dict[str, Row], key: str, model: type[T]) -> T:
    """Decode the row with a key.

    :raises PlatformUnavailable: if the row is missing.
    """
    if key not in rows:
        raise PlatformUnavailable(f'row {key!r} is missing')
    return msgspec.json.decode(rows[key].value, type=model)
