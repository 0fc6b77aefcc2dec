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

"""Which VMs have gone from a list that lags.

A VM that was never on the list is new; only one that was there can be gone.
"""

from collections.abc import Collection


class ListedVms:
    """Remembers every VM that was listed once."""

    def __init__(self) -> None:
        self._seen: set[str] = set()
        self._present: set[str] = set()

    def update(self, vms: Collection[str]) -> None:
        """Take in the list as it is now."""
        self._present = set(vms)
        self._seen.update(vms)

    def was_listed(self, vm: str) -> bool:
        """Return whether a VM was listed at least once."""
        return vm in self._seen

    def is_gone(self, vm: str) -> bool:
        """Return whether a VM was listed and no longer is."""
        return vm in self._seen and vm not in self._present
