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

"""What may have crashed an upstream: a whole request or a part of its prompt.

Each is known by a number of 64 bits, whose highest bits tell the kind.
"""

import enum

KIND_SHIFT = 62
DIGEST_MASK = (1 << KIND_SHIFT) - 1


class SuspectKind(enum.IntEnum):
    """Kind of what is known by a digest."""

    REQUEST = 0
    # A shared part of prompts that follows another one.
    PART = 1
    # The part that a prompt begins with; many requests share it.
    FIRST_PART = 2


KIND_NAMES = {
    SuspectKind.REQUEST: 'request',
    SuspectKind.PART: 'part',
    SuspectKind.FIRST_PART: 'first part',
}


def set_kind(digest: int, kind: SuspectKind) -> int:
    """Return a digest whose highest bits tell the kind."""
    return (digest & DIGEST_MASK) | (kind << KIND_SHIFT)


def get_kind(digest: int) -> SuspectKind:
    """Return the kind of what a digest stands for."""
    value = digest >> KIND_SHIFT
    if value in KIND_NAMES:
        return SuspectKind(value)
    return SuspectKind.REQUEST


def get_kind_name(digest: int) -> str:
    """Return the kind of what a digest stands for, as text for operators."""
    return KIND_NAMES[get_kind(digest)]
