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

"""Resumes or cancels the generation of an interrupted stream."""

from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.head import ResponseHead
from lifttrestle.internal.router.attempt import Attempt
from lifttrestle.internal.router.parts import RouterParts
from lifttrestle.internal.upstream.identity import EngineIdentity

STATUS_OK = 200
MAX_ANSWER_BYTES = 64 * 1024
EXCHANGE_FAILURES = (UpstreamConnectFailed, UpstreamLost, TimeoutError)


async def resume_stream(
    parts: RouterParts,
    attempt: Attempt,
    identity: EngineIdentity,
    head: RequestHead,
) -> ClientConnection | None:
    """Return a connection on which the rest of a stream arrives.

    :param head: the request to resume the stream, built by the driver.
    :return: None if the engine cannot resume streams, cannot be reached in
        time, or is no longer the same incarnation with the same weights.
    """
    can = attempt.upstream.settings.can.resumes_streams
    if not can or not identity.stream_id:
        return None
    connection: ClientConnection | None = None
    answer: ResponseHead | None = None
    try:
        async with ReadTimeout(parts.settings.deadlines.stall):
            connection = await attempt.upstream.pool.take(fresh=True)
            await connection.send_request(head, b'')
            answer = await connection.read_head()
    except EXCHANGE_FAILURES:
        return None
    finally:
        if connection is not None and answer is None:
            connection.close()
    is_same = parts.driver.decode_identity(answer) == identity
    if answer.status != STATUS_OK or not is_same:
        connection.close()
        return None
    return connection


async def cancel_generation(
    attempt: Attempt, head: RequestHead, seconds: float
) -> None:
    """Cancel a generation whose caller has gone.

    :param head: the request to cancel it, built by the driver.
    :param seconds: how long the engine may take.
    """
    connection: ClientConnection | None = None
    is_complete = False
    try:
        async with ReadTimeout(seconds):
            connection = await attempt.upstream.pool.take()
            await connection.send_request(head, b'')
            await connection.read_head()
            await connection.read_body(MAX_ANSWER_BYTES)
            is_complete = True
    except EXCHANGE_FAILURES:
        return
    finally:
        if connection is not None and not is_complete:
            connection.close()
    attempt.upstream.pool.give_back(connection)
