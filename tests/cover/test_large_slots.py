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

"""Which services call for decisions that consider single engines."""

import unittest

from lifttrestle.internal.fleet.state.catalogue import EngineConfig


class TestLargeSlots(unittest.TestCase):
    """Guards against decisions that change where no service calls for it."""

    def test_slots_of_a_gigabyte_are_large(self):
        engine = EngineConfig(16, 145_236, ('m',), 163_840.0)
        self.assertTrue(engine.has_large_slots)

    def test_many_small_slots_are_not(self):
        engine = EngineConfig(64, 104_260, ('m',), 163_840.0)
        self.assertFalse(engine.has_large_slots)

    def test_unknown_size_is_not_large(self):
        self.assertFalse(EngineConfig(12, 146_048, ('m',)).has_large_slots)

    def test_engine_without_slots_is_not_large(self):
        self.assertFalse(EngineConfig(0, 0, ('m',), 1.0).has_large_slots)
