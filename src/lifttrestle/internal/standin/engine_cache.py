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

"""The bounded prefix cache of an engine stand-in."""

import collections
import hashlib

from lifttrestle.internal.clock.clock import Clock

BLOCK_TOKENS = 16


class EngineCache:
    """Holds the hashes of cached token blocks, least recently used first.

    The hash of a block covers all blocks of the prompt up to and including
    it, so that equal hashes mean equal prefixes.

    :param capacity: number of blocks that fit.
    :param ttl_seconds: how long an unused block stays cached.
    :param clock: time of the last use of a block.
    """

    def __init__(
        self, capacity: int, ttl_seconds: float, clock: Clock
    ) -> None:
        self._capacity = capacity
        self._ttl_seconds = ttl_seconds
        self._clock = clock
        self._used_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def admit(self, salt: str, tokens: list[str]) -> int:
        """Cache a prompt; return how many of its tokens were cached before."""
        hashes = hash_blocks(salt, tokens)
        now = self._clock.monotonic()
        self._evict_expired(now)
        cached = 0
        for block in hashes:
            if block not in self._used_at:
                break
            cached += BLOCK_TOKENS
        # Blocks at the end of a prompt are evicted before those at its start,
        # which other prompts may share.
        for block in reversed(hashes):
            self._used_at[block] = now
            self._used_at.move_to_end(block)
        while len(self._used_at) > self._capacity:
            self._used_at.popitem(last=False)
        return cached

    def clear(self) -> None:
        """Drop all blocks, which are invalid with other weights."""
        self._used_at.clear()

    def _evict_expired(self, now: float) -> None:
        while self._used_at:
            block, used_at = next(iter(self._used_at.items()))
            if now - used_at <= self._ttl_seconds:
                return
            del self._used_at[block]


def hash_blocks(salt: str, tokens: list[str]) -> list[bytes]:
    """Return one SHA-256 hash for each full block of a prompt.

    Each hash covers the salt and all tokens up to the end of its block.
    """
    digest = hashlib.sha256(salt.encode()).digest()
    hashes = []
    full = len(tokens) - len(tokens) % BLOCK_TOKENS
    for start in range(0, full, BLOCK_TOKENS):
        block = ' '.join(tokens[start : start + BLOCK_TOKENS])
        digest = hashlib.sha256(digest + block.encode()).digest()
        hashes.append(digest)
    return hashes
