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

"""Combination of the accepted document with a proposed one.

A router that has acknowledged a proposal cannot know which of the two
documents is in force until it learns whether the proposal was accepted or
withdrawn. Until then, it allows only what both documents allow.
"""

import dataclasses

from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.model import Embargo
from lifttrestle.internal.configuration.model import Item
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.model import Workspace


@dataclasses.dataclass(frozen=True)
class CombinedDocument:
    """What two documents both allow.

    :ivar held: models and services that the two documents define differently.
        Requests for them wait until the router learns which is in force.
    """

    document: Document
    held: frozenset[tuple[ItemKind, str]] = frozenset()


def combine_documents(
    old: Document, changes: tuple[Change, ...]
) -> CombinedDocument:
    """Combine ``old`` with the document that results from ``changes``.

    The combined document omits the items that only one of the two contains,
    and the models and services that both define differently.
    """
    new = old.apply(changes)
    held = set()
    tables = {kind: dict(old.get_items(kind)) for kind in ItemKind}
    for kind, name in {(change.kind, change.name) for change in changes}:
        old_item = old.get_items(kind).get(name)
        new_item = new.get_items(kind).get(name)
        combined = _combine_items(old_item, new_item)
        if combined is not None:
            tables[kind][name] = combined
            continue
        tables[kind].pop(name, None)
        if old_item is not None and new_item is not None:
            held.add((kind, name))
    document = Document(
        tables[ItemKind.WORKSPACE],  # type: ignore[arg-type]
        tables[ItemKind.MODEL],  # type: ignore[arg-type]
        tables[ItemKind.SERVICE],  # type: ignore[arg-type]
    )
    return CombinedDocument(document, frozenset(held))


def combine_workspaces(old: Workspace, new: Workspace) -> Workspace:
    """Return a workspace that allows only what both workspaces allow."""
    return Workspace(
        name=new.name,
        data_centres=_intersect(old.data_centres, new.data_centres),
        token_digests=_intersect(old.token_digests, new.token_digests),
        models=_intersect(old.models, new.models),
        services=_intersect(old.services, new.services),
        run_once=tuple(dict.fromkeys(old.run_once + new.run_once)),
        embargoes=_merge_embargoes(old.embargoes + new.embargoes),
        # The larger number is the lower priority.
        priority=max(old.priority, new.priority),
        requests_per_second=min(
            old.requests_per_second, new.requests_per_second
        ),
        concurrent_requests=min(
            old.concurrent_requests, new.concurrent_requests
        ),
    )


def _combine_items(old: Item | None, new: Item | None) -> Item | None:
    if old == new:
        return new
    if isinstance(old, Workspace) and isinstance(new, Workspace):
        return combine_workspaces(old, new)
    return None


def _intersect(old: tuple[str, ...], new: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(value for value in new if value in old)


def _merge_embargoes(embargoes: tuple[Embargo, ...]) -> tuple[Embargo, ...]:
    latest: dict[tuple[str, str], Embargo] = {}
    for embargo in embargoes:
        key = (embargo.service, embargo.path_prefix)
        known = latest.get(key)
        if known is None or known.release < embargo.release:
            latest[key] = embargo
    return tuple(latest.values())
