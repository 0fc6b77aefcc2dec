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

"""Line numbers of the keys in a TOML file.

The TOML library does not keep line numbers. This module finds table
headers and the keys at the start of a line, which suffices for error
messages; a key within an inline table gets the line of the enclosing key.
"""

import re

HEADER_PATTERN = re.compile(r'^\s*(\[\[?)\s*([^\]]+?)\s*\]')
KEY_PATTERN = re.compile(r'^\s*([A-Za-z0-9_.-]+)\s*=')


def find_lines(text: str) -> dict[str, int]:
    """Return the line of each dotted key, counted from 1.

    Entries of an array of tables are indexed from 0: ``upstream[0].name``.
    """
    lines: dict[str, int] = {}
    counts: dict[str, int] = {}
    table = ''
    for number, line in enumerate(text.splitlines(), start=1):
        header = HEADER_PATTERN.match(line)
        if header:
            table = _format_table_key(header, counts)
            lines.setdefault(table, number)
            continue
        key = KEY_PATTERN.match(line)
        if key:
            path = f'{table}.{key.group(1)}' if table else key.group(1)
            lines.setdefault(path, number)
    return lines


def find_line(lines: dict[str, int], key: str) -> int:
    """Return the line of ``key`` or of an enclosing table; 0 if unknown."""
    while key:
        if key in lines:
            return lines[key]
        key = key.rpartition('.')[0] if '.' in key else key.partition('[')[0]
        if key not in lines and '.' not in key and '[' not in key:
            return lines.get(key, 0)
    return 0


def _format_table_key(header: re.Match[str], counts: dict[str, int]) -> str:
    name = header.group(2).strip()
    if header.group(1) != '[[':
        return name
    index = counts.get(name, 0)
    counts[name] = index + 1
    return f'{name}[{index}]'
