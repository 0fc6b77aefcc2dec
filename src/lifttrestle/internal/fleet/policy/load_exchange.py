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

"""Decides how routers exchange their loads.

In a small fleet each router reports to all others. The number of received
reports grows with the fleet: with 195 routers, each could report 1.3 times a
second and began two streams in that time, so that nearly all decisions used
outdated loads. In a large fleet one router of each data centre, the
aggregator, sums the reports of the others and sends them the total.
"""

from collections.abc import Collection

from lifttrestle.internal.routing.rendezvous import rank_names

# Up to this number, each router reports to all others every 0.15 s, and
# receives at most 250 reports a second.
MAX_DIRECT_ROUTERS = 37
RANKING_KEY = b'loads'
# Routers of each data centre that receive the sums of the other groups. While
# the first is gone, its routers query the second, which other groups must be
# able to determine too.
AGGREGATOR_CANDIDATES = 2


def uses_aggregation(routers: int) -> bool:
    """Return whether reports are aggregated rather than sent to all."""
    return routers > MAX_DIRECT_ROUTERS


def choose_aggregator(neighbours: list[str], avoided: Collection[str]) -> str:
    """Return the router that aggregates the reports of a data centre.

    Routers with the same view of the fleet choose the same aggregator.

    :param neighbours: routers of the data centre, at least one.
    :param avoided: routers that recently failed to answer.
    """
    ranked = rank_names(RANKING_KEY, neighbours)
    responsive = [router for router in ranked if router not in avoided]
    return (responsive or ranked)[0]


def list_aggregators(neighbours: list[str]) -> list[str]:
    """Return the routers of a data centre that may be its aggregator."""
    return rank_names(RANKING_KEY, neighbours)[:AGGREGATOR_CANDIDATES]
