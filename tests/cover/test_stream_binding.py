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

"""Which upstreams may continue a stream that another one began."""

import collections

import msgspec

from lifttrestle.errors import InputRefused
from lifttrestle.internal.fleet.policy.software_room import leave_room
from lifttrestle.internal.fleet.policy.software_room import prefer_stored
from lifttrestle.internal.fleet.streams.binding import StreamBinding
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.directories import DirectoryCase
from tests.support.entries import make_entry


class BindingCase(DirectoryCase):
    def setUp(self):
        super().setUp()
        self.binding = StreamBinding()

    def list_upstream(self, name, **fields):
        """Write an entry and return the upstream."""
        self.take(name, msgspec.json.encode(make_entry(**fields)))
        return self.directory.get(name)


class TestBinding(BindingCase):
    def _select(self, *upstreams):
        return self.binding.select(list(upstreams))

    def test_any_upstream_may_serve_before_the_first_event(self):
        first = self.list_upstream('a', version='v1')
        other = self.list_upstream('b', version='v2')
        self.assertEqual(self._select(first, other), [first, other])

    def test_first_event_determines_the_version(self):
        first = self.list_upstream('a', version='v1')
        same = self.list_upstream('b', version='v1')
        other = self.list_upstream('c', version='v2')
        self.binding.note_begun(first)
        self.binding.note_begun(other)
        self.assertEqual(self._select(first, same, other), [first, same])

    def test_service_with_the_same_version_is_another_origin(self):
        first = self.list_upstream('a', version='v1')
        other = self.list_upstream('b', version='v1', service='t')
        self.binding.note_begun(first)
        self.assertEqual(self._select(first, other), [first])

    def test_unknown_version_allows_the_same_start_only(self):
        first = self.list_upstream('a', version='')
        other = self.list_upstream('b', version='')
        self.binding.note_begun(first)
        self.assertEqual(self._select(first, other), [first])


class TestEntries(BindingCase):
    def test_version_that_is_empty_or_too_long_is_not_known(self):
        for version in ('', 'v' * 201):
            with self.subTest(length=len(version)):
                value = msgspec.json.encode(make_entry(version=version))
                entry = PlatformFormat().decode_upstream('a', value)
                self.assertIsNone(entry.software_version)

    def test_version_that_is_no_text_is_refused(self):
        value = msgspec.json.encode(make_entry(version=1))
        with self.assertRaises(InputRefused):
            PlatformFormat().decode_upstream('a', value)

    def test_other_version_is_another_start(self):
        before = self.list_upstream('a', version='v1', born=5)
        after = self.list_upstream('a', version='v2', born=5)
        self.assertIsNot(after, before)
        self.binding.note_begun(before)
        self.assertEqual(self.binding.select([after]), [])

    def test_start_seen_in_an_answer_has_no_version_until_it_is_listed(self):
        known = self.list_upstream('a', version='v1', born=5)
        self.directory.note_start(known, 6, {})
        started = self.directory.get('a')
        self.assertIsNone(started.entry.software_version)
        self.binding.note_begun(known)
        self.assertEqual(self.binding.select([started]), [])
        listed = self.list_upstream('a', version='v1', born=6)
        self.assertIs(listed, started)
        self.assertEqual(self.binding.select([listed]), [listed])

    def test_invalid_version_does_not_replace_a_known_one(self):
        known = self.list_upstream('a', version='v1')
        self.list_upstream('a', version='')
        self.assertEqual(self.directory.get('a').entry.software_version, 'v1')
        self.assertIs(self.directory.get('a'), known)


class TestRoom(BindingCase):
    def _list_loaded(self, name, version, in_flight):
        upstream = self.list_upstream(name, version=version, slots=8)
        upstream.in_flight = in_flight
        return upstream

    def _leave_room(self, *upstreams):
        listed = collections.Counter(
            item.entry.software_version for item in self.directory
        )
        return leave_room(list(upstreams), listed)

    def test_new_stream_avoids_upstreams_that_are_nearly_full(self):
        full = self._list_loaded('a', 'v1', 6)
        idle = self._list_loaded('b', 'v2', 5)
        self.assertEqual(self._leave_room(full, idle), [idle])

    def test_load_of_other_routers_counts(self):
        full = self._list_loaded('a', 'v1', 3)
        full.peers_in_flight = 3
        idle = self._list_loaded('b', 'v2', 0)
        self.assertEqual(self._leave_room(full, idle), [idle])

    def test_room_of_the_smaller_version_is_kept_when_all_are_full(self):
        few = self._list_loaded('a', 'v2', 7)
        many = [self._list_loaded(name, 'v1', 7) for name in 'bc']
        self.assertEqual(self._leave_room(few, *many), many)
        # The others were tried before.
        self.assertEqual(self._leave_room(few), [])

    def test_new_stream_avoids_versions_that_are_not_stored(self):
        old = self._list_loaded('a', 'v1', 5)
        new = self._list_loaded('b', 'v2', 0)
        self.assertEqual(prefer_stored([old, new], {'v1'}), [old])
        self.assertEqual(prefer_stored([new], {'v1'}), [new])
        self.assertEqual(prefer_stored([old, new], None), [old, new])

    def test_one_version_needs_no_room(self):
        upstreams = [
            self._list_loaded('a', 'v1', 7),
            self._list_loaded('b', 'v1', 0),
        ]
        self.assertEqual(self._leave_room(*upstreams), upstreams)
