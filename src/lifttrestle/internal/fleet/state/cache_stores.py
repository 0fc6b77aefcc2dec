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

"""The cache stores that engines read prefixes from and write them to.

Only engines use their contents; a router only checks whether they are
reachable.
"""

from collections.abc import Iterator
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.catalogue import CacheStoreConfig
from lifttrestle.internal.fleet.state.reach import Reachability
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.client_pool import ClientPool

# The same as for an upstream.
CONNECT_SECONDS = 0.1


@dataclasses.dataclass
class CacheStore:
    """One cache store.

    :ivar pool: connections to it, used only to probe it.
    """

    address: str
    data_centre: str
    pool: ClientPool
    reach: Reachability = dataclasses.field(default_factory=Reachability)


class CacheStores:
    """The cache stores that requests have used so far, by address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._stores: dict[str, CacheStore] = {}

    def __iter__(self) -> Iterator[CacheStore]:
        """Iterate over a snapshot of the stores."""
        return iter(tuple(self._stores.values()))

    def get(self, config: CacheStoreConfig) -> CacheStore:
        """Return the store with this configuration, created if absent."""
        store = self._stores.get(config.address)
        if store is None:
            pool = ClientPool(
                parse_address(config.address), self._clock, CONNECT_SECONDS
            )
            store = CacheStore(config.address, config.data_centre, pool)
            self._stores[config.address] = store
        return store

    def suspect(self, address: str) -> None:
        """Schedule a probe of a store.

        Called when an engine that reads from the store answers late.
        """
        store = self._stores.get(address)
        if store is not None:
            store.reach.suspect()

    def close(self) -> None:
        """Close all idle connections."""
        for store in self._stores.values():
            store.pool.close()
