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

"""Validates a parsed document against a model and finds every fault.

The validation library stops at the first error. To find all of them, nested
tables are checked recursively and each other field is converted separately.
"""

from collections.abc import Iterator
import typing

import msgspec

Finding = tuple[str, object, str]
MISSING = '(missing)'


def find_schema_faults(
    model: type[msgspec.Struct], data: object, path: str = ''
) -> Iterator[Finding]:
    """Yield (key, value, remedy) for every fault in ``data``.

    :param path: the dotted key of ``data``, which prefixes all keys.
    """
    if not isinstance(data, dict):
        yield path, data, 'use a table'
        return
    fields = {item.name: item for item in msgspec.structs.fields(model)}
    forbids_unknown = model.__struct_config__.forbid_unknown_fields
    for name in data:
        if forbids_unknown and name not in fields:
            known = ', '.join(sorted(fields))
            yield (
                _join(path, name),
                data[name],
                (f'unknown key; remove it or use one of: {known}'),
            )
    for name, field in fields.items():
        if name in data:
            yield from _check_value(field.type, data[name], _join(path, name))
        elif field.required:
            yield _join(path, name), MISSING, 'this key is required; add it'


def _check_value(
    annotation: object, value: object, path: str
) -> Iterator[Finding]:
    model = _get_item_model(annotation)
    if model is not None and isinstance(value, list):
        for index, entry in enumerate(value):
            yield from find_schema_faults(model, entry, f'{path}[{index}]')
        return
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        yield from find_schema_faults(annotation, value, path)
        return
    try:
        msgspec.convert(value, annotation)
    except msgspec.ValidationError as error:
        yield path, value, str(error).lower()


def _get_item_model(annotation: object) -> type[msgspec.Struct] | None:
    for item in typing.get_args(annotation):
        if isinstance(item, type) and issubclass(item, msgspec.Struct):
            return item
    return None


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
