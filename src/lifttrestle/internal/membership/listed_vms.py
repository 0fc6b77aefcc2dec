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

"""Tells new VMs from deleted ones in a VM list that lags.

A VM that was never on the list may be new; only one that was listed before
can be gone.
"""

from collections.abc import Collection


class ListedVms:
    """Tracks the VMs that are listed now and those that were ever listed."""

    def __init__(self) -> None:
        self._seen: set[str] = set()
        self._present: set[str] = set()

    def update(self, vms: Collection[str]) -> None:
        """Replace the current list."""
        self._present = set(vms)
        self._seen.update(vms)

    def was_listed(self, vm: str) -> bool:
        """Return whether a VM has been listed at least once."""
        return vm in self._seen

    def is_gone(self, vm: str) -> bool:
        """Return whether a VM was listed and no longer is."""
        return vm in self._seen and vm not in self._present
