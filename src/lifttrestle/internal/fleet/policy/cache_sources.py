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

"""What is read from and sent to the store of KV cache.

What is sent to the store pushes out older parts. With a shared part goes the
one that is the request's own and of no use to others, so a shared part is sent
again only after it may have been pushed out.
"""

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.path.dialect import CacheUse
from lifttrestle.internal.fleet.path.dialect import Generation
from lifttrestle.internal.fleet.state.shared_parts import SharedParts

# Parts of the store last for about its size over what is sent to it.
RETENTION_SECONDS = 30.0
# Shorter prompts are computed sooner than they are fetched.
MIN_SHARED_TOKENS = 150


class CacheSources:
    """Decides where engines read cached parts from and send them to.

    :ivar shared: the parts that were sent to the store.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.shared = SharedParts()

    def choose(
        self, salt: str, generation: Generation, kept_address: str
    ) -> CacheUse:
        """Return whether an engine is to read from and send to the store.

        Reading from the engine that served a part last was tried too: it has
        often dropped the part, and more was computed again.

        :param kept_address: of the store, or an empty string.
        """
        shared = generation.shared
        tokens = sum(part.tokens for part in shared)
        if not kept_address or tokens < MIN_SHARED_TOKENS:
            return CacheUse(salt, '', '')
        age = self.shared.get_age(salt, shared[-1], self._clock.monotonic())
        target = kept_address if age > RETENTION_SECONDS else ''
        return CacheUse(salt, kept_address, target)

    def note_served(self, use: CacheUse, generation: Generation) -> None:
        """Remember what an engine that began to answer sends to the store."""
        if use.target:
            self.shared.note_read(
                use.salt, generation.shared, self._clock.monotonic()
            )
