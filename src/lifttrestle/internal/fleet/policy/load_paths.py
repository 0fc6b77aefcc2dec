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

"""Decides how routers learn of each other's loads.

In a small fleet each tells all others. What each hears grows with their
number: of 195 routers each could tell 1.3 times a second, and began two
streams in that time, so that nearly all choices rested on loads that had
changed since. There one router of each data centre adds up what the others
tell it, and tells them the sum of all.
"""

from collections.abc import Collection

from lifttrestle.internal.routing.rendezvous import rank_names

# Up to so many routers tell all others every 0.15 s, and each hears 250
# reports a second at the most.
MAX_DIRECT_ROUTERS = 37
RANKING = b'loads'
# Of each data centre so many are told the other groups' sums. While the
# first is gone its routers ask the second, which has to be found by others.
LIKELY_AGGREGATORS = 2


def uses_aggregation(routers: int) -> bool:
    """Return whether sums are told in place of each router's report."""
    return routers > MAX_DIRECT_ROUTERS


def choose_aggregator(neighbours: list[str], avoided: Collection[str]) -> str:
    """Return which router of a data centre adds up for the others.

    All choose the same one while they know the same routers.

    :param neighbours: the routers of the data centre, one at least.
    :param avoided: those that did not answer lately.
    """
    ranked = rank_names(RANKING, neighbours)
    sound = [router for router in ranked if router not in avoided]
    return (sound or ranked)[0]


def list_aggregators(neighbours: list[str]) -> list[str]:
    """Return which routers of a data centre are likely to add up."""
    return rank_names(RANKING, neighbours)[:LIKELY_AGGREGATORS]
