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

"""What routers of one data centre say to each other."""

import msgspec

from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.plan import AcceptedChange
from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.membership.member import Member


class Greeting(msgspec.Struct, frozen=True, tag=True):
    """Who asks, and what it knows.

    :ivar revision: the accepted revision it has, or -1 for none.
    :ivar plan_id: the proposal it obeys, or empty.
    :ivar wants_sponsor: it could not register and asks to be answered for.
    :ivar leaving: it is stopping and takes no new share of the limits.
    """

    member: Member
    revision: int
    plan_id: str = ''
    registered: bool = False
    wants_sponsor: bool = False
    leaving: bool = False


class Reply(msgspec.Struct, frozen=True, tag=True):
    """What the asked router knows beyond the greeting.

    :ivar changes: the accepted changes that the asker lacks.
    :ivar document: the whole configuration as changes from an empty one,
        where the asker is too far behind.
    :ivar sponsors: whether the asked router answers for the asker.
    """

    member: Member
    revision: int
    registered: bool
    sponsors: bool = False
    leaving: bool = False
    proposal: Plan | None = None
    changes: tuple[AcceptedChange, ...] = ()
    document: tuple[Change, ...] | None = None
