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

"""Where the event loop receives bytes, for all connections that share it."""


class ReceiveBuffer:
    """Receives for one connection at a time, which takes the bytes at once.

    Buffers of their own would take memory for each read of each connection.

    :param size: bytes that one read receives at the most.
    """

    def __init__(self, size: int) -> None:
        self._view = memoryview(bytearray(size))

    def get_part(self, size: int) -> memoryview:
        """Return its first bytes, ``size`` at the most and one at least."""
        return self._view[: max(size, 1)]
