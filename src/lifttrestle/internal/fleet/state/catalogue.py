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

"""The operator's configuration in force, as one immutable object.

A catalogue is built once from the stored configuration and replaced as a
whole, so that no request sees part of a change.
"""

import dataclasses
import enum
import functools

from lifttrestle.errors import InputRefused
from lifttrestle.internal.fleet.policy.usage_caps import UsageCap
from lifttrestle.internal.fleet.state.upstream_entry import build_digest
from lifttrestle.internal.fleet.state.upstream_entry import UpstreamEntry
from lifttrestle.internal.routing.rendezvous import rank_names


class Repeat(enum.Enum):
    """Whether the requests of a route may be executed more than once."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'


BITS_PER_BYTE = 8
MEGA = 1_000_000
# Size of a slot, in bytes of KV cache, from which decisions consider single
# engines: an engine with such slots runs a handful of requests, so one request
# too many delays all of them. With smaller slots, sums over many requests
# average that out.
LARGE_SLOT_BYTES = 1_000_000_000


@dataclasses.dataclass(frozen=True)
class ServiceShare:
    """A service that a route may use, and its weight relative to others."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Services and limits for the requests of one host and path prefix.

    :ivar streams: responses are event streams.
    :ivar resumable: an interrupted stream may continue at another upstream.
    :ivar timeout_seconds: the longest time that a request may wait.
    :ivar target_seconds: the latency objective.
    :ivar pause_seconds: the longest pause between the events of a stream
        that meets its objective, or None.
    :ivar priority: 0 is the highest.
    :ivar max_attempts: the number of upstreams on which one request may run.
    :ivar open_access: requests need no key.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    streams: bool
    resumable: bool
    timeout_seconds: float
    target_seconds: float
    pause_seconds: float | None
    priority: int
    max_attempts: int
    open_access: bool
    shares: tuple[ServiceShare, ...]

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.repeat is Repeat.IDEMPOTENT or self.resumable


@dataclasses.dataclass(frozen=True)
class EngineConfig:
    """Configured properties of the engines of a service.

    :ivar slots: requests that one engine runs concurrently.
    :ivar memory_tokens: capacity of one engine's KV cache in tokens.
    :ivar models: names of the models that they serve.
    :ivar token_bytes: size of the KV cache per token, zero if unknown.
    :ivar link_megabits: bandwidth of their links in Mbit/s, zero if unknown.
    """

    slots: int
    memory_tokens: int
    models: tuple[str, ...]
    token_bytes: float = 0.0
    link_megabits: float = 0.0

    @property
    def has_large_slots(self) -> bool:
        """Return whether load decisions consider each engine by itself."""
        capacity_bytes = self.memory_tokens * self.token_bytes
        return capacity_bytes >= self.slots * LARGE_SLOT_BYTES > 0


@dataclasses.dataclass(frozen=True)
class CacheStoreConfig:
    """A KV cache store that engines can read from and write to.

    :ivar memory_tokens: its capacity in tokens.
    :ivar link_megabits: bandwidth of its link in Mbit/s, zero if unknown.
    """

    address: str
    data_centre: str
    memory_tokens: int
    link_megabits: float = 0.0


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of upstreams that serve the same requests.

    :ivar max_connections: connections that one upstream accepts from all
        routers in total.
    """

    name: str
    max_connections: int
    engine: EngineConfig | None = None
    cache_store: CacheStoreConfig | None = None

    @property
    def has_large_slots(self) -> bool:
        """Return whether load decisions consider each engine by itself."""
        return self.engine is not None and self.engine.has_large_slots


@dataclasses.dataclass(frozen=True)
class Workspace:
    """The customer on whose behalf requests are sent.

    :ivar priority: 0 is the highest; None if the priority of the route
        applies.
    :ivar isolated: shares no cached prefix with any other workspace.
    :ivar cap: its usage limit, None if unlimited.
    """

    name: str
    priority: int | None
    isolated: bool
    cap: UsageCap | None = None

    @functools.cached_property
    def digest(self) -> int:
        """Return the digest that identifies it in messages."""
        return build_digest(self.name)


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits for the connection of one caller, in bytes and seconds."""

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True)
class Catalogue:
    """One version of the configuration.

    :ivar routes: the routes of each host, the longest prefix first.
    :ivar keys: the workspace of each key; None if no keys are required.
    :ivar faults: why parts of it are invalid; the other parts apply.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: CallerLimits
    keys: dict[str, Workspace] | None
    faults: tuple[InputRefused, ...] = ()

    @functools.cached_property
    def caps(self) -> dict[int, UsageCap]:
        """Return the usage caps by the digests of their workspaces."""
        return {
            workspace.digest: workspace.cap
            for workspace in (self.keys or {}).values()
            if workspace.cap is not None
        }

    @functools.cached_property
    def has_large_slots(self) -> bool:
        """Return whether load decisions of any service consider engines."""
        return any(item.has_large_slots for item in self.services.values())

    @functools.cached_property
    def resumable_routes(self) -> tuple[Route, ...]:
        """Return the routes whose streams callers may resume."""
        return tuple(
            route
            for routes in self.routes.values()
            for route in routes
            if route.streams and route.resumable
        )

    @functools.cached_property
    def longest_stream_seconds(self) -> float:
        """Return the longest timeout of a resumable route, or zero."""
        timeouts = (route.timeout_seconds for route in self.resumable_routes)
        return max(timeouts, default=0.0)

    def includes(self, entry: UpstreamEntry) -> bool:
        """Return whether an entry is a usable upstream of a service.

        An engine whose entry lists no model can't be used.
        """
        service = self.services.get(entry.service)
        if service is None:
            return False
        return service.engine is None or bool(entry.weights)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def get_fetch_seconds(self, service: str) -> float | None:
        """Return the seconds to fetch the KV cache of one token.

        The slowest link determines it. None if the size of the KV cache or
        the bandwidth of a link is unknown.
        """
        configured = self.services.get(service)
        engine = configured.engine if configured is not None else None
        if engine is None or not engine.token_bytes:
            return None
        links = [engine.link_megabits]
        links += [
            item.cache_store.link_megabits
            for item in self.services.values()
            if item.cache_store is not None
        ]
        slowest = min(links)
        if not slowest:
            return None
        return engine.token_bytes * BITS_PER_BYTE / (slowest * MEGA)

    def find_cache_store(self, part_id: str) -> CacheStoreConfig | None:
        """Return the store for a shared part, None if there are no stores.

        Each part is assigned to one store by rendezvous hashing, so that the
        capacities and the bandwidths of the stores add up.
        """
        stores = {
            service.name: service.cache_store
            for service in self.services.values()
            if service.cache_store is not None
        }
        if not stores:
            return None
        return stores[rank_names(part_id.encode()[:64], list(stores))[0]]
