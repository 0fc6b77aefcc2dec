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

"""What the choice of an upstream depends on besides the upstreams."""

from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.policy.admission import AdmittedRequest
from lifttrestle.internal.fleet.policy.engine_costs import PlacementContext


def build_context(
    parts: FleetParts,
    admitted: AdmittedRequest,
    service: str,
    urgency: int,
    generation: Generation | None,
) -> PlacementContext:
    """Return the context of a choice that is made now.

    :param urgency: priority of the request at upstreams.
    """
    now = parts.clock.monotonic()
    target = None
    if generation is not None:
        target = parts.view.target_weights.get(generation.model)
    return PlacementContext(
        now=now,
        data_centre=parts.settings.data_centre,
        target_version=target.version if target is not None else 0,
        urgency=urgency,
        slots=_get_slots(admitted, service),
        prefill_seconds=parts.get_pace(service).prefill_seconds,
        fetch_seconds=admitted.catalogue.get_fetch_seconds(service),
        conditions=parts.engine_speeds.get_conditions(service, now),
    )


def _get_slots(admitted: AdmittedRequest, service: str) -> int:
    """Return the slots of an engine of a service, zero if it has none."""
    facts = admitted.catalogue.services.get(service)
    if facts is None or facts.engine is None:
        return 0
    return facts.engine.slots
