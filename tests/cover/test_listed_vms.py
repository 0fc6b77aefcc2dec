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

"""Tests that a VM counts as gone only after it was listed."""

import unittest

from lifttrestle.internal.membership.listed_vms import ListedVms


class TestListedVms(unittest.TestCase):
    def test_vm_is_gone_only_after_it_was_listed(self):
        listed = ListedVms()
        listed.update({'a'})
        self.assertFalse(listed.is_gone('b'))
        listed.update({'b'})
        self.assertTrue(listed.is_gone('a'))
        self.assertFalse(listed.is_gone('b'))
        listed.update({'a', 'b'})
        self.assertFalse(listed.is_gone('a'))
        self.assertTrue(listed.was_listed('a'))
