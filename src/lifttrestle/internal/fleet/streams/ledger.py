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

"""Records of what began each stream that a caller may resume."""

import collections
from collections.abc import Callable
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.digests import compute_digest
from lifttrestle.internal.fleet.state.digests import RECORD_DIGEST_BYTES
from lifttrestle.internal.fleet.streams.origin import StreamOrigin

# Maximum number of records, about 300 bytes each: those of 250 streams a
# second for a minute.
MAX_RECORDS = 16_384


@dataclasses.dataclass(frozen=True)
class OriginRecord:
    """One record.

    :ivar origin: None if several streams were recorded under one digest.
    :ivar expires_at: monotonic seconds.
    """

    origin: StreamOrigin | None
    expires_at: float


class OriginLedger:
    """Bounded collection of records that evicts the oldest.

    :param get_life_seconds: returns for how long a new record is kept.
    """

    def __init__(
        self, clock: Clock, get_life_seconds: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._get_life_seconds = get_life_seconds
        self._records: collections.OrderedDict[int, OriginRecord] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    @property
    def is_full(self) -> bool:
        """Return whether a new record evicts another one."""
        return len(self._records) >= MAX_RECORDS

    def put(self, digest: int, origin: StreamOrigin) -> None:
        """Record what began a stream, or keep a record of it for longer.

        Two streams under one digest can't be told apart when one of them is
        resumed, so that neither origin is reported any more.
        """
        known = self._get_record(digest)
        recorded: StreamOrigin | None = origin
        if known is not None and not (
            known.origin is not None and known.origin.agrees_with(origin)
        ):
            recorded = None
        expires_at = self._clock.monotonic() + self._get_life_seconds()
        self._records[digest] = OriginRecord(recorded, expires_at)
        self._records.move_to_end(digest)
        if len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)

    def get(self, digest: int) -> StreamOrigin | None:
        """Return what began a stream, None if it is not known."""
        record = self._get_record(digest)
        return None if record is None else record.origin

    def _get_record(self, digest: int) -> OriginRecord | None:
        record = self._records.get(digest)
        if record is None or record.expires_at < self._clock.monotonic():
            return None
        return record


def build_stream_digest(workspace: str, request_id: str) -> int:
    """Return the digest under which the origin of a stream is recorded.

    A workspace can't name the streams of another one.

    :param request_id: of the request that brought the first event.
    """
    text = f'{workspace}\0{request_id}'.encode(errors='replace')
    return compute_digest(text, RECORD_DIGEST_BYTES)
