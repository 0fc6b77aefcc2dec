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

"""The row in which a router stores the crashes that it has noted."""

from collections.abc import Mapping
import dataclasses

import msgspec

from lifttrestle.internal.fleet.crashes.messages import Number
from lifttrestle.internal.fleet.state.reach import NEVER
from lifttrestle.internal.intake.decoding import decode_json

CRASH_PREFIX = 'crashes/'
MAX_DIGEST = 2**64 - 1
# Unix milliseconds, some thousand years from now.
MAX_TIME_MS = 10**14


class StoredRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one request or part.

    :ivar crashed: digests of the starts that crashed under it, and when that
        was noticed, in Unix milliseconds.
    :ivar retracted: digests of the starts that no longer count.
    :ivar succeeded: whether it has ever succeeded at any router.
    """

    digest: Number
    crashed: list[tuple[Number, Number]]
    retracted: list[Number] = []
    succeeded: bool = False


class CrashRow(msgspec.Struct, frozen=True):
    """Row of one router.

    :ivar written_at_ms: Unix milliseconds.
    """

    written_at_ms: int
    records: list[StoredRecord]


@dataclasses.dataclass(frozen=True)
class KnownCrashes:
    """What is known of one request or part.

    :ivar crashed: when the crash of each start was noticed, monotonic seconds
        by the digest of the start.
    :ivar retracted: digests of the starts that no longer count.
    :ivar succeeded: whether it has ever succeeded at any router.
    """

    crashed: Mapping[int, float]
    retracted: tuple[int, ...] = ()
    succeeded: bool = False

    @property
    def size(self) -> int:
        """Return the number of starts."""
        return len(self.crashed) + len(self.retracted)

    @property
    def latest(self) -> float:
        """Return when the latest crash that counts was noticed, or NEVER."""
        return max(self.crashed.values(), default=NEVER)


def encode_crash_row(row: CrashRow) -> bytes:
    """Return a row encoded as JSON."""
    return msgspec.json.encode(row)


def decode_crash_row(value: bytes) -> CrashRow:
    """Return a row decoded from JSON.

    :raises ValueError: if the bytes are not a valid row.
    """
    row = decode_json(value, CrashRow)
    for record in row.records:
        _check(record)
    return row


def _check(record: StoredRecord) -> None:
    starts = [start for start, _ in record.crashed]
    digests = [record.digest, *starts, *record.retracted]
    if max(digests) > MAX_DIGEST:
        raise ValueError('a digest has more than 64 bits')
    if any(at_ms > MAX_TIME_MS for _, at_ms in record.crashed):
        raise ValueError('a time is too far ahead')
