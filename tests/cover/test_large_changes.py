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

"""Tests of the storage of changes that are too large for a row."""

import datetime
import unittest

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.large_changes import LargeChanges
from lifttrestle.internal.configuration.large_changes import MAX_ROW_BYTES
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.store.objects import ObjectStore

START = datetime.datetime(2026, 12, 2, tzinfo=datetime.timezone.utc)


class MemoryObjects(ObjectStore):
    def __init__(self):
        self.bodies = {}

    async def put(self, key, body):
        self.bodies[key] = body

    async def get(self, key):
        return self.bodies.get(key)


def make_plan(size):
    change = Change(ItemKind.MODEL, 'm', {'text': 'x' * size})
    return Plan('p', 3, (change,), ('a',), (), 'someone', START)


class TestLargeChanges(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.objects = MemoryObjects()
        self.large_changes = LargeChanges(self.objects)

    async def test_small_change_stays_in_its_row(self):
        plan = make_plan(100)
        stored = await self.large_changes.offload(4, plan)
        self.assertEqual(stored.changes, plan.changes)
        self.assertEqual(self.objects.bodies, {})
        self.assertEqual(await self.large_changes.load(stored), stored)

    async def test_large_change_is_offloaded_and_loaded_again(self):
        plan = make_plan(MAX_ROW_BYTES)
        stored = await self.large_changes.offload(4, plan)
        self.assertEqual(stored.changes, ())
        self.assertEqual(list(self.objects.bodies), [stored.object_key])
        loaded = await self.large_changes.load(stored)
        self.assertEqual(loaded.changes, plan.changes)
        self.assertEqual((loaded.revision, loaded.plan_id), (4, 'p'))

    async def test_missing_object_is_an_error_and_no_empty_change(self):
        stored = await self.large_changes.offload(4, make_plan(MAX_ROW_BYTES))
        self.objects.bodies.clear()
        with self.assertRaisesRegex(PlatformUnavailable, stored.object_key):
            await self.large_changes.load(stored)
