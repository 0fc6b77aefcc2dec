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

"""Non-blocking output of lines to a file descriptor."""

import collections
import os
import select

# Limits of the buffered lines. Usual ones are short; a caller may put a long
# text into some.
MAX_LINES = 8000
MAX_PENDING_BYTES = 4 * 1024 * 1024
# A pipe that polls as writable accepts this many bytes without blocking.
CHUNK_BYTES = select.PIPE_BUF
MILLISECONDS = 1000


class LineOutput:
    """Buffers lines and writes them without blocking on a stalled reader.

    It uses no writer thread: waking one for each line, and passing the
    interpreter lock to it, takes about ten system calls per request.

    :ivar dropped: lines that were dropped, until the owner resets it.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self.dropped = 0

    def put(self, line: str) -> None:
        """Buffer a line, or drop and count it if the buffer is full."""
        data = f'{line}\n'.encode()
        size = self._pending_bytes + len(data)
        if len(self._pending) >= MAX_LINES or size > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending.append(data)
        self._pending_bytes = size

    def flush(self, wait_seconds: float = 0.0) -> None:
        """Write as many buffered lines as the descriptor accepts.

        :param wait_seconds: how long to wait for it to accept more.
        """
        timeout = round(wait_seconds * MILLISECONDS)
        while self._pending and self._poll.poll(timeout):
            try:
                self._write(self._pop_chunk())
            except OSError:
                # The reader is gone, so the error can't be logged either.
                self.dropped += len(self._pending) + 1
                self._pending.clear()
                self._pending_bytes = 0

    def _pop_chunk(self) -> bytes:
        """Remove and return the next bytes, at most ``CHUNK_BYTES``."""
        chunk = self._pending.popleft()
        if len(chunk) > CHUNK_BYTES:
            self._pending.appendleft(chunk[CHUNK_BYTES:])
            self._pending_bytes -= CHUNK_BYTES
            return chunk[:CHUNK_BYTES]
        lines = [chunk]
        space = CHUNK_BYTES - len(chunk)
        while self._pending and len(self._pending[0]) <= space:
            lines.append(self._pending.popleft())
            space -= len(lines[-1])
        joined = b''.join(lines)
        self._pending_bytes -= len(joined)
        return joined

    def _write(self, chunk: bytes) -> None:
        written = os.write(self._descriptor, chunk)
        if written < len(chunk):
            self._pending.appendleft(chunk[written:])
            self._pending_bytes += len(chunk) - written
