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

"""Tests of invalid rows and messages from other processes."""

import datetime
import unittest

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from lifttrestle.errors import InputRefused
from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.state.catalogue import CallerLimits
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.catalogue import EngineConfig
from lifttrestle.internal.fleet.state.catalogue import Service
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.load_messages import LoadReport
from lifttrestle.internal.fleet.state.operator_view import OperatorView
from lifttrestle.internal.fleet.state.relay_messages import SubscribeRequest
from lifttrestle.internal.fleet.state.relay_messages import TableUpdate
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.rows import RowChanges
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.fleet.state.table_copy import TableCopy
from lifttrestle.internal.fleet.state.weights_view import WeightsPlan
from lifttrestle.internal.fleet.state.weights_view import WeightsView
from lifttrestle.internal.intake.decoding import decode_json
from lifttrestle.internal.intake.decoding import decode_msgpack
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.platform.records import ReportRecord
from lifttrestle.internal.platform.records import RowRecord
from lifttrestle.internal.platform.row_store import _read_row
from lifttrestle.internal.platform.stored_format import MAX_ENTRY_BYTES
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry
from tests.support.memory_rows import MemoryRows

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)
DEEP = b'{"deep":' + b'[' * 5_000
DEEP_PACKED = b'\x91' * 5_000
ENGINE_ENTRY = make_entry(
    service='engines', stage='combined', models=[{'name': 'm', 'version': 1}]
)
REQUIRED_FIELDS = tuple(make_entry())
WRONG_VALUES = {
    'state': ('weird', '', 'READY', None, 1, ['ready']),
    'slots': (-1, 0, '8', 1.5, None, True, [8], 2**53, 2**64, 10**30),
    'address': (
        *('', 'x', '1.2.3.4', '1.2.3.4:99999999', 'a.b:80', None, 9),
        *('1.2.3.4:0', '1.2.3.4:70000', '1.2.3.4:-1', '1.2.3.4:٨٠'),
    ),
    'service': ('', None, 7, 's' * 201, 's\n'),
    'zone': ('', None, {}, 'z' * 201, 'z\x00'),
    'version': (None, 1, ['v1']),
    'seq_no': (None, -1, '1', 1.5, 2**53, 2**64, 10**30),
    'cold_left_ms': ('soon', -1, None, 1e13, 10**30),
    'models': (
        None,
        'm',
        [{'name': 'm'}],
        [{'version': 1}],
        [[]],
        [{'name': 'm', 'version': -1}],
        [{'name': '', 'version': 1}],
        [{'name': 'm' * 201, 'version': 1}],
        [{'name': 'm', 'version': 2**64}],
    ),
    'born': (None, '1767225600000', 1.5, -1, True, [1], 2**53, 10**30),
}
SERVICES = {
    's': Service('s', 8),
    'engines': Service('engines', 8, EngineConfig(8, 9000, ('m',))),
}
CATALOGUE = Catalogue(1, {}, SERVICES, CallerLimits(1, 1, 1.0, 1.0), None)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


class InputCase(unittest.TestCase):
    """Has a directory with one plain upstream and one engine."""

    def setUp(self):
        self.counted = []
        self.refusals = InputRefusals(
            lambda source, fault: self.counted.append((source, fault))
        )
        self.clock = ManualClock(START)
        self.directory = UpstreamDirectory(
            PlatformFormat(), self.clock, self.refusals
        )
        self.directory.get_catalogue = lambda: CATALOGUE
        self.commit = 0
        self.apply_entry('sound', make_entry())
        self.apply_entry('engine', ENGINE_ENTRY)

    def apply_entry(self, key, entry):
        value = entry
        if not isinstance(entry, bytes):
            value = msgspec.json.encode(entry)
        self.commit += 1
        self.directory.apply_row(VersionedRow(key, value, self.commit))

    def list_names(self):
        return sorted(upstream.instance for upstream in self.directory)


