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

"""A test case with a directory of upstreams."""

import datetime
import unittest

import msgspec

from lifttrestle.internal.clock.manual import ManualClock
from lifttrestle.internal.fleet.state.directory import UpstreamDirectory
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.platform.stored_format import PlatformFormat
from tests.support.entries import make_entry

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)


class DirectoryCase(unittest.TestCase):
    """Has an empty directory and a manual clock."""

    def setUp(self):
        self.clock = ManualClock(START)
        self.directory = UpstreamDirectory(PlatformFormat(), self.clock)
        self.commit = 0

    def put(self, instance, service='s', state='ready', models=()):
        entry = make_entry(
            service=service,
            state=state,
            models=[{'name': 'm', 'version': v} for v in models],
        )
        self.take(instance, msgspec.json.encode(entry))

    def take(self, instance, value):
        self.commit += 1
        self.directory.apply_row(VersionedRow(instance, value, self.commit))

    def list_available(self, service='s'):
        return [
            item.instance for item in self.directory.list_available(service)
        ]
