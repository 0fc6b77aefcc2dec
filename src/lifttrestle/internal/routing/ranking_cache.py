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

"""A bounded cache of rankings, since a ranking hashes every name."""

import collections

from lifttrestle.internal.routing.rendezvous import rank_names


class RankingCache:
    """Ranks names and caches the results; the oldest are evicted first."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._rankings: collections.OrderedDict[object, list[str]] = (
            collections.OrderedDict()
        )

    def rank(self, digest: bytes, names: list[str]) -> list[str]:
        """Return the rendezvous ranking of ``names`` for ``digest``."""
        key = (digest, tuple(names))
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = rank_names(digest, names)
            self._rankings[key] = ranking
            if len(self._rankings) > self._max_entries:
                self._rankings.popitem(last=False)
        return ranking
