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

"""Selects what engines read from and write to the KV cache store.

Writes to the store evict older prefixes. A write of a shared prefix includes
the suffix that is specific to the request and useless to others, so a shared
prefix is written again only after it may have been evicted.
"""

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.path.dialect import CacheUse
from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.state.shared_parts import SharedParts

# Time to eviction: about the size of the store divided by its write rate.
RETENTION_SECONDS = 30.0
# Shorter prefixes are faster to compute than to fetch.
MIN_SHARED_TOKENS = 150


class CacheSources:
    """Decides where engines read cached prefixes from and write them to.

    :ivar shared: the prefixes that were written to the store.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.shared = SharedParts()

    def choose(
        self, salt: str, generation: Generation, store_address: str
    ) -> CacheUse:
        """Return where an engine reads cached prefixes from and writes to.

        Engines do not read from the engine that served a prefix last: it has
        often evicted the prefix, and more tokens had to be recomputed.

        :param salt: cache salt of the request.
        :param store_address: of the store, or an empty string if there is
            none.
        """
        shared = generation.shared
        tokens = sum(part.tokens for part in shared)
        if not store_address or tokens < MIN_SHARED_TOKENS:
            return CacheUse(salt, '', '')
        age = self.shared.get_age(salt, shared[-1], self._clock.monotonic())
        target = store_address if age > RETENTION_SECONDS else ''
        return CacheUse(salt, store_address, target)

    def note_served(self, use: CacheUse, generation: Generation) -> None:
        """Record the store write of an engine that began to answer."""
        if use.target:
            self.shared.note_computed(
                use.salt, generation.shared, self._clock.monotonic()
            )
