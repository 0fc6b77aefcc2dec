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

"""Tests of the settings file of the platform: format, faults, reload."""

import asyncio
import contextlib
import dataclasses
import io
import pathlib
import tempfile
import unittest

import msgspec

from lifttrestle.internal.cli.fleet_router import SettingsFile
from lifttrestle.internal.cli.main import main
from lifttrestle.internal.platform.node_settings import check_node_settings
from tests.support.fleet import run_fleet
from tests.support.fleet import wait_until

VALID = """
node_name: "front-a-1"
ip: "10.1.0.30"
zone: "a"
region: "r"
future_field: 7
listen: {front: "10.1.0.30:8782", ready: "10.1.0.30:8789"}
platform: {address: "10.200.1.7:8784", form: "table"}
contract_params: {revoke_ms: 4000, retry_slack: 56, lease_ms: 3000}
"""
INVALID = """
node_name: 7
ip: "10.1.0.30"
zone: "a"
listen: {front: "10.1.0.30:8782"}
platform: {address: "10.200.1.7:8784"}
contract_params: {revoke_ms: "soon"}
"""


class TestNodeSettings(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'local.yaml'

    def check(self, text):
        self.path.write_text(text)
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = main(['check', str(self.path)])
        return code, out.getvalue()

    def test_unknown_fields_are_ignored(self):
        code, out = self.check(VALID)
        self.assertEqual((code, out), (0, f'{self.path}: good\n'))

    def test_milliseconds_become_seconds(self):
        self.path.write_text(VALID)
        settings = check_node_settings(self.path, 9464).unwrap()
        self.assertEqual(settings.promises.revoke_seconds, 4.0)
        self.assertEqual(settings.metrics_address, '10.1.0.30:9464')

    def test_json_and_yaml_give_the_same_settings(self):
        self.path.write_text(VALID)
        settings = check_node_settings(self.path, 9464).unwrap()
        data = msgspec.yaml.decode(VALID)
        self.path.write_bytes(b'\n' + msgspec.json.encode(data))
        from_json = check_node_settings(self.path, 9464).unwrap()
        self.assertEqual(from_json, settings)

    def test_malformed_json_is_reported(self):
        code, out = self.check('{"node_name": 7,')
        self.assertEqual(code, 2)
        self.assertIn('(file)', out)

    def test_unchanged_file_is_not_parsed_again(self):
        self.path.write_text(VALID)
        file = SettingsFile(self.path, 0)
        self.assertIsNotNone(file.read_changed())
        self.assertIsNone(file.read_changed())
        self.path.write_text(VALID.replace('4000', '4500'))
        self.assertEqual(file.read_changed().promises.revoke_seconds, 4.5)

    def test_all_faults_are_reported_together(self):
        code, out = self.check(INVALID)
        self.assertEqual(code, 2)
        for key in (
            'node_name',
            'region',
            'listen.ready',
            'contract_params.revoke_ms',
        ):
            self.assertIn(key, out)


class TestReload(unittest.IsolatedAsyncioTestCase):
    async def test_changed_settings_are_applied_without_a_restart(self):
        async with run_fleet() as fleet:
            router = fleet.router
            changed = dataclasses.replace(
                router.settings,
                promises=dataclasses.replace(
                    router.settings.promises, retry_slack=8.0
                ),
            )
            follow_task = asyncio.create_task(
                router.follow_settings(lambda: changed)
            )
            router.request_reload()
            await wait_until(lambda: router.settings == changed)
            follow_task.cancel()
            answer = await fleet.call('/safe/a')
        self.assertEqual(answer.status, 200)
