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

"""One generation of an engine stand-in, retained so it can be resumed."""

import asyncio
import dataclasses


@dataclasses.dataclass
class EngineStream:
    """The events of one generation, which readers can wait for.

    :ivar events: payloads of the server-sent events, by event index.
    :ivar words: words generated so far.
    :ivar ended: whether no further event follows.
    :ivar changed: asyncio event that is set, and replaced by a new one, when
        an event is added or the stream ends.
    """

    stream_id: str
    model: str
    version: str
    prompt_tokens: int
    cached_tokens: int
    events: list[bytes] = dataclasses.field(default_factory=list)
    words: list[str] = dataclasses.field(default_factory=list)
    finish_reason: str = ''
    ended: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None

    def add(self, event: bytes) -> None:
        """Append an event and wake up the readers."""
        self.events.append(event)
        self._notify()

    def end(self) -> None:
        """Mark the stream as ended and wake up the readers."""
        self.ended = True
        self._notify()

    def _notify(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
