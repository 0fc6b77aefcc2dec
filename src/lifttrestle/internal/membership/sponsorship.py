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

"""New routers that a registered one answers for while the table is out.

A router that starts while the table is out cannot register, so no change
would wait for it. Until it can, a registered peer does not acknowledge a
proposal before the new router obeys it too.
"""

import dataclasses

from lifttrestle.internal.membership.listed_vms import ListedVms
from lifttrestle.internal.membership.member import Member


@dataclasses.dataclass
class Sponsored:
    """A router in our care and the plan that it said it obeys."""

    member: Member
    plan_id: str = ''


class Sponsorship:
    """The routers that this one answers for."""

    def __init__(self) -> None:
        self._sponsored: dict[str, Sponsored] = {}
        self._listed = ListedVms()

    def add(self, member: Member) -> None:
        """Answer for a router from now on."""
        self._sponsored.setdefault(member.instance, Sponsored(member))

    def update(self, instance: str, plan_id: str, registered: bool) -> None:
        """Note what a router said: what it obeys, and if it registered."""
        if registered:
            self._sponsored.pop(instance, None)
            return
        if instance in self._sponsored:
            self._sponsored[instance].plan_id = plan_id

    def drop_gone(self, vms: set[str]) -> None:
        """Stop answering for routers whose VM is no longer listed."""
        self._listed.update(vms)
        gone = [
            instance
            for instance, item in self._sponsored.items()
            if self._listed.is_gone(item.member.vm)
        ]
        for instance in gone:
            del self._sponsored[instance]

    def all_enforce(self, plan_id: str) -> bool:
        """Return whether every router in our care obeys a plan."""
        return all(
            item.plan_id == plan_id for item in self._sponsored.values()
        )
