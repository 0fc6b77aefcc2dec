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

"""Message entries by which routers exchange the usage of workspaces.

The entries are part of the load messages and need no datagrams of their own.
"""

from typing import Annotated

import msgspec

Count = Annotated[int, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Units = Annotated[float, msgspec.Meta(ge=-1e18, le=1e18)]


class UsedEntry(msgspec.Struct, frozen=True, array_like=True):
    """Units that a workspace has used since a count began.

    :ivar workspace: digest of the name of the workspace.
    :ivar serial: identifies the count; a new count begins after a pause.
    :ivar used: units, never less than in an earlier entry of the count.
    :ivar level: remaining units according to the sender, for a receiver that
        has just started; None if the sender does not aggregate, or has just
        started itself.
    """

    workspace: Count
    serial: Count
    used: Units
    level: Units | None = None


class LevelEntry(msgspec.Struct, frozen=True, array_like=True):
    """The remaining usage of a workspace.

    :ivar workspace: digest of the name of the workspace.
    :ivar level: remaining units.
    :ivar serial: identifies the receiver's own count that the level accounts
        for.
    :ivar included: units of that count that the level accounts for.
    :ivar use: units per second used at all routers.
    :ivar refill_share: share of the rate that the assumed usage of silent
        routers leaves.
    """

    workspace: Count
    level: Units
    serial: Count
    included: Units
    use: Units
    refill_share: Share = 1.0
