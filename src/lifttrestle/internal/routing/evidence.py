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

"""Tracks the prefix cache contents that answers of upstreams imply."""

import collections

from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.prompt import Prompt

Key = tuple[str, str, bytes]


class CacheEvidence:
    """Records which prefix levels each engine incarnation has computed.

    Entries expire, since engines evict cached prefixes within seconds. The
    number of entries is bounded; the least recently recorded ones are dropped
    first.

    :param max_age_seconds: age at which an entry no longer counts.
    :param max_entries: maximum number of entries.
    """

    def __init__(self, max_age_seconds: float, max_entries: int) -> None:
        self._max_age = max_age_seconds
        self._max_entries = max_entries
        self._computed_at: collections.OrderedDict[Key, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of entries, including expired ones."""
        return len(self._computed_at)

    def estimate_cached_tokens(
        self, prompt: Prompt, candidate: Candidate, now: float
    ) -> int:
        """Return how many prompt tokens the candidate should have cached.

        :returns: the length of the longest prefix level with an unexpired
            entry, or 0.
        """
        for level in reversed(prompt.levels):
            key = (candidate.name, candidate.incarnation, level.digest)
            computed_at = self._computed_at.get(key)
            if computed_at is not None and now - computed_at <= self._max_age:
                return level.tokens
        return 0

    def note_computed(
        self, prompt: Prompt, candidate: Candidate, now: float
    ) -> None:
        """Record that the candidate has just computed the whole prompt."""
        for level in prompt.levels:
            key = (candidate.name, candidate.incarnation, level.digest)
            self._computed_at[key] = now
            self._computed_at.move_to_end(key)
        while len(self._computed_at) > self._max_entries:
            self._computed_at.popitem(last=False)
