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

"""Collects a body that arrives in parts of any size."""

BLOCK_BYTES = 32 * 1024


class BodyBuffer:
    """Keeps a body in blocks of one size.

    Parts of one byte take no more memory than large ones, and a growing body
    is not moved, so that the memory of those before can be used again.
    """

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._last = bytearray()
        self.size = 0

    def add(self, part: bytes) -> None:
        """Add a part."""
        self.size += len(part)
        self._last += part
        if len(self._last) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._last))
            self._last.clear()

    def take(self) -> bytes:
        """Return all parts and forget them."""
        body = b''.join((*self._blocks, self._last))
        self.clear()
        return body

    def clear(self) -> None:
        """Forget all parts."""
        self._blocks.clear()
        self._last.clear()
        self.size = 0
