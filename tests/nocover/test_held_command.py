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

"""Tests of the command that lists held requests and lifts holds."""

import asyncio
import contextlib
import io
import pathlib
import tempfile
import threading
import unittest

import msgspec

from lifttrestle.internal.cli.main import main
from lifttrestle.internal.fleet.crashes.held_row import build_key
from lifttrestle.internal.fleet.crashes.held_row import format_digest
from lifttrestle.internal.fleet.crashes.suspects import set_kind
from lifttrestle.internal.fleet.crashes.suspects import SuspectKind
from lifttrestle.internal.fleet.state.roster import FLEET_TABLE
from tests.support.fleet_store import FleetStoreStandin

DIGEST = 0xCAE714BDFB5AE264
ROW = {
    'workspace': 'acme',
    'route': 'safe',
    'crashed': 3,
    'held_at_ms': 1_796_270_706_559,
    'by': 'front-a-1',
}


class TestHeld(unittest.TestCase):
    def setUp(self):
        self.store = FleetStoreStandin()
        self.loop = asyncio.new_event_loop()
        address = self.loop.run_until_complete(self.store.start())
        thread = threading.Thread(target=self.loop.run_forever)
        thread.start()
        self.addCleanup(self.loop.close)
        self.addCleanup(thread.join)
        self.addCleanup(self.loop.call_soon_threadsafe, self.loop.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'node.yaml'
        content = {
            'node_name': 'front-a-1',
            'ip': '127.0.0.1',
            'zone': 'a',
            'region': 'r',
            'listen': {'front': '127.0.0.1:1', 'ready': '127.0.0.1:2'},
            'platform': {'address': str(address)},
            'internal_ports': [3, 3],
        }
        self.path.write_bytes(msgspec.yaml.encode(content))
        self.store.rows.put(FLEET_TABLE, 'router/front-a-1', b'{}')
        self.store.rows.put(
            FLEET_TABLE, build_key(DIGEST), msgspec.json.encode(ROW)
        )

    def run_command(self, *arguments):
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            code = main(['held', '--settings', str(self.path), *arguments])
        return code, out.getvalue()

    def test_lists_held_requests(self):
        code, text = self.run_command()
        self.assertEqual(code, 0)
        self.assertIn('cae714bdfb5ae264', text)
        self.assertIn('2026-12-03T', text)
        code, text = self.run_command('--json')
        self.assertEqual(msgspec.json.decode(text)['workspace'], 'acme')

    def test_tells_parts_from_requests(self):
        part = set_kind(DIGEST, SuspectKind.PART)
        self.store.rows.put(
            FLEET_TABLE, build_key(part), msgspec.json.encode(ROW)
        )
        _, text = self.run_command()
        line = next(
            line
            for line in text.splitlines()
            if line.startswith(format_digest(part))
        )
        self.assertEqual(line.split()[1], 'part')
        _, text = self.run_command('--json')
        kinds = [
            msgspec.json.decode(line)['kind'] for line in text.splitlines()
        ]
        self.assertIn('part', kinds)

    def test_lifts_one_hold(self):
        code, text = self.run_command('--lift', 'cae714bdfb5ae264')
        self.assertEqual((code, text), (0, 'cae714bdfb5ae264: lifted\n'))
        row = self.store.rows.get(FLEET_TABLE, build_key(DIGEST))
        self.assertIsNone(row.value)
        code, text = self.run_command('--lift', 'cae714bdfb5ae264')
        self.assertEqual(code, 1)
        self.assertIn('is not held', text)

    def test_invalid_row_does_not_hide_the_others(self):
        self.store.rows.put(FLEET_TABLE, build_key(7), b'{')
        code, text = self.run_command()
        self.assertEqual(code, 0)
        self.assertIn('held/0000000000000007', text)
        self.assertIn('cae714bdfb5ae264', text)
