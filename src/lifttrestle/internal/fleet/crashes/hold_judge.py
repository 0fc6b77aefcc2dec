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

"""What the rows of holds ask of whoever decides on them."""

import abc

from lifttrestle.internal.fleet.crashes.held_row import HeldRow


class HoldJudge(abc.ABC):
    """Decides what must be held."""

    @abc.abstractmethod
    def must_hold(self, digest: int) -> bool:
        """Return whether a request or part must still be held."""

    @abc.abstractmethod
    def handle_lifted(self, digest: int) -> None:
        """Handle the removal of a row."""

    @abc.abstractmethod
    def handle_lost(self, digest: int, row: HeldRow) -> None:
        """Handle that a restored store has lost a row."""

    @abc.abstractmethod
    def handle_undeleted(self, digest: int) -> None:
        """Handle that a restored store has a removed row again."""
