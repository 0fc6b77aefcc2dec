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

"""Tests that only one folder uses the platform's names.

The folder translates between the platform and the fleet. Its size is limited,
since it may not decide anything.
"""

import ast
import pathlib
import unittest

from lifttrestle.internal.platform import names

SOURCE = pathlib.Path(__file__).resolve().parents[2] / 'src' / 'lifttrestle'
# Only this folder may name the platform's headers, key scheme and so on.
FOLDER = SOURCE / 'internal' / 'platform'
# Modules that connect the platform to the rest of the program.
IMPORTERS = ('fleet_router.py', 'check.py', 'held.py', 'node_file.py')
PACKAGE = 'lifttrestle.internal.platform'
# Headers of HTTP standards, and names that the API of the product uses too.
SHARED_NAMES = {'authorization', 'last-event-id', 'tenant', 'model'}
# The folder may not exceed this share of the lines of the source.
MAX_SHARE = 0.1


def list_wire_names() -> set[str]:
    found = set(names.SYSTEM_HEADERS)
    for name, value in vars(names).items():
        if name.isupper() and isinstance(value, str):
            found.add(value)
    return {
        value
        for value in found - SHARED_NAMES
        if '-' in value or value.startswith('/') or '_' in value
    }


def list_modules() -> list[pathlib.Path]:
    return [
        path for path in SOURCE.rglob('*.py') if FOLDER not in path.parents
    ]


class TestBoundary(unittest.TestCase):
    def test_no_wire_name_is_used_outside_the_folder(self):
        wire = list_wire_names()
        self.assertIn('expect-instance', wire)
        found = [
            f'{path.relative_to(SOURCE)}: {node.value}'
            for path in list_modules()
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Constant)
            and isinstance(node.value, str)
            and node.value.lower() in wire
        ]
        self.assertEqual(found, [])

    def test_only_the_command_line_imports_the_folder(self):
        importers = [
            path.name for path in list_modules() if PACKAGE in path.read_text()
        ]
        self.assertEqual(sorted(importers), sorted(IMPORTERS))

    def test_folder_is_under_a_tenth_of_the_source(self):
        def count(paths):
            return sum(len(path.read_text().splitlines()) for path in paths)

        inside = count(FOLDER.rglob('*.py'))
        self.assertLess(inside, MAX_SHARE * count(SOURCE.rglob('*.py')))
