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

"""Tests of the operator's settings in force and of request admission."""

import collections
import datetime
import unittest

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.path.dialect import RequestFacts
from lifttrestle.internal.fleet.policy.admission import admit
from lifttrestle.internal.fleet.settings import Promises
from lifttrestle.internal.fleet.state.operator_view import OperatorView
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.platform.stored_format import PlatformFormat
from lifttrestle.internal.refusal.kind import ErrorKind
from tests.support.fleet import CONFIGURATION
from tests.support.fleet import make_route

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)


class FakeWatch:
    def __init__(self):
        self.age = 0.0

    def get_age(self):
        return self.age


class FakeSettings:
    promises = Promises()


class FakeParts:
    """The parts of a router that admission reads."""

    def __init__(self, view):
        self.view = view
        self.operator_watch = FakeWatch()
        self.settings = FakeSettings()


def make_facts(path='/safe/a', key='k1', host='shop.example'):
    return RequestFacts('r', host, path, key, None, None, None)


class ViewCase(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(START)
        self.view = OperatorView(PlatformFormat(), self.clock, 8.5)
        self.parts = FakeParts(self.view)
        self.commit = 0

    def put(self, key, content):
        self.commit += 1
        row = VersionedRow(key, msgspec.json.encode(content), self.commit)
        self.view.apply_row(row)

    def configure(self, **fields):
        self.put('config', {**CONFIGURATION, **fields})

    def set_target_weights(self, version):
        self.put('version/m', {'model': 'm', 'version': version})


class TestAdmission(ViewCase):
    def get_refusal(self, facts):
        with self.assertRaises(RequestRefused) as caught:
            admit(self.parts, facts)
        return caught.exception

    def test_missing_configuration_is_not_reported_as_a_missing_route(self):
        refused = self.get_refusal(make_facts())
        self.assertIs(refused.kind, ErrorKind.NOT_CONFIGURED)
        self.assertGreater(refused.retry_after, 0)

    def test_longest_prefix_wins(self):
        inner = make_route('safe/inner', 'non_idempotent')
        routes = [*CONFIGURATION['routes'], inner]
        self.configure(routes=routes)
        found = admit(self.parts, make_facts('/safe/inner/x')).route
        self.assertEqual(found.prefix, '/safe/inner/')

    def test_prefix_does_not_match_within_a_path_segment(self):
        self.configure()
        refused = self.get_refusal(make_facts('/safety/x'))
        self.assertIs(refused.kind, ErrorKind.NOT_FOUND)

    def test_stale_view_refuses_with_neither_401_nor_404(self):
        self.configure()
        self.parts.operator_watch.age = 3.1
        for facts in (make_facts(key='new'), make_facts('/new/x')):
            refused = self.get_refusal(facts)
            self.assertIs(refused.kind, ErrorKind.NOT_CONFIGURED)

    def test_known_key_is_served_until_the_view_is_too_old(self):
        self.configure()
        self.parts.operator_watch.age = 4.5
        self.assertEqual(
            admit(self.parts, make_facts()).workspace.name, 'acme'
        )
        self.parts.operator_watch.age = 4.7
        refused = self.get_refusal(make_facts())
        self.assertIs(refused.kind, ErrorKind.NOT_CONFIGURED)

    def test_route_without_keys_is_served_without_the_store(self):
        self.configure()
        self.parts.operator_watch.age = 60.0
        admitted = admit(self.parts, make_facts('/open/x', key=None))
        self.assertIsNone(admitted.workspace)


class TestCacheStores(ViewCase):
    def assign_parts(self, names):
        """Return the store of each of 300 parts."""
        stores = [
            {'name': name, 'kv_store_addr': f'10.0.0.{name[-1]}:9'}
            for name in names
        ]
        self.configure(services=[*CONFIGURATION['services'][:2], *stores])
        catalogue = self.view.catalogue
        self.put('config', {**CONFIGURATION, 'version': 0})
        return {
            part: catalogue.find_cache_store(part).address
            for part in (f'{number:x}' for number in range(300))
        }

    def test_regression_parts_are_distributed_over_all_stores(self):
        # If all parts are assigned to the first store by name, two of three
        # stores are empty.
        assigned = self.assign_parts(['keep1', 'keep2', 'keep3'])
        counts = collections.Counter(assigned.values())
        self.assertEqual(len(counts), 3)
        self.assertGreater(min(counts.values()), 60)

    def test_removed_store_moves_only_its_own_parts(self):
        before = self.assign_parts(['keep1', 'keep2', 'keep3'])
        self.view.catalogue = None
        after = self.assign_parts(['keep1', 'keep2'])
        moved = [part for part in before if before[part] != after[part]]
        self.assertEqual({before[part] for part in moved}, {'10.0.0.3:9'})


class TestVersions(ViewCase):
    @given(st.lists(st.integers(1, 9), min_size=1))
    def test_older_configuration_does_not_replace_a_newer_one(self, versions):
        self.setUp()
        highest = 0
        for version in versions:
            self.configure(version=version)
            highest = max(highest, version)
            self.assertEqual(self.view.catalogue.version, highest)

    def test_unreadable_row_keeps_the_configuration_in_force(self):
        self.configure()
        with self.assertLogs('lifttrestle.intake', 'ERROR'):
            self.view.apply_row(VersionedRow('config', b'{"version":', 9))
        self.assertEqual(self.view.catalogue.version, 3)

    def test_regression_old_weights_are_timed_from_their_replacement(self):
        # If weights are checked by the age of the newest version, an engine
        # that is several versions behind is used for too long: with a version
        # every 4 s, one that was two behind was used for 10.4 s after its
        # weights were replaced.
        self.set_target_weights(1)
        for version in (2, 3):
            self.clock.advance(4.0)
            self.set_target_weights(version)
        history = self.view.target_weights['m']
        self.assertEqual(history.find_replaced_at(1), 4.0)
        self.assertEqual(history.find_replaced_at(2), 8.0)
        self.assertIsNone(history.find_replaced_at(3))

    def test_weights_older_than_the_first_target_expire_early(self):
        self.clock.advance(100.0)
        self.set_target_weights(5)
        replaced_at = self.view.target_weights['m'].find_replaced_at(4)
        self.assertEqual(replaced_at, 100.0 - (8.5 - 3.0))
