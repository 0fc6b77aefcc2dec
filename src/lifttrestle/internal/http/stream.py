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

"""Interface of the byte streams that carry client connections."""

import abc


class Stream(abc.ABC):
    """Reads and writes the bytes of one connection."""

    @property
    @abc.abstractmethod
    def is_idle(self) -> bool:
        """Return whether it is open and no bytes are buffered."""

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Return some bytes, waiting if there are none.

        :return: empty at the end of the stream.
        :raises OSError: if the connection was lost.
        """

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Write ``data``, waiting while too much is unsent.

        :raises OSError: if the connection was lost.
        """

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection at once, discarding unsent bytes."""
