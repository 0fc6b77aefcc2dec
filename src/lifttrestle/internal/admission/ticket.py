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

"""A request that waits for, or holds, one of the router's slots."""

import dataclasses


@dataclasses.dataclass(eq=False)
class Ticket:
    """One request's place in the queue.

    :ivar priority: 0 goes first.
    :ivar deadline: the monotonic time after which it is of no use.
    :ivar granted: whether it holds a slot.
    """

    priority: int
    deadline: float
    number: int = 0
    granted: bool = False

    @property
    def rank(self) -> tuple[int, int]:
        """Return what the queue is ordered by."""
        return (self.priority, self.number)
