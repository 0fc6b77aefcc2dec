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

"""What the table service records of a request that may run only once."""

import datetime
import enum

import msgspec


class RunState(enum.Enum):
    """How far the request has come, as far as is known.

    ``CLAIMED`` may have run: its holder may be paused and is the only one
    that may say otherwise.
    """

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'
    VOID = 'void'


class RunRecord(msgspec.Struct, frozen=True):
    """One idempotency key of one workspace.

    :ivar attempt: the one attempt that holds the claim.
    :ivar fingerprint: a digest of the request, to detect a reused key.
    :ivar status: the service's HTTP status, once it is done.
    """

    attempt: str
    state: RunState
    fingerprint: str
    router: str
    at: datetime.datetime
    status: int = 0
