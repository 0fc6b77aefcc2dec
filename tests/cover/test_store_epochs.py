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

"""Tests of how ``PlatformRowStore`` handles the epoch of the store."""

import asyncio
import unittest

import msgspec

from lifttrestle.errors import ConditionFailed
from lifttrestle.errors import HistoryGone
from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.fleet.state.row_version import build_version
from lifttrestle.internal.fleet.state.rows import NO_ROW
from lifttrestle.internal.fleet.state.rows import RowWrite
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.platform.row_store import PlatformRowStore

ROW = {'table': 't', 'part': '', 'key': 'a', 'value': 'MQ=='}


def make_answer(epoch, status=200, row_vers=(), ver=50, more_pages=False):
    headers = () if epoch is None else (('store-era', str(epoch)),)
    content = {
        'rows': [{**ROW, 'ver': row_ver} for row_ver in row_vers],
        'ver': ver,
        'now_ms': 0,
        'more_pages': more_pages,
    }
    return Answer(status, headers, msgspec.json.encode(content))


class ScriptedClient:
    """Returns prepared answers in order and records the calls."""

    def __init__(self):
        self.answers = []
        self.calls = []

    async def call(self, method, target, content, headers, extra_seconds):
        self.calls.append((target, content))
        return self.answers.pop(0)


class TestEpochs(unittest.TestCase):
    def setUp(self):
        self.client = ScriptedClient()
        self.store = PlatformRowStore(self.client)

    def read(self, *answers):
        self.client.answers += answers
        return asyncio.run(self.store.read_table('t'))

    def watch(self, after, *answers):
        self.client.answers += answers
        return asyncio.run(self.store.watch_table('t', after, 0.0))

    def write(self, expected, *answers):
        self.client.answers += answers
        write = RowWrite('t', 'a', b'1', expected)
        return asyncio.run(self.store.write_row(write))

    def test_versions_include_the_epoch(self):
        changes = self.read(make_answer(2, row_vers=(41,)))
        self.assertEqual(changes.version, build_version(2, 50))
        self.assertEqual(changes.rows[0].version, build_version(2, 41))
        self.watch(build_version(2, 50), make_answer(2, ver=60))
        self.assertIn('after=50&', self.client.calls[-1][0])

    def test_versions_without_epoch_are_commit_numbers(self):
        self.assertEqual(self.read(make_answer(None)).version, 50)
        self.assertEqual(self.watch(50, make_answer(None, ver=51)).version, 51)

    def test_watch_answer_of_a_later_epoch_is_refused(self):
        with self.assertRaises(HistoryGone):
            self.watch(build_version(1, 50), make_answer(2, row_vers=(51,)))

    def test_watch_of_an_earlier_epoch_is_not_sent(self):
        self.read(make_answer(2))
        with self.assertRaises(HistoryGone):
            self.watch(build_version(1, 50))
        self.assertEqual(len(self.client.calls), 1)

    def test_dropped_history_within_an_epoch_is_reported(self):
        with self.assertRaises(HistoryGone):
            self.watch(build_version(1, 50), make_answer(1, status=410))

    def test_answer_of_an_earlier_epoch_is_refused(self):
        self.read(make_answer(2))
        with self.assertRaises(PlatformUnavailable):
            self.read(make_answer(1))

    def test_watch_answer_older_than_the_version_is_refused(self):
        with self.assertRaises(PlatformUnavailable):
            self.watch(build_version(2, 50), make_answer(1))

    def test_missing_epoch_is_refused_once_reported(self):
        self.read(make_answer(1))
        with self.assertRaises(PlatformUnavailable):
            self.read(make_answer(None))

    def test_pages_of_two_epochs_are_refused(self):
        with self.assertRaises(PlatformUnavailable):
            self.read(
                make_answer(1, row_vers=(41,), more_pages=True),
                make_answer(2, row_vers=(41,)),
            )

    def test_write_conditional_on_an_earlier_epoch_is_not_sent(self):
        self.read(make_answer(2))
        with self.assertRaises(ConditionFailed):
            self.write(build_version(1, 41))
        self.assertEqual(len(self.client.calls), 1)

    def test_match_of_a_reused_commit_number_counts_as_unanswered(self):
        with self.assertRaises(PlatformUnavailable):
            self.write(build_version(1, 41), make_answer(2))

    def test_new_row_has_the_epoch_of_the_answer(self):
        version = self.write(NO_ROW, make_answer(2, ver=51))
        self.assertEqual(version, build_version(2, 51))
        _, content = self.client.calls[0]
        self.assertEqual(content['expected'][0]['ver'], 0)

    def test_commit_number_out_of_range_is_refused(self):
        for ver in (-1, 1 << 40):
            with self.assertRaises(PlatformUnavailable):
                self.read(make_answer(1, ver=ver))
