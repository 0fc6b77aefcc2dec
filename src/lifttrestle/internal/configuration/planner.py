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

"""Validates requested changes and makes a plan of them."""

import datetime
import re

import msgspec

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.document import convert_item
from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.document import encode_item
from lifttrestle.internal.configuration.model import Item
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.model import Workspace
from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.refusal.kind import ErrorKind

NAME = re.compile(r'[a-z0-9][a-z0-9._-]{0,62}')
DIGEST = re.compile(r'[0-9a-f]{64}')
MAX_PRIORITY = 9


def make_plan(
    plan_id: str,
    revision: int,
    document: Document,
    changes: tuple[Change, ...],
    made_by: str,
    now: datetime.datetime,
) -> Plan:
    """Return a drafted plan against ``document``.

    :param revision: the revision of ``document``.
    :raises RequestRefused: naming the invalid field and its value.
    """
    if not changes:
        raise _refuse('changes', [], 'the plan changes nothing; add a change')
    for index, change in enumerate(changes):
        _check_change(f'changes[{index}]', change)
    after = document.apply(changes)
    for workspace in after.workspaces.values():
        _check_references(workspace, after)
    _check_tokens(after)
    return Plan(
        plan_id=plan_id,
        base=revision,
        changes=changes,
        concerns=find_concerns(document, after, changes),
        differences=tuple(list_differences(document, after, changes)),
        made_by=made_by,
        made_at=now,
    )


def find_concerns(
    before: Document, after: Document, changes: tuple[Change, ...]
) -> tuple[str, ...]:
    """Return the data centres whose routers any of the changes affects.

    A change of a workspace affects its data centres before and after it. A
    change of a model or service affects the data centres of every workspace
    that may use it, before or after the change.
    """
    concerned: set[str] = set()
    for change in changes:
        for document in (before, after):
            for workspace in document.workspaces.values():
                if _affects(change, workspace):
                    concerned.update(workspace.data_centres)
    return tuple(sorted(concerned))


def list_differences(
    before: Document, after: Document, changes: tuple[Change, ...]
) -> list[str]:
    """Return one human-readable line for each field that differs."""
    lines = []
    for change in changes:
        old = _encode_nonempty_fields(
            before.get_items(change.kind).get(change.name)
        )
        new = _encode_nonempty_fields(
            after.get_items(change.kind).get(change.name)
        )
        title = f'{change.kind.value} {change.name}'
        for field in sorted(old.keys() | new.keys()):
            if old.get(field) != new.get(field):
                was = old.get(field, 'absent')
                now = new.get(field, 'absent')
                lines.append(f'{title}: {field}: {was} -> {now}')
    return lines


def _check_change(path: str, change: Change) -> None:
    if not NAME.fullmatch(change.name):
        raise _refuse(
            f'{path}.name',
            change.name,
            'use 1 to 63 of a-z, 0-9, ".", "_" and "-"',
        )
    if change.body is None:
        return
    try:
        item = convert_item(change.kind, change.body)
    except msgspec.ValidationError as error:
        raise _refuse(f'{path}.body', change.body, str(error)) from None
    if item.name != change.name:
        raise _refuse(
            f'{path}.body.name', item.name, f'write {change.name!r} here'
        )
    if isinstance(item, Workspace):
        _check_workspace(f'{path}.body', item)


def _check_workspace(path: str, workspace: Workspace) -> None:
    if not workspace.data_centres:
        raise _refuse(
            f'{path}.data_centres', [], 'name one data centre or more'
        )
    for digest in workspace.token_digests:
        if not DIGEST.fullmatch(digest):
            raise _refuse(
                f'{path}.token_digests',
                digest,
                'write the SHA-256 of the token as 64 hexadecimal digits',
            )
    if not 0 <= workspace.priority <= MAX_PRIORITY:
        raise _refuse(
            f'{path}.priority',
            workspace.priority,
            f'write 0 to {MAX_PRIORITY}',
        )
    for field in ('requests_per_second', 'concurrent_requests'):
        value = getattr(workspace, field)
        if not value > 0:
            raise _refuse(f'{path}.{field}', value, 'write a number above 0')
    for embargo in workspace.embargoes:
        if embargo.release.tzinfo is None:
            raise _refuse(
                f'{path}.embargoes.release',
                embargo.release.isoformat(),
                'add the offset from UTC, such as Z',
            )


def _check_references(workspace: Workspace, document: Document) -> None:
    for field, names, known in (
        ('models', workspace.models, document.models),
        ('services', workspace.services, document.services),
    ):
        for name in names:
            if name not in known:
                raise _refuse(
                    f'workspace {workspace.name}.{field}',
                    name,
                    'add it to the configuration first, or in this plan',
                )


def _check_tokens(document: Document) -> None:
    owners: dict[str, str] = {}
    for workspace in document.workspaces.values():
        for digest in workspace.token_digests:
            owner = owners.setdefault(digest, workspace.name)
            if owner != workspace.name:
                raise _refuse(
                    f'workspace {workspace.name}.token_digests',
                    digest,
                    f'workspace {owner} has this token; use another',
                )


def _affects(change: Change, workspace: Workspace) -> bool:
    names = {
        ItemKind.WORKSPACE: (workspace.name,),
        ItemKind.MODEL: workspace.models,
        ItemKind.SERVICE: workspace.services,
    }
    return change.name in names[change.kind]


def _encode_nonempty_fields(item: Item | None) -> dict[str, object]:
    if item is None:
        return {}
    return {key: value for key, value in encode_item(item).items() if value}


def _refuse(field: str, value: object, remedy: str) -> RequestRefused:
    return RequestRefused(
        ErrorKind.INVALID_VALUE,
        f'{field} = {value!r}: {remedy}',
        field=field,
    )
