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

"""How upstreams drain and end."""

from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.state.upstream_entry import StartEnd


def is_draining_since(upstream: FleetUpstream, earliest: float) -> bool:
    """Return whether an upstream drains, and did not before ``earliest``.

    :param earliest: monotonic seconds.
    """
    if upstream.vanished_at is not None or upstream.misdirected:
        return False
    since = []
    if upstream.entry.draining:
        since.append(upstream.drains_since)
    if upstream.departure.has_begun:
        since.append(upstream.departure.since)
    return bool(since) and min(since) > earliest


def classify_end(upstream: FleetUpstream) -> StartEnd:
    """Return how an upstream ended whose entry was removed."""
    if upstream.draining:
        return StartEnd.WITHDRAWN
    return StartEnd.VANISHED
