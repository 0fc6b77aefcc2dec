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

"""Messages between the routers of one data centre."""

import msgspec

from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.plan import AcceptedChange
from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.membership.member import Member


class Greeting(msgspec.Struct, frozen=True, tag=True):
    """Request that carries the state of the sender.

    :ivar revision: the accepted revision that the sender has, -1 for none.
    :ivar plan_id: the proposal that the sender enforces, or empty.
    :ivar registered: whether the sender is registered in the table service.
    :ivar wants_sponsor: the sender could not register and asks for a sponsor.
    :ivar leaving: the sender is stopping and takes no new share of the
        limits.
    """

    member: Member
    revision: int
    plan_id: str = ''
    registered: bool = False
    wants_sponsor: bool = False
    leaving: bool = False


class Reply(msgspec.Struct, frozen=True, tag=True):
    """Answer to a greeting, with the configuration that its sender lacks.

    :ivar revision: the accepted revision that the replier has, -1 for none.
    :ivar registered: whether the replier is registered.
    :ivar sponsors: whether the replier sponsors the sender of the greeting.
    :ivar leaving: the replier is stopping.
    :ivar proposal: the proposal that the replier knows of.
    :ivar changes: the accepted changes that the sender of the greeting lacks.
    :ivar document: the whole configuration as changes from an empty one, if
        the sender of the greeting is too far behind for ``changes``.
    """

    member: Member
    revision: int
    registered: bool
    sponsors: bool = False
    leaving: bool = False
    proposal: Plan | None = None
    changes: tuple[AcceptedChange, ...] = ()
    document: tuple[Change, ...] | None = None
