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

"""Limits on the memory and the time of HTTP connections."""

import msgspec

from lifttrestle.internal.http.memory_budget import DEFAULT_MEMORY_BYTES


class HttpLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one caller's connection, in bytes and seconds.

    ``max_connections`` bounds the connections of a whole server.
    ``memory_bytes`` bounds what all callers of a router make it hold: bodies
    that are received or kept, requests sent ahead, answers not taken yet.
    """

    head_bytes: int = 32 * 1024
    body_bytes: int = 8 * 1024 * 1024
    head_seconds: float = 10.0
    body_seconds: float = 30.0
    idle_seconds: float = 75.0
    write_buffer_bytes: int = 64 * 1024
    stalled_reader_seconds: float = 60.0
    max_connections: int = 2000
    memory_bytes: int = DEFAULT_MEMORY_BYTES
