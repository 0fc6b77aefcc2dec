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

"""Keeps room for streams that only one software version may continue.

While several versions serve, a stream that continues can use a part of the
upstreams only, and a new one all of them.
"""

from collections.abc import Mapping
from collections.abc import Set

from lifttrestle.internal.fleet.policy.admission import MAX_URGENCY
from lifttrestle.internal.fleet.state.upstream import FleetUpstream

# New streams leave the rest of the slots of each upstream to streams that
# continue: enough for those of a second upstream that fails at a third of its
# load.
MAX_NEW_SHARE = 0.75


def leave_room(
    upstreams: list[FleetUpstream], listed: Mapping[str | None, int]
) -> list[FleetUpstream]:
    """Return the upstreams for a new stream.

    While several versions serve, those that are nearly full are left out. If
    all are, only those of the version with most upstreams remain.

    :param listed: number of upstreams of each version of the service.
    """
    if len(listed) < 2:
        return upstreams
    roomy = [item for item in upstreams if _get_load(item) < MAX_NEW_SHARE]
    if roomy:
        return roomy
    largest = max(listed, key=lambda version: (listed[version], str(version)))
    return [
        item for item in upstreams if item.entry.software_version == largest
    ]


def prefer_stored(
    upstreams: list[FleetUpstream], stored: Set[str | None] | None
) -> list[FleetUpstream]:
    """Return the upstreams for a new stream that its caller may resume.

    A router that starts learns of the versions that may have begun a stream
    from the store. So a version that is not stored yet is avoided.

    :param stored: the versions in the store, None if there are none yet.
    """
    if stored is None:
        return upstreams
    known = [
        item for item in upstreams if item.entry.software_version in stored
    ]
    return known or upstreams


def rank_new_stream(urgency: int) -> int:
    """Return the urgency of a new stream while several versions serve.

    One that continues comes before a new one of the same priority.
    """
    return min(urgency + 1, MAX_URGENCY)


def _get_load(upstream: FleetUpstream) -> float:
    in_flight = upstream.in_flight + upstream.peers_in_flight
    return in_flight / upstream.entry.slots
