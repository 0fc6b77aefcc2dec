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

"""Splits the bytes of a server-sent event stream into events."""

from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.stream.event import NO_INDEX
from lifttrestle.internal.stream.event import StreamEvent

MAX_EVENT_BYTES = 1024 * 1024


class StreamParser:
    """Incremental parser that buffers an incomplete event."""

    def __init__(self) -> None:
        self._buffer = b''

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes.

        :raises UpstreamLost: if an incomplete event is longer than
            ``MAX_EVENT_BYTES``.
        """
        text = (self._buffer + data).replace(b'\r\n', b'\n')
        blocks = text.split(b'\n\n')
        self._buffer = blocks.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise UpstreamLost(
                f'a stream event is longer than {MAX_EVENT_BYTES} bytes'
            )
        parsed = (_parse_block(block) for block in blocks)
        return [event for event in parsed if event is not None]


def _parse_block(block: bytes) -> StreamEvent | None:
    index = NO_INDEX
    parts: list[bytes] = []
    for line in block.split(b'\n'):
        name, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if name == b'data':
            parts.append(value)
        elif name == b'id' and value.isdigit():
            index = int(value)
    if not parts:
        return None
    return StreamEvent(index, b'\n'.join(parts))
