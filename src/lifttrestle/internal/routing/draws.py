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

"""Random sampling of candidates for routing policies."""

import random

from lifttrestle.internal.routing.candidate import Candidate


def sample_nearest(
    source: random.Random, candidates: list[Candidate], count: int
) -> list[Candidate]:
    """Return a random sample of the candidates at the smallest distance.

    :returns: at most ``count`` candidates.
    """
    nearest = min(item.distance_seconds for item in candidates)
    closest = [item for item in candidates if item.distance_seconds == nearest]
    return source.sample(closest, min(count, len(closest)))


def sample_non_homes(
    source: random.Random,
    candidates: list[Candidate],
    homes: list[str],
    count: int,
) -> list[Candidate]:
    """Sample ``count`` candidates and return those that are not homes.

    :param homes: names of upstreams to exclude.
    :returns: at most ``count`` candidates, possibly none.
    """
    sampled = source.sample(candidates, min(count, len(candidates)))
    return [item for item in sampled if item.name not in homes]
