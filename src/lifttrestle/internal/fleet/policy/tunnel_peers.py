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

"""Decides which routers to ask for tunnels, and when none was asked yet."""

from collections.abc import Collection
from collections.abc import Mapping

from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.routing.rendezvous import rank_names


def rank_peers(
    digest: bytes,
    data_centre: str,
    peers: Mapping[str, str],
    avoided: Collection[str],
) -> list[str]:
    """Return the keys of routers, the best one first.

    Routers of the own data centre come first. Within a data centre the order
    differs between digests, so that connections spread evenly. Routers that
    failed lately come last, whichever their data centre.

    :param digest: identifies the router that asks and what it wants to reach.
    :param peers: data centre of each other router, by its key.
    """
    ranked = rank_names(digest, list(peers))
    return sorted(
        ranked, key=lambda key: (key in avoided, peers[key] != data_centre)
    )


def is_path_unknown(upstreams: Collection[FleetUpstream]) -> bool:
    """Return whether other routers may reach a service that this one does not.

    True from when the last of the upstreams became unreachable until another
    router was asked for a tunnel.

    :param upstreams: the upstreams of the service that may be used.
    """
    unreachable_since = [
        upstream.reach.unreachable_since
        for upstream in upstreams
        if upstream.reach.unreachable_since is not None
    ]
    if not upstreams or len(unreachable_since) < len(upstreams):
        return False
    asked_at = max(
        max(upstream.tunnel_found_at, upstream.tunnel_failed_at)
        for upstream in upstreams
    )
    return asked_at < max(unreachable_since)
