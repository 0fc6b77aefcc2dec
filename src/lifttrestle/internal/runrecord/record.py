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

"""Stored record of a request that must run at most once."""

import datetime
import enum

import msgspec


class RunState(enum.Enum):
    """Last known execution state of the request.

    A ``CLAIMED`` request may have run: its holder may be paused, and only the
    holder may record another state.
    """

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'
    VOID = 'void'


class RunRecord(msgspec.Struct, frozen=True):
    """State of one idempotency key of one workspace.

    :ivar attempt: id of the attempt that holds the claim.
    :ivar fingerprint: digest of the request, to detect a reused key.
    :ivar router: name of the router that wrote the record.
    :ivar at: time of the write.
    :ivar status: HTTP status of the answer, once the request is done.
    """

    attempt: str
    state: RunState
    fingerprint: str
    router: str
    at: datetime.datetime
    status: int = 0
