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

"""Keeps the rejections of an upstream below what it announces to tolerate.

The number that it announces is for the rejections of all routers together. A
router knows the loads of the others as of some moments ago, and any number of
them may send at the same moment. So each has a share of the slots, and sends
what exceeds that only when it is its turn.
"""

from collections.abc import Iterable
import dataclasses

USED_SHARE = 1 / 2
MIN_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True)
class SendingShare:
    """What one of several routers may send to an upstream.

    :ivar routers: how many routers may send at the same time.
    :ivar requests: how many requests it may have there; those of all routers
        together are as many as the slots.
    :ivar turn: 0 to 1, when its turn comes within a pause.
    """

    routers: int
    requests: int
    turn: float


def divide_slots(
    slots: Iterable[int], routers: int, position: int
) -> list[SendingShare]:
    """Return the shares of a router at the upstreams of a service.

    Slots that can't be divided evenly go to the routers in turn, from one
    upstream to the next, so that each router has a share of some of them.

    :param slots: of each upstream, in an order that all routers agree on.
    :param position: of the router among all of them.
    """
    shares = []
    first = 0
    for count in slots:
        order = (position - first) % routers
        requests = count // routers + (order < count % routers)
        shares.append(SendingShare(routers, requests, order / routers))
        first += count
    return shares


def is_safe(own: int, others: int, slots: int, share: SendingShare) -> bool:
    """Return whether a request is hardly ever rejected.

    :param own: requests of this router that the upstream is running.
    :param others: those of the other routers.
    :param slots: how many it runs at once.
    """
    free = slots - own - others
    return free >= share.routers or (free > 0 and own < share.requests)


def get_pause_seconds(routers: int, max_rejections: float) -> float:
    """Return for how long a router sends nothing after a rejection.

    :param routers: how many routers may be rejected in that time, once each.
    :param max_rejections: rejections that the upstream tolerates, per second.
    """
    if max_rejections <= 0:
        return MAX_PAUSE_SECONDS
    seconds = routers / (USED_SHARE * max_rejections)
    return min(max(seconds, MIN_PAUSE_SECONDS), MAX_PAUSE_SECONDS)
