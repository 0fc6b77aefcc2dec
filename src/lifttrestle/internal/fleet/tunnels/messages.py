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

"""Messages of the tunnels between routers.

A router opens a connection to another one, sends a ``TunnelRequest`` and
reads one byte, a ``TunnelStatus``. If the status is ``CONNECTED``, what it
sends from then on is passed to the upstream as it is. What the upstream sends
comes back in chunks, each after its length, and ends with a mark. So the end
of an answer differs from the end of the router that forwards it.
"""

import enum

import msgspec

LENGTH_BYTES = 4
STATUS_BYTES = 1
MAX_REQUEST_BYTES = 1024
# Marks in place of a length.
UPSTREAM_CLOSED = 0
UPSTREAM_RESET = 2**32 - 1
# The router that forwards stops soon: after the current answer, the tunnel
# must not be used again.
STOPPING = 2**32 - 2


class TunnelRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests a connection to one start of an upstream.

    :ivar router: key of the router that sends it, in the roster.
    """

    router: str
    start: str


class TunnelStatus(enum.IntEnum):
    """Answer of a router to a request for a tunnel."""

    CONNECTED = 0
    # This router does not reach the upstream either.
    UNREACHABLE = 1
    # It does not know this start, or the start accepts no new work.
    UNKNOWN_START = 2
    # It forwards for as many tunnels as it may, or the upstream wants a pause.
    BUSY = 3
    STOPPING = 4


def encode_mark(value: int) -> bytes:
    """Return an encoded length or mark."""
    return value.to_bytes(LENGTH_BYTES, 'big')


def encode_chunk(data: bytes) -> bytes:
    """Return bytes of the upstream, prefixed with their length."""
    return encode_mark(len(data)) + data