class TestEntries(InputCase):
    def test_valid_entry_adds_an_upstream(self):
        self.apply_entry(
            'new', make_entry(born=1767225600000, extra={'a': [1]})
        )
        self.assertEqual(self.list_names(), ['engine', 'new', 'sound'])
        self.assertEqual(self.counted, [])

    def test_entry_without_a_start_time_is_valid(self):
        entry = make_entry()
        self.assertNotIn('born', entry)
        self.assertIn('sound', self.list_names())

    def test_entry_without_a_required_field_is_refused(self):
        for field in REQUIRED_FIELDS:
            with self.subTest(field=field):
                entry = make_entry()
                del entry[field]
                with self.assertLogs('lifttrestle.intake', 'ERROR') as logs:
                    self.apply_entry('new', entry)
                self.assertEqual(len(logs.records), 1)
                self.assertEqual(self.list_names(), ['engine', 'sound'])
                self.assertEqual(self.counted[-1], ('upstreams', 'field'))

    def test_entry_with_an_invalid_field_is_refused(self):
        for field, values in WRONG_VALUES.items():
            for value in values:
                with self.subTest(field=field, value=value):
                    with self.assertLogs('lifttrestle.intake', 'ERROR'):
                        self.apply_entry('new', {**ENGINE_ENTRY, field: value})
                    self.assertEqual(self.list_names(), ['engine', 'sound'])

    def test_odd_software_version_is_an_unknown_one(self):
        for version in ('', 'v' * 201, 'v\n1', 'v\u2028'):
            with self.subTest(version=version):
                entry = make_entry(version=version)
                value = msgspec.json.encode(entry)
                decoded = PlatformFormat().decode_upstream('a', value)
                self.assertIsNone(decoded.software_version)

    def test_undecodable_entry_is_refused(self):
        long = msgspec.json.encode(make_entry(pad='x' * MAX_ENTRY_BYTES))
        faults = {
            b'': 'malformed',
            b'\xff\xfe': 'malformed',
            b'{"service":': 'malformed',
            b'[]': 'field',
            DEEP: 'too deep',
            long: 'too long',
        }
        for value, fault in faults.items():
            with self.subTest(value=value[:20]):
                with self.assertLogs('lifttrestle.intake', 'ERROR'):
                    self.apply_entry('new', value)
                self.assertEqual(self.list_names(), ['engine', 'sound'])
                self.assertEqual(self.counted[-1], ('upstreams', fault))

    def test_name_that_is_not_valid_in_a_header_is_refused(self):
        for key in ('', 'a b', 'a\r\nx: y', 'ä', 'x' * 300):
            with self.subTest(key=key):
                with self.assertLogs('lifttrestle.intake', 'ERROR'):
                    self.apply_entry(key, make_entry())
                self.assertEqual(self.list_names(), ['engine', 'sound'])

    def test_upstream_is_removed_when_its_entry_becomes_invalid(self):
        with self.assertLogs('lifttrestle.intake', 'ERROR'):
            self.apply_entry('sound', b'?')
        self.assertEqual(self.list_names(), ['engine'])
        self.apply_entry('sound', make_entry())
        self.assertEqual(self.list_names(), ['engine', 'sound'])

    def test_service_without_configuration_has_no_upstreams(self):
        self.apply_entry('new', make_entry(service='other'))
        self.assertEqual(self.list_names(), ['engine', 'sound'])
        self.assertEqual(self.directory.list_available('other'), [])

    def test_engine_without_a_model_is_not_used(self):
        self.apply_entry('new', make_entry(service='engines'))
        self.assertEqual(self.list_names(), ['engine', 'sound'])

    @given(st.binary(max_size=200))
    def test_any_bytes_leave_the_others(self, value):
        self.directory.apply_row(VersionedRow('new', value, 1))
        self.assertEqual(self.list_names(), ['engine', 'sound'])

    @given(st.text(), st.sampled_from((*WRONG_VALUES, 'stage')), JSON)
    def test_any_field_leaves_the_others(self, key, field, value):
        data = msgspec.json.encode({**ENGINE_ENTRY, field: value})
        self.directory.apply_row(VersionedRow(f'n{key}', data, 1))
        self.assertLessEqual({'engine', 'sound'}, set(self.list_names()))
        self.directory.apply_row(VersionedRow(f'n{key}', None, 2))


