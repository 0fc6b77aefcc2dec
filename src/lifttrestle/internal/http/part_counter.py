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

"""Limits the number of small parts in which an answer arrives.

Each part takes some processor time, whatever its size. An upstream that sends
small ones without end would use that of the router long before a limit on
bytes is reached.
"""

from lifttrestle.errors import UpstreamLost

MAX_SMALL_PARTS = 20_000
# The tokens of a sound answer have more, if each is a part.
SMALL_PART_BYTES = 3


class PartCounter:
    """Counts the parts of an answer, and their bytes."""

    def __init__(self) -> None:
        self._parts = 0
        self._bytes = 0

    def add(self, size: int) -> None:
        """Count a part.

        :param size: in bytes.
        :raises UpstreamLost: if there are more than ``MAX_SMALL_PARTS``, of
            less than ``SMALL_PART_BYTES`` in the mean.
        """
        self._parts += 1
        self._bytes += size
        are_small = self._bytes < SMALL_PART_BYTES * self._parts
        if self._parts > MAX_SMALL_PARTS and are_small:
            raise UpstreamLost('the answer arrives in too many small parts')

    def reset(self) -> None:
        """Forget all parts, as they were of use."""
        self._parts = 0
        self._bytes = 0
