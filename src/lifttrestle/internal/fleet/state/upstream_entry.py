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

"""What an upstream tells of itself in the shared list."""

import dataclasses
import enum
import hashlib

DIGEST_BYTES = 4


@dataclasses.dataclass(frozen=True)
class UpstreamEntry:
    """One upstream's own entry.

    :ivar instance: its name; it may start again under the same one.
    :ivar address: where it is reached, ``IP:PORT``; used again by others
        once it is gone.
    :ivar draining: it leaves soon and takes no new work.
    :ivar weights: the version of the weights of each model.
    :ivar born: Unix milliseconds of its start, None where it is not told.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    weights: dict[str, int]
    born: int | None = None

    @property
    def start(self) -> str:
        """Return the identity of this start, for keys and other routers."""
        if self.born is None:
            return self.instance
        return f'{self.instance}@{self.born}'


def build_digest(start: str) -> int:
    """Return a number that stands for a start in short messages.

    Of 600 upstreams two have the same one once in 24,000 fleets; a load then
    counts for the wrong one of them.
    """
    digest = hashlib.blake2b(start.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


class StartOrder(enum.Enum):
    """How a start that is told relates to the one that is known."""

    SAME = enum.auto()
    NEWER = enum.auto()
    OLDER = enum.auto()


class StartEnd(enum.Enum):
    """How a start was seen to be there no more."""

    # A newer start has its name, or its address.
    REPLACED = enum.auto()
    # Its entry ended without a word.
    VANISHED = enum.auto()
    # It had said that it leaves, or its entry can't be read any more.
    WITHDRAWN = enum.auto()


def compare_starts(known: int | None, told: int | None) -> StartOrder:
    """Return how the start ``told`` relates to ``known``.

    One that does not say when it began claims nothing new. Where the known
    one did not say, the two may differ: to take them for one would hold a
    new start to what an old one did, and to forget costs a little warmth.

    :param known: Unix milliseconds of the start, None if it was not told.
    """
    if told is None or told == known:
        return StartOrder.SAME
    if known is None or told > known:
        return StartOrder.NEWER
    return StartOrder.OLDER


@dataclasses.dataclass(frozen=True)
class TargetWeights:
    """The version of a model's weights that the operator wants in use."""

    model: str
    version: int
