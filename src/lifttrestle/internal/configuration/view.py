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

"""What one router knows of the configuration at one moment."""

import dataclasses

from lifttrestle.internal.configuration.document import Document
from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.configuration.stricter import combine_documents
from lifttrestle.internal.configuration.stricter import Stricter


@dataclasses.dataclass(frozen=True)
class View:
    """The accepted document, a known proposal, and what to obey.

    :ivar proposal: a plan that this router has acknowledged or is about
        to; until its fate is known the stricter of both is obeyed.
    """

    revision: int
    accepted: Document
    proposal: Plan | None = None
    obeyed: Stricter = dataclasses.field(
        default_factory=lambda: Stricter(Document())
    )

    @property
    def document(self) -> Document:
        """Return the document to obey."""
        return self.obeyed.document

    def is_held(self, kind: ItemKind, name: str) -> bool:
        """Return whether requests for an item must wait."""
        return (kind, name) in self.obeyed.held


def build_view(
    revision: int, accepted: Document, proposal: Plan | None
) -> View:
    """Return the view with the stricter document worked out."""
    if proposal is None:
        return View(revision, accepted, None, Stricter(accepted))
    obeyed = combine_documents(accepted, proposal.changes)
    return View(revision, accepted, proposal, obeyed)


EMPTY_VIEW = build_view(0, Document(), None)
