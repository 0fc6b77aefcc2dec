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

"""Selects the routers that grant the permits for an upstream.

The allocator is a router in the data centre of the upstream: a router that
reaches the upstream also reaches that data centre, and the local routers have
the shortest path. If this primary allocator does not answer, because it is
gone or partitioned, two standbys grant a quarter and an eighth of the limit,
so that all sides of a partition together grant at most one and a half times
the limit.
"""

from collections.abc import Collection

from lifttrestle.internal.routing.rendezvous import rank_names

RANKING_KEY = b'limits'
MAX_ALLOCATORS = 3
# Fractions of the limit that the primary and the two standbys grant.
SHARES = (1.0, 0.25, 0.125)


def rank_allocators(routers: Collection[str]) -> list[str]:
    """Return the routers that may grant permits, in order of preference.

    Routers with the same view of the fleet return the same order.

    :param routers: routers in the data centre of the upstream, or all routers
        of the fleet if it has none.
    """
    return rank_names(RANKING_KEY, sorted(routers))[:MAX_ALLOCATORS]
