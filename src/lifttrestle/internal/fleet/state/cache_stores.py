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

"""The stores of cached context that engines read from and write to.

Engines call them; this router only finds out whether they can be reached.
"""

from collections.abc import Iterator
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.catalogue import CacheStoreFacts
from lifttrestle.internal.fleet.state.reach import Reachability
from lifttrestle.internal.http.address import check_address
from lifttrestle.internal.http.client_pool import ClientPool

# As for an upstream.
CONNECT_SECONDS = 0.1


@dataclasses.dataclass
class CacheStore:
    """One store.

    :ivar pool: connects to it, only to see that it is there.
    """

    address: str
    data_centre: str
    pool: ClientPool
    reach: Reachability = dataclasses.field(default_factory=Reachability)


class CacheStores:
    """The stores that requests have named so far, by address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._stores: dict[str, CacheStore] = {}

    def __iter__(self) -> Iterator[CacheStore]:
        """Iterate over the stores as of now."""
        return iter(tuple(self._stores.values()))

    def get(self, facts: CacheStoreFacts) -> CacheStore:
        """Return the store that a configuration tells of."""
        store = self._stores.get(facts.address)
        if store is None:
            pool = ClientPool(
                check_address(facts.address), self._clock, CONNECT_SECONDS
            )
            store = CacheStore(facts.address, facts.data_centre, pool)
            self._stores[facts.address] = store
        return store

    def suspect(self, address: str) -> None:
        """Have a store probed: an engine that reads from it is late."""
        store = self._stores.get(address)
        if store is not None:
            store.reach.suspect()

    def close(self) -> None:
        """Close the kept connections."""
        for store in self._stores.values():
            store.pool.close()
