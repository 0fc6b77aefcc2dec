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

"""The streams that this router serves, and may not end.

Their origins are stored, so that a router that starts later knows them.
"""

import collections
from collections.abc import Mapping
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.streams.origin import StreamOrigin

# Maximum number of origins that one router stores, up to 26 bytes each.
MAX_OPEN = 1000


@dataclasses.dataclass(frozen=True)
class OpenStream:
    """A stream that its caller has not received completely.

    :ivar began_at: monotonic seconds.
    """

    origin: StreamOrigin
    began_at: float


class OpenStreams:
    """Bounded collection of open streams, by their digest.

    :ivar changed: whether a stream was added since the flag was cleared.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._streams: collections.OrderedDict[int, OpenStream] = (
            collections.OrderedDict()
        )
        self.changed = False

    def __len__(self) -> int:
        """Return the number of open streams."""
        return len(self._streams)

    def add(self, digest: int, origin: StreamOrigin) -> None:
        """Add a stream that begins or continues; the oldest is evicted."""
        now = self._clock.monotonic()
        self._streams[digest] = OpenStream(origin, now)
        self._streams.move_to_end(digest)
        if len(self._streams) > MAX_OPEN:
            self._streams.popitem(last=False)
        self.changed = True

    def add_earlier(self, origins: Mapping[int, StreamOrigin]) -> None:
        """Add streams that began before all others, as far as there is room.

        They expire with the oldest of the others.

        :param origins: by digest, the oldest first.
        """
        oldest = next(iter(self._streams.values()), None)
        began_at = oldest.began_at if oldest else self._clock.monotonic()
        for digest in reversed([*origins]):
            if len(self._streams) >= MAX_OPEN:
                break
            if digest not in self._streams:
                stream = OpenStream(origins[digest], began_at)
                self._streams[digest] = stream
                self._streams.move_to_end(digest, last=False)
        self.changed = True

    def remove(self, digest: int) -> None:
        """Remove a stream that its caller has received completely."""
        self._streams.pop(digest, None)

    def remove_expired(self, life_seconds: float) -> None:
        """Remove the streams that can't be resumed any more."""
        oldest = self._clock.monotonic() - life_seconds
        while self._streams:
            digest, stream = next(iter(self._streams.items()))
            if stream.began_at >= oldest:
                return
            del self._streams[digest]

    def list_origins(self) -> dict[int, StreamOrigin]:
        """Return the origin of each open stream."""
        return {
            digest: stream.origin for digest, stream in self._streams.items()
        }
