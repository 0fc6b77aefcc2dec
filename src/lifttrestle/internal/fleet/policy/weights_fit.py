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

"""Decides which engines may begin a generation, by the weights they hold."""

from lifttrestle.internal.fleet.state.operator_view import WantedWeights
from lifttrestle.internal.fleet.state.upstream import FleetUpstream

# Nothing begins on weights that were replaced longer ago than this share of
# the time that operators allow; the rest is for a request on its way.
OLD_WEIGHTS_SHARE = 0.85


def select_engines(
    engines: list[FleetUpstream],
    model: str,
    wanted: WantedWeights | None,
    now: float,
    weights_seconds: float,
) -> list[FleetUpstream]:
    """Return the engines that may begin a generation now.

    :param wanted: the model's newest weights, None if none were named.
    :param weights_seconds: after which none may begin on replaced weights.
    """
    loaded = [item for item in engines if model in item.weights]
    idle = [item for item in loaded if item.busy_until <= now]
    # An engine that loads turns requests away at once; when all do, one of
    # them may have ended, or may not have had its order.
    idle = idle or loaded
    if wanted is None:
        return idle
    oldest = now - weights_seconds * OLD_WEIGHTS_SHARE
    fit = []
    for item in idle:
        replaced_at = wanted.find_replaced(item.weights[model])
        if replaced_at is None or replaced_at > oldest:
            fit.append(item)
    return fit