class TestOtherRows(InputCase):
    def test_invalid_plan_has_no_holder_and_can_be_overwritten(self):
        view = WeightsView(self.directory, self.clock, self.refusals)
        plan = msgspec.json.encode(WeightsPlan('r1', 'm', 2))
        other = msgspec.json.encode(WeightsPlan('r1', 'other', 2))
        for commit, value in enumerate((b'?', DEEP, other, None), 10):
            with self.subTest(value=value and value[:20]):
                view.apply_row(VersionedRow('weights/m', plan, commit * 10))
                view.apply_row(
                    VersionedRow('weights/m', value, commit * 10 + 1)
                )
                state = view.get('m')
                self.assertIsNone(state.plan)
                # A write has to name the current version of the row.
                expected = commit * 10 + 1 if value else 0
                self.assertEqual(state.row_version, expected)

    def test_router_with_an_invalid_row_is_counted_but_sent_no_messages(self):
        roster = Roster(MemoryRows(), self.clock, 'me', 'a', self.refusals)
        roster.loaded = True
        for commit, value in enumerate((b'?', DEEP, b'{"address":1}'), 1):
            roster.apply_row(VersionedRow(f'router/{commit}', value, commit))
        self.assertEqual(roster.live, 3)
        self.assertEqual(roster.list_others(), [])
        self.assertEqual(len(self.counted), 3)

    def test_invalid_operator_row_changes_nothing(self):
        view = OperatorView(PlatformFormat(), self.clock, 8.0, self.refusals)
        for key in ('config', 'version/m'):
            for value in (b'?', DEEP, b'{"version":"x"}'):
                view.apply_row(VersionedRow(key, value, 1))
        self.assertIsNone(view.catalogue)
        self.assertEqual(view.target_weights, {})
        self.assertEqual(len(self.counted), 6)

    def test_value_that_is_not_base64_is_read_as_an_empty_value(self):
        with self.assertLogs('lifttrestle.store', 'ERROR'):
            record = RowRecord('servers', 'a', value='abc', ver=4)
            row = _read_row(record, epoch=0)
        self.assertEqual(row, VersionedRow('a', b'', 4))

    def test_regression_value_that_is_not_ascii_ended_the_watch(self):
        row = _read_row(RowRecord('servers', 'a', value='£==', ver=3), 0)
        self.assertEqual(row.value, b'')


class TestListener(unittest.TestCase):
    def test_regression_error_for_one_row_ended_the_watch(self):
        applied = []

        def apply(row):
            if row.key == 'odd':
                raise OverflowError('int too large to convert to float')
            applied.append(row.key)

        copy = TableCopy('servers', ManualClock(START), apply)
        rows = tuple(
            VersionedRow(key, b'{}', version)
            for version, key in enumerate(('a', 'odd', 'b'), 1)
        )
        with self.assertLogs('lifttrestle.table', 'ERROR') as logs:
            copy.apply_snapshot(RowChanges(rows, 3), 0.0)
        self.assertEqual(applied, ['a', 'b'])
        self.assertEqual(copy.version, 3)
        self.assertEqual(logs.records[0].fields['key'], 'odd')


class TestMessages(unittest.TestCase):
    def test_deeply_nested_message_is_refused(self):
        for decode, data, model in (
            (decode_json, DEEP, ReportRecord),
            (decode_msgpack, DEEP_PACKED, LoadReport),
            (decode_msgpack, DEEP_PACKED, SubscribeRequest),
            (decode_msgpack, DEEP_PACKED, TableUpdate),
        ):
            with self.subTest(model=model):
                with self.assertRaises(InputRefused):
                    decode(data, model)

    @given(st.binary(max_size=300))
    def test_any_bytes_are_a_message_or_refused(self, data):
        for model in (LoadReport, SubscribeRequest, TableUpdate):
            try:
                self.assertIsInstance(decode_msgpack(data, model), model)
            except InputRefused:
                pass
