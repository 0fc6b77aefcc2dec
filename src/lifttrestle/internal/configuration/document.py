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

"""The complete configuration at one revision, immutable."""

from collections.abc import Mapping
import dataclasses
import functools
import hashlib

import msgspec

from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.model import Item
from lifttrestle.internal.configuration.model import ITEM_MODELS
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.model import Model
from lifttrestle.internal.configuration.model import Service
from lifttrestle.internal.configuration.model import Workspace


@dataclasses.dataclass(frozen=True)
class Document:
    """All workspaces, models and services by name."""

    workspaces: dict[str, Workspace] = dataclasses.field(default_factory=dict)
    models: dict[str, Model] = dataclasses.field(default_factory=dict)
    services: dict[str, Service] = dataclasses.field(default_factory=dict)

    @functools.cached_property
    def workspace_by_token(self) -> dict[str, str]:
        """Return the names of the workspaces by token digest."""
        return {
            digest: workspace.name
            for workspace in self.workspaces.values()
            for digest in workspace.token_digests
        }

    def get_items(self, kind: ItemKind) -> Mapping[str, Item]:
        """Return the items of one kind by name."""
        tables: dict[ItemKind, Mapping[str, Item]] = {
            ItemKind.WORKSPACE: self.workspaces,
            ItemKind.MODEL: self.models,
            ItemKind.SERVICE: self.services,
        }
        return tables[kind]

    def apply(self, changes: tuple[Change, ...]) -> 'Document':
        """Return a copy of this document with ``changes`` applied.

        :raises msgspec.ValidationError: if the body of a change is invalid.
        """
        tables = {kind: dict(self.get_items(kind)) for kind in ItemKind}
        for change in changes:
            table = tables[change.kind]
            if change.body is None:
                table.pop(change.name, None)
                continue
            table[change.name] = convert_item(change.kind, change.body)
        return Document(
            tables[ItemKind.WORKSPACE],  # type: ignore[arg-type]
            tables[ItemKind.MODEL],  # type: ignore[arg-type]
            tables[ItemKind.SERVICE],  # type: ignore[arg-type]
        )

    def list_changes(self) -> tuple[Change, ...]:
        """Return the changes that build this document from an empty one."""
        return tuple(
            Change(kind, name, encode_item(item))
            for kind in ItemKind
            for name, item in sorted(self.get_items(kind).items())
        )

    @functools.cached_property
    def digest(self) -> str:
        """Return the SHA-256 digest, in hexadecimal, of the content.

        Equal documents have equal digests.
        """
        encoded = msgspec.json.encode(self.list_changes(), order='sorted')
        return hashlib.sha256(encoded).hexdigest()


def convert_item(kind: ItemKind, body: dict[str, object]) -> Item:
    """Validate the body of a change and return it as an item.

    :raises msgspec.ValidationError: naming the invalid field.
    """
    return msgspec.convert(body, ITEM_MODELS[kind], strict=False)


def encode_item(item: Item) -> dict[str, object]:
    """Return an item as built-in JSON types."""
    return msgspec.to_builtins(item)
