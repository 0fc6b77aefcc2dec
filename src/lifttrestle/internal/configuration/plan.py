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

"""Plans: sets of changes that an operator drafts and then confirms."""

import datetime
import enum

import msgspec

from lifttrestle.internal.configuration.change import Change


class PlanState(enum.Enum):
    """State of a plan; ``ACCEPTED`` and ``WITHDRAWN`` are final."""

    DRAFTED = 'drafted'
    PROPOSED = 'proposed'
    ACCEPTED = 'accepted'
    WITHDRAWN = 'withdrawn'


class Plan(msgspec.Struct, frozen=True):
    """Changes to one revision of the configuration, and their state.

    :ivar base: the revision that the changes apply to.
    :ivar concerns: the data centres whose routers must acknowledge it.
    :ivar differences: one human-readable line for each changed field.
    :ivar revision: the revision that it was accepted as, or 0.
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
    """The row with the accepted revision and the pending proposal.

    :ivar plan_id: the proposed plan, or empty.
    """

    revision: int = 0
    plan_id: str = ''


class AcceptedChange(msgspec.Struct, frozen=True):
    """The changes between a revision and the one before it.

    :ivar object_key: key of the object that holds the changes if they are
        too large for a row, else empty.
    """

    revision: int
    plan_id: str
    changes: tuple[Change, ...] = ()
    object_key: str = ''
