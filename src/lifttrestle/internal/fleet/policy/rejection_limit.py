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
router knows the loads of the others as of some moments ago, so it leaves room
for what they may send meanwhile.
"""

# The part of the announced number that is used: rejections of one second may
# arrive in a shorter time.
USED_SHARE = 2 / 3
MIN_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 30.0


def may_send(
    own: int, others: int, slots: int, routers: int, max_rejections: float
) -> bool:
    """Return whether a request may be sent without much risk of rejection.

    :param own: requests of this router that the upstream is running.
    :param others: those of the other routers.
    :param slots: how many it runs at once.
    :param routers: how many routers may send at the same time.
    :param max_rejections: rejections that it tolerates, per second.
    """
    free = slots - own - others
    if free <= 0:
        # A router that has no request there may try one; after a rejection it
        # pauses.
        return own == 0 and max_rejections > 0
    return own < max(slots // routers, 1) or free >= routers


def get_pause_seconds(routers: int, max_rejections: float) -> float:
    """Return for how long a router sends nothing after a rejection.

    :param routers: how many routers may be rejected in that time, once each.
    """
    if max_rejections <= 0:
        return MAX_PAUSE_SECONDS
    seconds = routers / (USED_SHARE * max_rejections)
    return min(max(seconds, MIN_PAUSE_SECONDS), MAX_PAUSE_SECONDS)
