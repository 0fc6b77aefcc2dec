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

"""Connections of clients that do not behave, and what they make a process use.

A crowd is opened, sends what it was given as far as that is taken, and stays
open until it leaves. Nothing is read unless that is asked for.
"""

import asyncio
from collections.abc import Callable
import contextlib
import pathlib
import socket

from lifttrestle.internal.http.address import Address

# Small buffers at the client: what it does not read stays at the process.
BUFFER_BYTES = 16 * 1024
POLL_SECONDS = 0.1
# A crowd has settled once none of its bytes was taken in so many polls.
QUIET_POLLS = 15
# A crowd that never settles has had its effect by then.
MAX_POLLS = 300
SLICE_BYTES = 64 * 1024


class Member:
    """One connection of a crowd.

    :ivar taken: bytes that were taken from it.
    :ivar ended: whether the process has closed or reset it.
    """

    def __init__(self, payload: bytes) -> None:
        self._payload = payload
        self._socket = socket.socket()
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        self.taken = 0
        self.ended = False

    async def run(self, address: Address) -> None:
        """Connect and send until all was taken or the process closes."""
        loop = asyncio.get_running_loop()
        view = memoryview(self._payload)
        try:
            await loop.sock_connect(self._socket, (address.host, address.port))
            while self.taken < len(view):
                part = view[self.taken : self.taken + SLICE_BYTES]
                await loop.sock_sendall(self._socket, part)
                self.taken += len(part)
        except OSError:
            self.ended = True

    def close(self) -> None:
        """Leave without reading anything."""
        self._socket.close()


class Crowd:
    """Connections that send what they were given and stay open."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self.members: list[Member] = []
        self._tasks: list[asyncio.Task[None]] = []

    def join(self, count: int, make_payload: Callable[[int], bytes]) -> None:
        """Add connections; each sends the payload made for its number."""
        for number in range(count):
            member = Member(make_payload(number))
            self.members.append(member)
            self._tasks.append(asyncio.create_task(member.run(self._address)))

    async def settle(self) -> None:
        """Wait until the process takes nothing more from the crowd."""
        quiet = 0
        before = -1
        for _ in range(MAX_POLLS):
            await asyncio.sleep(POLL_SECONDS)
            taken = sum(member.taken for member in self.members)
            quiet = quiet + 1 if taken == before else 0
            before = taken
            if quiet >= QUIET_POLLS:
                return

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for member in self.members:
            member.close()


@contextlib.asynccontextmanager
async def gather_crowd(address: Address):
    """Yield a crowd that leaves at the end."""
    crowd = Crowd(address)
    try:
        yield crowd
    finally:
        await crowd.leave()


def make_head(path: str, *lines: str, method: str = 'POST') -> bytes:
    """Return the head of a request."""
    return '\r\n'.join((f'{method} {path} HTTP/1.1', *lines, '', '')).encode()


def make_chunks(size: int, chunk_bytes: int) -> bytes:
    """Return chunks of a body, without the last one."""
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    return chunk * (size // chunk_bytes)


def read_most_memory(pid: int) -> int:
    """Return the most resident memory that a process ever had, in bytes."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in text.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * 1024
    raise AssertionError(f'/proc/{pid}/status has no VmHWM')


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))
