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

"""The place of a router among those that divide something between them."""

import collections
import dataclasses
import math

# Longer than any window in which something is counted.
KEPT_SECONDS = 600.0


@dataclasses.dataclass(frozen=True)
class RouterShare:
    """The place of one router.

    :ivar routers: how many there are.
    :ivar position: 0 to ``routers - 1``, different for each of them.
    """

    routers: int
    position: int


class ShareHistory:
    """The shares of a router, and since when it had each of them.

    What routers have spent outlives their shares: when there are fewer, the
    rest may use larger shares only once the smaller ones are out of the window
    in which spending is counted.
    """

    def __init__(self) -> None:
        self._shares: collections.deque[tuple[float, RouterShare]] = (
            collections.deque()
        )

    def note(self, share: RouterShare, now: float) -> None:
        """Record the share that is in force from now on."""
        if not self._shares or self._shares[-1][1] != share:
            self._shares.append((now, share))
        while (
            len(self._shares) > 1 and self._shares[1][0] < now - KEPT_SECONDS
        ):
            self._shares.popleft()

    def list_since(self, oldest: float) -> list[RouterShare]:
        """Return the shares that were in force at that time or later.

        :param oldest: at most ``KEPT_SECONDS`` ago.
        """
        later = [since for since, _ in self._shares][1:]
        return [
            share
            for (_, share), end in zip(
                self._shares, (*later, math.inf), strict=False
            )
            if end > oldest
        ]
