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

"""Tests of the settings: all faults of a file are reported at once.

Each fault names file, line, key, value and remedy.
"""

import pathlib
import tempfile
import unittest

from returns.result import Failure
from returns.result import Success

from lifttrestle.internal.cli.main import main
from lifttrestle.internal.settings.fault import Fault
from lifttrestle.internal.settings.load import check_settings

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
INVALID = """\
[router]
name = ""
vm = 3
colour = "red"

[listen]
callers = "router.example:80"
operators = "127.0.0.1:0"

[platform]
table = "127.0.0.1:99999"
objects = "127.0.0.1:1"
vms = "127.0.0.1:2"
timeout_seconds = 0

[tls]
callers_certificate = "missing.crt"

[log]
level = "loud"

[[upstream]]
name = "one"
kind = "engine"
group = "g"
data_centre = "d"
address = "127.0.0.1:3"
slots = 0

[[upstream]]
name = "one"
kind = "engin"
group = "g"
data_centre = "d"
address = "127.0.0.1:3"
"""
EXPECTED = {
    ('router.name', 2),
    ('router.vm', 3),
    ('router.colour', 4),
    ('router.data_centre', 1),
    ('listen.callers', 7),
    ('listen.peers', 6),
    ('platform.table', 11),
    ('platform.timeout_seconds', 14),
    ('tls.callers_certificate', 17),
    ('log.level', 20),
    ('upstream[0].name', 23),
    ('upstream[0].slots', 28),
    ('upstream[0].can.reports_state', 22),
    ('upstream[1].name', 31),
    ('upstream[1].kind', 32),
}


class TestSettings(unittest.TestCase):
    def find_faults(self, text: str) -> tuple[Fault, ...]:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'router.toml'
            path.write_text(text)
            result = check_settings(path)
        self.assertIsInstance(result, Failure)
        return result.failure()

    def test_all_faults_are_reported_with_their_lines(self) -> None:
        faults = self.find_faults(INVALID)
        found = {(fault.key, fault.line) for fault in faults}
        self.assertEqual(found, EXPECTED)
        for fault in faults:
            self.assertTrue(fault.remedy)
            self.assertIn(fault.value, str(fault))

    def test_body_that_never_fits_is_reported(self) -> None:
        valid = next((ROOT / 'examples').glob('*/*-1.toml')).read_text()
        limits = '\n[http]\nbody_bytes = 10\nmemory_bytes = 12\n'
        faults = self.find_faults(valid + limits)
        self.assertIn('http.body_bytes', {fault.key for fault in faults})

    def test_invalid_toml_is_reported(self) -> None:
        (fault,) = self.find_faults('[router\n')
        self.assertEqual(fault.key, '(file)')

    def test_examples_are_valid(self) -> None:
        paths = sorted((ROOT / 'examples').glob('*/*-1.toml'))
        self.assertEqual(len(paths), 4)
        for path in paths:
            self.assertIsInstance(check_settings(path), Success, path)

    def test_command_exits_with_2_on_a_fault(self) -> None:
        valid = next((ROOT / 'examples').glob('*/*-1.toml'))
        self.assertEqual(main(['check', str(valid)]), 0)
        self.assertEqual(main(['check', '/no/such/file']), 2)


if __name__ == '__main__':
    unittest.main()
