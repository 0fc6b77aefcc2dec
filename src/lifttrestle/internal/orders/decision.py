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

"""Determines which engines have to load other weights."""

from collections.abc import Iterable

from lifttrestle.internal.configuration.model import ItemKind
from lifttrestle.internal.configuration.model import Model
from lifttrestle.internal.configuration.view import View
from lifttrestle.internal.upstream.report import EngineReport
from lifttrestle.internal.upstream.state import UpstreamState

# The number of an order grows with the fencing number of the lease and, within
# one lease, with the revision, so that a delayed order never undoes a newer
# one.
FENCING_FACTOR = 10**9


def compute_order_number(fencing: int, revision: int) -> int:
    """Return the fencing number of an order.

    :param fencing: fencing number of the lease.
    :param revision: revision of the configuration, below
        ``FENCING_FACTOR``.
    """
    return fencing * FENCING_FACTOR + revision


def find_orders(
    view: View, upstreams: Iterable[UpstreamState], data_centre: str
) -> list[tuple[UpstreamState, Model]]:
    """Return the engines that need an order, each with the model to load.

    Only engines of this data centre that check the fencing number get orders.
    An order to load weights also activates them, so on an engine that does
    not check, a delayed order would restore older weights. The operators of
    such engines load the weights themselves.
    """
    due = []
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
                due.append((upstream, model))
    return due
