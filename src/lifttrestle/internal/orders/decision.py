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

"""Which engines have to load other weights."""

from collections.abc import Iterable

from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.model import Model
from lifttrestle.internal.configuration.view import View
from lifttrestle.internal.upstream.report import EngineReport
from lifttrestle.internal.upstream.state import UpstreamState

# An order's number grows with the lease and, under one lease, with the
# revision, so that a late order never undoes a newer one.
REVISIONS = 10**9


def number_order(fencing: int, revision: int) -> int:
    """Return the fencing number of an order."""
    return fencing * REVISIONS + revision


def find_orders(
    view: View, upstreams: Iterable[UpstreamState], data_centre: str
) -> list[tuple[UpstreamState, Model]]:
    """Return the engines to be ordered, each with the model to load.

    Only engines of this data centre that check the fencing number: an order
    to load weights switches them, so to an engine that does not check, a late
    one would bring older weights back. Their operators load those.
    """
    found = []
    for upstream in upstreams:
        settings = upstream.settings
        if settings.data_centre != data_centre:
            continue
        if not settings.can.checks_fencing:
            continue
        if not isinstance(upstream.report, EngineReport):
            continue
        for model in view.accepted.models.values():
            if model.group != settings.group:
                continue
            if view.is_held(ItemKind.MODEL, model.name):
                continue
            if upstream.report.versions.get(model.name) != model.version:
                found.append((upstream, model))
    return found
