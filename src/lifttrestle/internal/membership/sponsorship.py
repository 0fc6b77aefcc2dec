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

"""Sponsorship of routers that start while the table service is unavailable.

Such a router cannot register, so the acceptance of a change would not wait
for it. Until it can register, its sponsor, a registered peer, acknowledges a
proposal only once the new router enforces it too.
"""

import dataclasses

from lifttrestle.internal.membership.listed_vms import ListedVms
from lifttrestle.internal.membership.member import Member


@dataclasses.dataclass
class SponsoredRouter:
    """A sponsored router and the plan that it reported to enforce."""

    member: Member
    plan_id: str = ''


class Sponsorship:
    """Tracks the routers that this one sponsors."""

    def __init__(self) -> None:
        self._sponsored: dict[str, SponsoredRouter] = {}
        self._listed = ListedVms()

    def add(self, member: Member) -> None:
        """Start to sponsor a router."""
        self._sponsored.setdefault(member.instance, SponsoredRouter(member))

    def update(self, instance: str, plan_id: str, registered: bool) -> None:
        """Apply the state that a router reported.

        :param plan_id: the proposal that it enforces, or empty.
        :param registered: whether it has registered and needs no sponsor.
        """
        if registered:
            self._sponsored.pop(instance, None)
            return
        if instance in self._sponsored:
            self._sponsored[instance].plan_id = plan_id

    def drop_gone(self, vms: set[str]) -> None:
        """Stop sponsoring routers whose VM is no longer listed."""
        self._listed.update(vms)
        gone = [
            instance
            for instance, item in self._sponsored.items()
            if self._listed.is_gone(item.member.vm)
        ]
        for instance in gone:
            del self._sponsored[instance]

    def all_enforce(self, plan_id: str) -> bool:
        """Return whether every sponsored router enforces a plan."""
        return all(
            item.plan_id == plan_id for item in self._sponsored.values()
        )
