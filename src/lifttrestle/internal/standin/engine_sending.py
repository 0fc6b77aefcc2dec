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

"""Sends the streams of an engine stand-in, with fault injection."""

import asyncio

from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.standin.engine_answers import encode_complete_answer
from lifttrestle.internal.standin.engine_stream import EngineStream
from lifttrestle.internal.standin.server import StandinServer


class EngineSender:
    """Sends streams as answers.

    :param server: holds the faults to inject.
    :param incarnation: ID of this start of the engine, sent in a header of
        each answer.
    """

    def __init__(self, server: StandinServer, incarnation: str) -> None:
        self._server = server
        self._incarnation = incarnation

    def build_headers(
        self, stream: EngineStream, head: RequestHead
    ) -> list[tuple[str, str]]:
        """Return the headers that identify the engine, stream and request.

        They contain a wrong request ID if that fault is set.
        """
        headers = [
            ('x-engine-incarnation', self._incarnation),
            ('x-engine-version', stream.version),
            ('x-engine-stream', stream.stream_id),
        ]
        request_id = head.get_header('x-request-id')
        if self._server.faults.wrong_request_ids > 0:
            self._server.faults.wrong_request_ids -= 1
            request_id = 'another-request'
        if request_id:
            headers.append(('x-request-id', request_id))
        return headers

    async def send_events(
        self,
        connection: ServerConnection,
        stream: EngineStream,
        headers: list[tuple[str, str]],
        index: int,
    ) -> None:
        """Send the events from ``index`` on until the stream ends.

        Stops early where a fault cuts or ends the stream.
        """
        headers.append(('content-type', 'text/event-stream'))
        await connection.start_answer(200, tuple(headers))
        while True:
            while index < len(stream.events):
                if not await self._send_event(connection, stream, index):
                    return
                index += 1
            if stream.ended:
                break
            await stream.changed.wait()
        await connection.end_answer()

    async def _send_event(
        self, connection: ServerConnection, stream: EngineStream, index: int
    ) -> bool:
        faults = self._server.faults
        if index == faults.cut_at_token and faults.cut_streams > 0:
            faults.cut_streams -= 1
            connection.abort()
            return False
        if index == faults.end_at_token and faults.cut_streams > 0:
            faults.cut_streams -= 1
            await connection.end_answer()
            return False
        if index == faults.stall_at_token and faults.cut_streams > 0:
            faults.cut_streams -= 1
            await asyncio.sleep(3600)
        if index == faults.skip_token:
            faults.skip_token = -1
            return True
        data = b'id: %d\ndata: %s\n\n' % (index, stream.events[index])
        await connection.send_part(data)
        if index == faults.duplicate_token:
            await connection.send_part(data)
        return True

    async def send_complete_answer(
        self,
        connection: ServerConnection,
        path: str,
        stream: EngineStream,
        headers: list[tuple[str, str]],
    ) -> None:
        """Wait until the stream has ended and send it as one answer."""
        while not stream.ended:
            await stream.changed.wait()
        body = encode_complete_answer(path, stream)
        headers.append(('content-type', 'application/json'))
        if self._server.faults.halve_answers > 0:
            self._server.faults.halve_answers -= 1
            body = body[: len(body) // 2]
        if self._server.faults.truncate_answers > 0:
            self._server.faults.truncate_answers -= 1
            headers.append(('content-length', str(len(body))))
            await connection.start_answer(200, tuple(headers))
            await connection.send_part(body[: len(body) // 2])
            await connection.close()
            return
        await connection.send_answer(Answer(200, tuple(headers), body))
