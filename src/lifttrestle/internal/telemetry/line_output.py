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

"""Lines on their way to a descriptor whose reader may stop at any time."""

import collections
import os
import select

# Lines that wait for the reader: about 2 MB.
MAX_LINES = 8000
# A pipe that takes anything takes so many bytes at once (PIPE_BUF).
CHUNK_BYTES = select.PIPE_BUF
MILLISECONDS = 1000


class LineOutput:
    """Writes lines without ever waiting for their reader, unless told to.

    No thread: with one, each line woke it, and handing the interpreter over
    took some ten system calls a request.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._pending: collections.deque[bytes] = collections.deque()
        self.dropped = 0

    def put(self, line: str) -> None:
        """Take a line, or drop and count it if too many wait already."""
        if len(self._pending) >= MAX_LINES:
            self.dropped += 1
            return
        self._pending.append(f'{line}\n'.encode())

    def flush(self, wait_seconds: float = 0.0) -> None:
        """Write what the reader has room for.

        :param wait_seconds: for which it may make no room.
        """
        timeout = round(wait_seconds * MILLISECONDS)
        while self._pending and self._poll.poll(timeout):
            try:
                self._write(self._take_chunk())
            except OSError:
                # Nobody reads any more, and there is no other place to tell.
                self.dropped += len(self._pending) + 1
                self._pending.clear()

    def _take_chunk(self) -> bytes:
        """Return as many of the next lines as may be written at once."""
        chunk = self._pending.popleft()
        if len(chunk) > CHUNK_BYTES:
            self._pending.appendleft(chunk[CHUNK_BYTES:])
            return chunk[:CHUNK_BYTES]
        lines = [chunk]
        room = CHUNK_BYTES - len(chunk)
        while self._pending and len(self._pending[0]) <= room:
            lines.append(self._pending.popleft())
            room -= len(lines[-1])
        return b''.join(lines)

    def _write(self, chunk: bytes) -> None:
        written = os.write(self._descriptor, chunk)
        if written < len(chunk):
            self._pending.appendleft(chunk[written:])
