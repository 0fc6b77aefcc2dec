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

"""What an upstream publishes about itself in the shared list."""

import dataclasses
import enum
import re

from lifttrestle.internal.fleet.state.digests import compute_digest
from lifttrestle.internal.http.address import parse_address

DIGEST_BYTES = 4
# Names are sent in a header: other characters would end or corrupt it.
INSTANCE_PATTERN = re.compile(r'[!-~]{1,200}')


@dataclasses.dataclass(frozen=True)
class UpstreamEntry:
    """The entry that an upstream writes about itself.

    :ivar instance: its name, which it keeps when it restarts.
    :ivar address: ``IP:PORT`` that it listens on; other upstreams may reuse
        it after this one has stopped.
    :ivar draining: whether it stops soon and accepts no new work.
    :ivar weights: version of the weights of each model.
    :ivar born: start time in Unix milliseconds, None if it is not reported.
    :ivar software_version: version of its software, None if it is not known.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    weights: dict[str, int]
    born: int | None = None
    software_version: str | None = None

    @property
    def start(self) -> str:
        """Return the identity of this start, used as a key and in messages."""
        if self.born is None:
            return self.instance
        return f'{self.instance}@{self.born}'


def build_digest(start: str) -> int:
    """Return a short hash that identifies a start in messages.

    With 600 upstreams, one fleet in 24,000 has a collision; a load report is
    then attributed to the wrong one of the two upstreams.
    """
    return compute_digest(start.encode(), DIGEST_BYTES)


class StartOrder(enum.Enum):
    """How a reported start relates to the known one."""

    SAME = enum.auto()
    NEWER = enum.auto()
    OLDER = enum.auto()


class StartEnd(enum.Enum):
    """How a start of an upstream ended."""

    # A newer start has its name, or its entry has another address.
    REPLACED = enum.auto()
    # Its entry was removed without being marked as draining.
    VANISHED = enum.auto()
    # Its entry was marked as draining, or can no longer be decoded.
    WITHDRAWN = enum.auto()


def compare_starts(known: int | None, reported: int | None) -> StartOrder:
    """Return how the start ``reported`` relates to ``known``.

    A report without a start time does not indicate a new start. If the start
    time of the known one is missing, the two count as different: treating
    them as one could apply the state of an old start to a new one, while
    discarding that state costs only a few cache hits.

    :param known: start time in Unix milliseconds, None if not reported.
    :param reported: likewise.
    """
    if reported is None or reported == known:
        return StartOrder.SAME
    if known is None or reported > known:
        return StartOrder.NEWER
    return StartOrder.OLDER


def check_names(entry: UpstreamEntry) -> None:
    """Check the address and the name, which is sent in a header.

    :raises ValueError: if one of them is not valid.
    """
    if not parse_address(entry.address).port:
        raise ValueError(
            f'{entry.address!r} has port 0, at which nothing listens'
        )
    if INSTANCE_PATTERN.fullmatch(entry.instance) is None:
        raise ValueError(
            f'{entry.instance!r} is not a valid instance name; use 1 to 200'
            ' printable ASCII characters without spaces'
        )


def has_other_software(known: UpstreamEntry, reported: UpstreamEntry) -> bool:
    """Return whether an entry reports another software version.

    The software of a start does not change, so it is another start even if
    its start time is the same or missing.
    """
    versions = {known.software_version, reported.software_version}
    return None not in versions and len(versions) > 1


def update_entry(
    known: UpstreamEntry, reported: UpstreamEntry
) -> UpstreamEntry:
    """Return the entry of a start, updated with a report on the same start.

    What the report lacks and can't have changed is kept.
    """
    version = reported.software_version
    if version is None:
        version = known.software_version
    return dataclasses.replace(
        reported, born=known.born, software_version=version
    )


@dataclasses.dataclass(frozen=True)
class TargetWeights:
    """The version of a model's weights that the operator has requested."""

    model: str
    version: int
