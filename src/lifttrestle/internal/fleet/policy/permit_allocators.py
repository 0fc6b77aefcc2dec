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

"""Decides which router gives out the permits for an upstream.

It is one of the upstream's own data centre: whoever reaches the upstream
reaches that data centre, and its own routers have the short way. Where it
does not answer, as it is gone or behind a cut, the next two give out a quarter
and an eighth of the limit, so that however a fleet is split all sides together
give out no more than one and a half times the limit.
"""

from collections.abc import Collection

from lifttrestle.internal.routing.rendezvous import rank_names

RANKING = b'limits'
MAX_ALLOCATORS = 3
# Of the limit, what the first, second and third router give out.
SHARES = (1.0, 0.25, 0.125)


def rank_allocators(routers: Collection[str]) -> list[str]:
    """Return the routers that may give out permits, the first one first.

    All choose the same ones while they know the same routers.

    :param routers: of the upstream's data centre, or all of the fleet where
        there are none.
    """
    return rank_names(RANKING, sorted(routers))[:MAX_ALLOCATORS]
