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

"""Tests of the combination of the accepted document with a proposed one."""

import datetime
import unittest

from hypothesis import given
from hypothesis import settings
import hypothesis.strategies as st

from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.combination import combine_documents
from lifttrestle.internal.configuration.combination import combine_workspaces
from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.document import encode_item
from lifttrestle.internal.configuration.model import Embargo
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.model import Model
from lifttrestle.internal.configuration.model import RunOnceRule
from lifttrestle.internal.configuration.model import Workspace

NAMES = st.lists(st.sampled_from('abcd'), unique=True).map(tuple)
RELEASES = st.integers(0, 5).map(
    lambda days: datetime.datetime(
        2026, 12, 1 + days, tzinfo=datetime.timezone.utc
    )
)
EMBARGOES = st.lists(
    st.builds(
        Embargo, st.just('grid-app'), st.sampled_from(('/a', '/b')), RELEASES
    ),
    max_size=2,
    unique_by=lambda item: item.path_prefix,
).map(tuple)
RULES = st.lists(
    st.builds(RunOnceRule, st.sampled_from('ab')), max_size=2, unique=True
).map(tuple)
WORKSPACES = st.builds(
    Workspace,
    name=st.just('daily'),
    data_centres=NAMES,
    token_digests=NAMES,
    models=NAMES,
    services=NAMES,
    run_once=RULES,
    embargoes=EMBARGOES,
    priority=st.integers(0, 9),
    requests_per_second=st.floats(1, 100),
    concurrent_requests=st.integers(1, 100),
)


class TestCombinedDocument(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=300)
    @given(WORKSPACES, WORKSPACES)
    def test_allows_only_what_both_allow(
        self, old: Workspace, new: Workspace
    ) -> None:
        both = combine_workspaces(old, new)
        for one in (old, new):
            for field in ('data_centres', 'token_digests', 'models'):
                self.assertLessEqual(
                    set(getattr(both, field)), set(getattr(one, field))
                )
            self.assertLessEqual(set(both.services), set(one.services))
            self.assertLessEqual(set(one.run_once), set(both.run_once))
            self.assertGreaterEqual(both.priority, one.priority)
            self.assertLessEqual(
                both.requests_per_second, one.requests_per_second
            )
            self.assertLessEqual(
                both.concurrent_requests, one.concurrent_requests
            )
            releases = {
                item.path_prefix: item.release for item in both.embargoes
            }
            for embargo in one.embargoes:
                self.assertGreaterEqual(
                    releases[embargo.path_prefix], embargo.release
                )

    def make_change(self, item: Model | Workspace | None) -> Change:
        kind = ItemKind.MODEL
        if isinstance(item, Workspace):
            kind = ItemKind.WORKSPACE
        return Change(kind, 'm', encode_item(item) if item else None)

    def test_model_with_changed_version_is_held(self) -> None:
        old = Document(models={'m': Model('m', 'v1', 'g')})
        combined = combine_documents(
            old, (self.make_change(Model('m', 'v2', 'g')),)
        )
        self.assertEqual(combined.held, {(ItemKind.MODEL, 'm')})
        self.assertEqual(combined.document.models, {})

    def test_added_or_removed_model_is_omitted_and_not_held(self) -> None:
        old = Document(models={'m': Model('m', 'v1', 'g')})
        removed = combine_documents(old, (self.make_change(None),))
        added = combine_documents(
            Document(), (self.make_change(Model('m', 'v1', 'g')),)
        )
        for combined in (removed, added):
            self.assertEqual(combined.document.models, {})
            self.assertEqual(combined.held, frozenset())


if __name__ == '__main__':
    unittest.main()
