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

"""Decides which engines load newer weights next, and who orders that."""

from collections.abc import Iterable
import dataclasses
import math

from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.routing.rendezvous import rank_names

# Orders of a batch are sent within this time after its row was asked for.
ORDER_SECONDS = 0.8
# More than this passes between the last order of one holder and the first of
# the next, on top of the lease: clocks of the two run at different speeds.
HANDOVER_SECONDS = 0.5
# The others leave the last holder this much time to act, each one more.
FIRST_TURN_SECONDS = 1.5
NEXT_TURN_SECONDS = 0.25
# Engines that load at the same time, of all of a model's: two of five load
# without slowing each other down. One at a time gained nothing beyond noise.
LOADING_SHARE = 0.4


@dataclasses.dataclass(frozen=True)
class LeaseState:
    """What decides when a router may take the lease over, in seconds.

    :ivar needed_since: when weights were first seen to be missing.
    :ivar held_at: when the lease was last seen to change hands or be used.
    :ivar holder: key of the last holder, or None before the first.
    :ivar lease_seconds: between the orders of two holders.
    """

    needed_since: float
    held_at: float
    holder: str | None
    lease_seconds: float


def list_engines(
    upstreams: Iterable[FleetUpstream], model: str
) -> list[FleetUpstream]:
    """Return the engines of a model that stay."""
    return [
        upstream
        for upstream in upstreams
        if model in upstream.entry.weights
        and not upstream.entry.draining
        and not upstream.misdirected
        and upstream.vanished_at is None
    ]


def list_outdated(
    engines: Iterable[FleetUpstream], model: str, version: int
) -> list[FleetUpstream]:
    """Return those without the version, the oldest and least busy first."""
    outdated = [
        engine for engine in engines if engine.weights.get(model, 0) < version
    ]
    outdated.sort(
        key=lambda engine: (engine.weights.get(model, 0), engine.in_flight)
    )
    return outdated


def count_loadable(engines: list[FleetUpstream], now: float) -> int:
    """Return how many engines may be without work at the same time.

    Those that seem not to be there are without work already.
    """
    absent = [engine for engine in engines if engine.is_doubtful(now)]
    room = math.floor(LOADING_SHARE * len(engines)) - len(absent)
    return max(room, 1)


def find_takeover_time(
    model: str, routers: list[str], key: str, turn: LeaseState
) -> float:
    """Return when a router may take the lease of a model over.

    The routers' turns follow one another, so that they do not all write at
    the moment at which the last holder's orders are surely over.

    :param routers: keys of the live routers.
    :param key: of the router that asks.
    """
    needed = turn.needed_since
    if turn.holder is not None:
        needed += FIRST_TURN_SECONDS
    rest = turn.lease_seconds + ORDER_SECONDS + HANDOVER_SECONDS
    others = [router for router in routers if router != turn.holder]
    rank = rank_names(model.encode()[:64], others).index(key)
    return max(needed, turn.held_at + rest) + rank * NEXT_TURN_SECONDS
