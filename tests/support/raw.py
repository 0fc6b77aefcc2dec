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

"""Sends raw bytes to a port, for input that no HTTP client would send."""

import json
import socket


def exchange(
    address: str, data: bytes, *, end: bool = False, timeout: float = 10.0
) -> bytes:
    """Send bytes and return everything received until the peer closes.

    :param end: whether to shut down the sending side after ``data``.
    """
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), timeout) as raw:
        raw.sendall(data)
        if end:
            raw.shutdown(socket.SHUT_WR)
        parts = []
        while part := raw.recv(65536):
            parts.append(part)
        return b''.join(parts)


def read_status(answer: bytes) -> int:
    """Return the status in the first line of an answer, 0 if none."""
    if not answer.startswith(b'HTTP/1.1 '):
        return 0
    return int(answer.split(b' ', 2)[1])


def read_error(answer: bytes) -> dict:
    """Return the error in the JSON body of a refusal."""
    return json.loads(answer.split(b'\r\n\r\n', 1)[1])['error']
