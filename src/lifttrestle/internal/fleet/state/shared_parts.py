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

"""Which shared parts of prompts the engines have computed recently.

Any engine can fetch a part from the cache store once it has been computed; any
other part has to be prefilled, which takes most of the time to first token.
Routers report new parts to each other. The records are hints: if a part has
been evicted since, the engine has to prefill it.
"""

import collections

from lifttrestle.internal.fleet.path.dialect import PromptPart
from lifttrestle.internal.fleet.state.digests import compute_digest

# About 100 bytes each; several times what engines and the cache store hold.
MAX_PARTS = 20_000
# Parts in one report to the other routers; the rest is sent in the next one.
MAX_REPORTED_PARTS = 200
DIGEST_BYTES = 8
NEVER = float('-inf')


class SharedParts:
    """Records when each shared part was last sent to the cache store.

    The same part under another salt counts as another part.
    """

    def __init__(self) -> None:
        self._computed_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._unreported: collections.deque[int] = collections.deque(
            maxlen=MAX_PARTS
        )

    def note_computed(
        self, salt: str, parts: tuple[PromptPart, ...], now: float
    ) -> None:
        """Record parts that an engine computed and sent to the cache store."""
        for part in parts:
            key = _make_key(salt, part)
            self._record(key, now)
            self._unreported.append(key)

    def note_reported(self, keys: list[int], now: float) -> None:
        """Record the keys of parts that another router has reported."""
        for key in keys:
            self._record(key, now)

    def pop_unreported(self) -> list[int]:
        """Return keys not yet reported to the other routers and drop them."""
        count = min(len(self._unreported), MAX_REPORTED_PARTS)
        return [self._unreported.popleft() for _ in range(count)]

    def get_age(self, salt: str, part: PromptPart, now: float) -> float:
        """Return the seconds since a part was computed, infinite if never."""
        return now - self._computed_at.get(_make_key(salt, part), NEVER)

    def count_unknown_tokens(
        self, salt: str, parts: tuple[PromptPart, ...]
    ) -> int:
        """Return the tokens of the parts that are not known to be computed."""
        return sum(
            part.tokens
            for part in parts
            if _make_key(salt, part) not in self._computed_at
        )

    def _record(self, key: int, now: float) -> None:
        self._computed_at[key] = now
        self._computed_at.move_to_end(key)
        if len(self._computed_at) > MAX_PARTS:
            self._computed_at.popitem(last=False)


def build_salt(cache_scope: str, model: str, weights: int) -> str:
    """Return the salt of the requests that can use the same cached parts."""
    return f'{cache_scope}/{model}/{weights}'


def _make_key(salt: str, part: PromptPart) -> int:
    text = f'{salt}/{part.part_id}'.encode()
    return compute_digest(text, DIGEST_BYTES)
