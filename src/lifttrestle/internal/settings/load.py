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

"""Reads and validates a settings file; reports all of its faults at once."""

import pathlib

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from lifttrestle.errors import SettingsInvalid
from lifttrestle.internal.settings.fault import Fault
from lifttrestle.internal.settings.lines import find_line
from lifttrestle.internal.settings.lines import find_lines
from lifttrestle.internal.settings.router import RouterSettings
from lifttrestle.internal.settings.rules import find_rule_faults
from lifttrestle.internal.settings.schema import find_schema_faults
from lifttrestle.internal.settings.schema import Finding

FILE_KEYS = ('tokens_file', 'token_file')


def check_settings(
    path: pathlib.Path,
) -> Result[RouterSettings, tuple[Fault, ...]]:
    """Return the settings, or every fault in the file.

    Relative paths in the file are resolved against its directory.
    """
    try:
        text = path.read_text(encoding='utf-8')
        data = msgspec.toml.decode(text)
    except (OSError, ValueError) as error:
        return Failure((_make_file_fault(path, error),))
    _resolve_paths(data, path.parent)
    findings = [
        *find_schema_faults(RouterSettings, data),
        *find_rule_faults(data),
    ]
    if findings:
        return Failure(_make_faults(path, text, findings))
    return Success(msgspec.convert(data, RouterSettings))


def load_settings(path: pathlib.Path) -> RouterSettings:
    """Return the settings in a file.

    :raises SettingsInvalid: listing every fault, one per line.
    """
    result = check_settings(path)
    if isinstance(result, Failure):
        lines = [str(fault) for fault in result.failure()]
        raise SettingsInvalid('\n'.join(lines))
    return result.unwrap()


def _make_file_fault(path: pathlib.Path, error: Exception) -> Fault:
    return Fault(str(path), 0, '(file)', str(error), 'use a valid TOML file')


def _make_faults(
    path: pathlib.Path, text: str, findings: list[Finding]
) -> tuple[Fault, ...]:
    lines = find_lines(text)
    return tuple(
        Fault(str(path), find_line(lines, key), key, repr(value), remedy)
        for key, value, remedy in findings
    )


def _resolve_paths(data: dict[str, object], folder: pathlib.Path) -> None:
    for section in data.values():
        if not isinstance(section, dict):
            continue
        for key, value in section.items():
            if _is_path_key(key) and isinstance(value, str) and value:
                section[key] = str(folder / value)


def _is_path_key(key: str) -> bool:
    return key in FILE_KEYS or key.endswith(('_certificate', '_key'))
