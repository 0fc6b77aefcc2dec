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

"""Tests of the numbers that identify parts of prompts."""

import types
import unittest

from hypothesis import given
from hypothesis import strategies as st

from lifttrestle.internal.fleet.crashes.suspects import get_kind
from lifttrestle.internal.fleet.crashes.suspects import set_kind
from lifttrestle.internal.fleet.crashes.suspects import SuspectKind
from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.path.dialect import PromptPart
from lifttrestle.internal.fleet.path.request_digest import build_part_digests


def build(*part_ids, model='m', service='writer', isolated=''):
    workspace = types.SimpleNamespace(name=isolated, isolated=bool(isolated))
    parts = tuple(PromptPart(part_id, 100) for part_id in part_ids)
    return build_part_digests(
        types.SimpleNamespace(workspace=workspace),
        service,
        Generation(model, 300, 10, parts),
    )


class TestPartDigests(unittest.TestCase):
    def test_last_part_has_none(self):
        self.assertEqual(len(build('a', 'b', 'c')), 2)
        self.assertEqual(build('a'), ())

    def test_request_without_a_prompt_has_none(self):
        self.assertEqual(build_part_digests(None, 'writer', None), ())

    def test_part_is_the_same_beside_other_parts(self):
        self.assertEqual(build('a', 'b', 'c')[1], build('x', 'b', 'y')[1])

    def test_part_of_another_model_or_service_is_another(self):
        one = build('a', 'b', 'c')
        for other in (
            build('a', 'b', 'c', model='n'),
            build('a', 'b', 'c', service='reader'),
        ):
            self.assertFalse(set(one) & set(other))

    def test_part_of_an_isolated_workspace_is_its_own(self):
        one = build('a', 'b', 'c', isolated='vault')
        self.assertFalse(set(one) & set(build('a', 'b', 'c')))
        other = build('a', 'b', 'c', isolated='safe')
        self.assertFalse(set(one) & set(other))

    def test_first_part_is_told_from_others(self):
        kinds = [get_kind(digest) for digest in build('a', 'b', 'c', 'd')]
        self.assertEqual(
            kinds,
            [SuspectKind.FIRST_PART, SuspectKind.PART, SuspectKind.PART],
        )

    @given(st.integers(0, 2**64 - 1), st.sampled_from(SuspectKind))
    def test_kind_is_kept_with_the_digest(self, number, kind):
        digest = set_kind(number, kind)
        self.assertIs(get_kind(digest), kind)
        self.assertLess(digest, 2**64)

    @given(st.integers(0, 2**64 - 1))
    def test_any_number_has_a_kind(self, number):
        self.assertIn(get_kind(number), SuspectKind)
