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

"""HTTP client of the VM list."""

import msgspec

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.store.vm import Vm
from lifttrestle.internal.store.vms import VmList

OK = 200


class VmsAnswer(msgspec.Struct, frozen=True):
    """Answer of the platform: all VMs that it lists."""

    vms: tuple[Vm, ...]


class HttpVms(VmList):
    """Reads the VM list with ``GET /v1/vms``."""

    def __init__(self, client: JsonClient) -> None:
        self._client = client

    async def list_vms(self) -> dict[str, Vm]:
        """Return the listed VMs by name.

        :raises PlatformUnavailable: without a usable answer.
        """
        answer = await self._client.call('GET', '/v1/vms')
        if answer.status != OK:
            raise PlatformUnavailable(f'the VM list answered {answer.status}')
        try:
            listed = msgspec.json.decode(answer.body, type=VmsAnswer)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailable(
                f'the answer of the VM list is malformed: {error}'
            ) from error
        return {vm.name: vm for vm in listed.vms}
