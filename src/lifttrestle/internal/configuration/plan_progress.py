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

"""Which routers have yet to acknowledge a proposed plan."""

import dataclasses

from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.membership.member import Member
from lifttrestle.internal.membership.member import Members
from lifttrestle.internal.store.vm import Vm


@dataclasses.dataclass(frozen=True)
class PlanProgress:
    """The routers that have not acknowledged a plan.

    :ivar waiting: routers whose acknowledgement is still required.
    :ivar gone: routers whose VM is no longer listed. Their acknowledgement is
        not required.
    """

    waiting: tuple[Member, ...] = ()
    gone: tuple[Member, ...] = ()

    @property
    def complete(self) -> bool:
        """Return whether no acknowledgement is outstanding."""
        return not self.waiting

    def group_waiting(self) -> dict[str, list[str]]:
        """Return the names of the waiting routers by data centre."""
        groups: dict[str, list[str]] = {}
        for member in self.waiting:
            groups.setdefault(member.data_centre, []).append(member.name)
        return groups


def compute_progress(
    plan: Plan,
    members: Members,
    acknowledged: set[str],
    vms: dict[str, Vm] | None,
) -> PlanProgress:
    """Return which routers have yet to acknowledge a proposed plan.

    Only routers of the data centres that the plan concerns are required.

    :param acknowledged: instances that have acknowledged the plan.
    :param vms: the VM list, or None while it is not known. A router stops
        being required only when its VM is gone, not when it is silent,
        since a paused process may resume.
    """
    waiting = []
    gone = []
    for member in members.routers:
        if member.data_centre not in plan.concerns:
            continue
        if member.instance in acknowledged:
            continue
        if vms is not None and member.listed and member.vm not in vms:
            gone.append(member)
            continue
        waiting.append(member)
    return PlanProgress(tuple(waiting), tuple(gone))
