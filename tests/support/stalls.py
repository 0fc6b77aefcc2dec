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

"""Deliberate pauses of the event loop.

They make bytes and timers become due in the same iteration of the loop, as on
a machine that is short of processor time.
"""

import random
import time


def stall(seconds: float) -> None:
    """Block the event loop."""
    time.sleep(seconds)


class Stalls:
    """Blocks the event loop at moments that a seed determines.

    :param share: fraction of the calls of ``maybe_stall`` that block.
    :param seconds: shortest and longest pause.
    """

    def __init__(
        self, seed: int, share: float, seconds: tuple[float, float]
    ) -> None:
        self._source = random.Random(seed)
        self._share = share
        self._seconds = seconds

    def maybe_stall(self) -> bool:
        """Block the event loop or not; return whether it was blocked."""
        if self._source.random() >= self._share:
            return False
        stall(self._source.uniform(*self._seconds))
        return True
