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

"""A request that waits for a slot of the router or holds one."""

import dataclasses


@dataclasses.dataclass(eq=False)
class Ticket:
    """The entry of a request in the admission queue.

    :ivar priority: 0 is the most urgent.
    :ivar deadline: monotonic time in seconds at which the request expires.
    :ivar sequence: order of arrival, assigned by the queue.
    :ivar granted: whether the request holds a slot.
    """

    priority: int
    deadline: float
    sequence: int = 0
    granted: bool = False

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return the sort key: priority first, then order of arrival."""
        return (self.priority, self.sequence)
