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

"""Decides which engines load newer weights, and which router orders it."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.routing.rendezvous import rank_names

# Load orders of a batch are sent within this time after the request for its
# row.
ORDER_SECONDS = 0.8
# Margin between the last order of a lease holder and the first order of the
# next one, in addition to the lease: their clocks run at different speeds.
HANDOVER_SECONDS = 0.5
# Time that the last holder has to renew the lease, and the additional delay of
# each further router.
HOLDER_RENEWAL_SECONDS = 1.5
TAKEOVER_STAGGER_SECONDS = 0.25
# Fraction of the engines of a model that load at the same time: two of five
# load without slowing each other down. Loading one at a time showed no benefit
# beyond noise.
LOADING_SHARE = 0.4


@dataclasses.dataclass(frozen=True)
class LeaseState:
    """State of a lease as seen by one router; times are monotonic seconds.

    :ivar needed_since: when weights were first seen to be missing.
    :ivar held_at: when the lease was last seen to be acquired or used.
    :ivar holder: key of the last holder, or None before the first.
    :ivar lease_seconds: minimum time between the orders of two holders.
    """

    needed_since: float
    held_at: float
    holder: str | None
    lease_seconds: float


def list_engines(
    upstreams: Iterable[FleetUpstream], model: str
) -> list[FleetUpstream]:
    """Return the engines of a model that may be ordered to load weights."""
    return [
        upstream
        for upstream in upstreams
        if model in upstream.entry.weights
        and not upstream.draining
        and not upstream.misdirected
        and upstream.vanished_at is None
    ]


def list_group(
    upstreams: Iterable[FleetUpstream], model: str
) -> tuple[str, ...]:
    """Return the models that share engines, also through others, sorted.

    Leaving engines count: an order may be in transit to them.
    """
    shared = {frozenset(upstream.entry.weights) for upstream in upstreams}
    group = frozenset({model})
    while True:
        grown = group.union(*(models for models in shared if models & group))
        if grown == group:
            return tuple(sorted(group))
        group = grown


def list_outdated(
    engines: Iterable[FleetUpstream], model: str, versions: Mapping[str, int]
) -> list[FleetUpstream]:
    """Return the engines without the newest version of a model's weights.

    The oldest come first, of these the engines that lack most: an engine loads
    one model after the other, and the last one ends the rollout.

    :param versions: the newest version of each model.
    """
    outdated = [
        engine
        for engine in engines
        if engine.weights.get(model, 0) < versions[model]
    ]
    outdated.sort(
        key=lambda engine: (
            engine.weights.get(model, 0),
            -_count_outdated(engine, versions),
            engine.in_flight,
        )
    )
    return outdated


def _count_outdated(engine: FleetUpstream, versions: Mapping[str, int]) -> int:
    """Return of how many models an engine lacks the newest version."""
    return sum(
        engine.weights.get(model, 0) < versions.get(model, 0)
        for model in engine.entry.weights
    )


def count_loadable(engines: list[FleetUpstream], now: float) -> int:
    """Return how many engines may load at the same time, at least one.

    Engines that may be unreachable already reduce the capacity and count
    as loading.
    """
    unreachable = [
        engine for engine in engines if not engine.may_take_orders(now)
    ]
    allowed = math.floor(LOADING_SHARE * len(engines)) - len(unreachable)
    return max(allowed, 1)


def find_takeover_time(
    name: str, routers: list[str], key: str, lease: LeaseState
) -> float:
    """Return when a router may take over a lease.

    The times of the routers are staggered, so that they do not all write as
    soon as the orders of the last holder have certainly ended.

    :param name: decides the order of the routers.
    :param routers: keys of the live routers.
    :param key: key of the router that may take over the lease.
    """
    needed = lease.needed_since
    if lease.holder is not None:
        needed += HOLDER_RENEWAL_SECONDS
    handover = lease.lease_seconds + ORDER_SECONDS + HANDOVER_SECONDS
    others = [router for router in routers if router != lease.holder]
    rank = rank_names(name.encode()[:64], others).index(key)
    return (
        max(needed, lease.held_at + handover) + rank * TAKEOVER_STAGGER_SECONDS
    )
