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

"""Row versions that stay ordered when the store reverts to an older copy.

The store numbers its commits. After it is restored from an older copy, it
reuses commit numbers under a higher epoch. A version combines both, with the
epoch in the high bits, so that comparing versions orders commits across
restores. If the store reports no epoch, a version is the commit number alone.

A version fits in the 53 bits that a JSON number represents exactly: 8,192
epochs of 10^12 commits each.
"""

COMMIT_NUMBER_BITS = 40
MAX_COMMIT_NUMBER = (1 << COMMIT_NUMBER_BITS) - 1
EPOCH_BITS = 13
MAX_EPOCH = (1 << EPOCH_BITS) - 1


def build_version(epoch: int, commit_number: int) -> int:
    """Return the version of a commit.

    :param epoch: at most ``MAX_EPOCH``.
    :param commit_number: the commit's number within the epoch, at most
        ``MAX_COMMIT_NUMBER``.
    """
    return (epoch << COMMIT_NUMBER_BITS) | commit_number


def get_epoch(version: int) -> int:
    """Return the epoch of a version."""
    return version >> COMMIT_NUMBER_BITS


def get_commit_number(version: int) -> int:
    """Return the commit number of a version within its epoch."""
    return version & MAX_COMMIT_NUMBER


def format_version(version: int) -> str:
    """Format a version for log output as ``EPOCH.NUMBER``."""
    return f'{get_epoch(version)}.{get_commit_number(version)}'
