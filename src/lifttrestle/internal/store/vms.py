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

"""Interface of the platform's VM list."""

import abc

from lifttrestle.internal.store.vm import Vm


class VmList(abc.ABC):
    """Lists the live and leaving VMs; the list may be out of date."""

    @abc.abstractmethod
    async def list_vms(self) -> dict[str, Vm]:
        """Return the listed VMs by name.

        :raises PlatformUnavailable: without a usable answer.
        """
