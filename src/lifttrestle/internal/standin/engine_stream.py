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

"""One generation in an engine stand-in, kept so that it can be resumed."""

import asyncio
import dataclasses


@dataclasses.dataclass
class EngineStream:
    """The events of one generation; readers wait for further ones."""

    stream_id: str
    model: str
    version: str
    prompt_tokens: int
    cached_tokens: int
    events: list[bytes] = dataclasses.field(default_factory=list)
    words: list[str] = dataclasses.field(default_factory=list)
    finish_reason: str = ''
    ended: bool = False
    grown: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None

    def add(self, event: bytes) -> None:
        """Append an event and wake the readers."""
        self.events.append(event)
        self._wake()

    def end(self) -> None:
        """Mark that no event follows."""
        self.ended = True
        self._wake()

    def _wake(self) -> None:
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()
