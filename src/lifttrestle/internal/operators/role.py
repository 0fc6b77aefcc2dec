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

"""What an operator may do."""

import enum


class Role(enum.Enum):
    """Each role may do what the one before it may, and more."""

    READER = 'reader'
    PLANNER = 'planner'
    CONFIRMER = 'confirmer'

    def includes(self, needed: 'Role') -> bool:
        """Return whether this role may do what ``needed`` may."""
        order = list(Role)
        return order.index(self) >= order.index(needed)
