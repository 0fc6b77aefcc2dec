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

"""What answers have shown about the caches of upstreams."""

import collections

from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.prompt import Prompt

Key = tuple[str, str, bytes]


class CacheEvidence:
    """Remembers which prefix levels an engine incarnation has computed.

    An entry ages out, since engines evict within seconds, and the whole is
    bounded: the entries that were used longest ago go first.
    """

    def __init__(self, max_age_seconds: float, max_entries: int) -> None:
        self._max_age = max_age_seconds
        self._max_entries = max_entries
        self._seen: collections.OrderedDict[Key, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of entries kept."""
        return len(self._seen)

    def estimate_cached_tokens(
        self, prompt: Prompt, candidate: Candidate, now: float
    ) -> int:
        """Return how many tokens of the prompt the candidate should hold."""
        for level in reversed(prompt.levels):
            key = (candidate.name, candidate.incarnation, level.digest)
            seen_at = self._seen.get(key)
            if seen_at is not None and now - seen_at <= self._max_age:
                return level.tokens
        return 0

    def note_computed(
        self, prompt: Prompt, candidate: Candidate, now: float
    ) -> None:
        """Note that the candidate has just read the whole prompt."""
        for level in prompt.levels:
            key = (candidate.name, candidate.incarnation, level.digest)
            self._seen[key] = now
            self._seen.move_to_end(key)
        while len(self._seen) > self._max_entries:
            self._seen.popitem(last=False)
