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

"""Selects the engines whose weights are recent enough for a generation."""

from lifttrestle.internal.fleet.state.operator_view import TargetWeightsHistory
from lifttrestle.internal.fleet.state.upstream import FleetUpstream

# No generation starts on weights that were replaced longer ago than this
# fraction of the time that operators allow; the rest is for requests in
# transit.
OLD_WEIGHTS_SHARE = 0.85


def select_engines(
    engines: list[FleetUpstream],
    model: str,
    target: TargetWeightsHistory | None,
    now: float,
    weights_seconds: float,
) -> list[FleetUpstream]:
    """Return the engines that may start a generation now.

    :param target: newest weights of the model, None if none were specified.
    :param weights_seconds: time after which no generation may start on
        replaced weights.
    """
    loaded = [item for item in engines if model in item.weights]
    idle = [item for item in loaded if item.busy_until <= now]
    # An engine declines requests at once while it loads weights. If all
    # engines seem to load, one may have finished, or not have received its
    # order.
    idle = idle or loaded
    if target is None:
        return idle
    oldest = now - weights_seconds * OLD_WEIGHTS_SHARE
    recent = []
    for item in idle:
        replaced_at = target.find_replaced_at(item.weights[model])
        if replaced_at is None or replaced_at > oldest:
            recent.append(item)
    return recent
