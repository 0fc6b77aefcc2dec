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

"""A plan: changes that an operator may confirm."""

import datetime
import enum

import msgspec

from lifttrestle.internal.configuration.change import Change


class PlanState(enum.Enum):
    """How far a plan has come."""

    DRAFTED = 'drafted'
    PROPOSED = 'proposed'
    ACCEPTED = 'accepted'
    WITHDRAWN = 'withdrawn'


class Plan(msgspec.Struct, frozen=True):
    """Changes against one revision, and how far they have come.

    :ivar base: the revision on which the plan was made.
    :ivar concerns: the data centres whose routers must acknowledge it.
    :ivar differences: for people, one line for each changed field.
    :ivar revision: the accepted revision, or 0.
    """

    plan_id: str
    base: int
    changes: tuple[Change, ...]
    concerns: tuple[str, ...]
    differences: tuple[str, ...]
    made_by: str
    made_at: datetime.datetime
    state: PlanState = PlanState.DRAFTED
    revision: int = 0


class Head(msgspec.Struct, frozen=True):
    """The row that names the accepted revision and the proposal.

    :ivar plan_id: the proposed plan, or empty.
    """

    revision: int = 0
    plan_id: str = ''


class AcceptedChange(msgspec.Struct, frozen=True):
    """The changes that made one revision out of the one before.

    :ivar object_key: where the changes are, if they are too large a row.
    """

    revision: int
    plan_id: str
    changes: tuple[Change, ...] = ()
    object_key: str = ''
