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

"""A TCP relay in the test process that can interrupt and restore a path."""

import asyncio
import threading


class Relay:
    """Forwards connections to an address unless it is cut.

    A cut aborts the open connections and all new ones, as in a network
    partition that answers with resets.

    :param target: address to forward to, as ``HOST:PORT``.
    :ivar address: address that the relay listens at, as ``HOST:PORT``.
    """

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(':')
        self._port = int(port)
        self._cut = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        started = asyncio.run_coroutine_threadsafe(self._start(), self._loop)
        self.address = started.result(10)

    def cut(self) -> None:
        """Abort all connections, and new ones as soon as they are accepted."""
        self._run(self._set_cut(True))

    def heal(self) -> None:
        """Accept and forward connections again."""
        self._run(self._set_cut(False))

    def close(self) -> None:
        """Abort all connections and stop the relay."""
        self._run(self._set_cut(True))
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)
        self._loop.close()

    def _run(self, coroutine) -> None:  # noqa: ANN001
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)

    async def _start(self) -> str:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def _set_cut(self, cut: bool) -> None:
        self._cut = cut
        for writer in list(self._writers) if cut else ():
            writer.transport.abort()
        # The tasks of the aborted connections end before the call returns.
        await asyncio.sleep(0.05)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._cut:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        await asyncio.gather(
            self._forward(reader, target_writer),
            self._forward(target_reader, writer),
        )
        self._writers -= writers

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()
