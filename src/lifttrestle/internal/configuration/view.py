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

"""The configuration as one router knows it, immutable."""

import dataclasses

from lifttrestle.internal.configuration.combination import combine_documents
from lifttrestle.internal.configuration.combination import CombinedDocument
from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.plan import Plan


@dataclasses.dataclass(frozen=True)
class View:
    """The accepted document, a pending proposal and their combination.

    :ivar proposal: a plan that this router enforces along with the accepted
        document until it is accepted or withdrawn.
    :ivar effective: what the accepted document and the proposal both allow.
    """

    revision: int
    accepted: Document
    proposal: Plan | None = None
    effective: CombinedDocument = dataclasses.field(
        default_factory=lambda: CombinedDocument(Document())
    )

    @property
    def document(self) -> Document:
        """Return the document to enforce."""
        return self.effective.document

    def is_held(self, kind: ItemKind, name: str) -> bool:
        """Return whether requests for an item must wait."""
        return (kind, name) in self.effective.held


def build_view(
    revision: int, accepted: Document, proposal: Plan | None
) -> View:
    """Return a view with the combination of both documents."""
    if proposal is None:
        return View(revision, accepted, None, CombinedDocument(accepted))
    effective = combine_documents(accepted, proposal.changes)
    return View(revision, accepted, proposal, effective)


EMPTY_VIEW = build_view(0, Document(), None)
