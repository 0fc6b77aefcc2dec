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

"""State machine of a connection on which a request was sent already."""

import h11

CONTENT_LENGTH = b'content-length'


def replay_request(
    request: h11.Request, received: bytes, *, closed: bool
) -> h11.Connection:
    """Return a state machine that awaits the answer to a request.

    h11 parses an answer only after it has sent a request, so the request is
    sent to it once more; its output is discarded.

    :param received: bytes of the answer that have arrived.
    :param closed: whether the server has closed the connection after them.
    """
    connection = h11.Connection(h11.CLIENT)
    connection.send(request)
    size = int(dict(request.headers).get(CONTENT_LENGTH, b'0'))
    if size:
        connection.send(h11.Data(data=bytes(size)))
    connection.send(h11.EndOfMessage())
    if received:
        connection.receive_data(received)
    if closed:
        connection.receive_data(b'')
    return connection
