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

"""A stand-in for the platform's VM list, set at ``/standin/vms``."""

import msgspec

from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.standin.server import send_json
from lifttrestle.internal.standin.server import StandinServer
from lifttrestle.internal.store.http_vms import VmsAnswer
from lifttrestle.internal.store.vm import Vm


class VmsStandin:
    """Serves a list of VMs.

    :param vms: the list until another one is set.
    """

    def __init__(self, vms: tuple[Vm, ...] = ()) -> None:
        self._vms = vms
        self.server = StandinServer(self._handle, ('/standin/',))

    async def _handle(
        self, connection: ServerConnection, head: RequestHead, body: bytes
    ) -> None:
        if head.path == '/standin/vms':
            self._vms = msgspec.json.decode(body, type=VmsAnswer).vms
        await send_json(connection, VmsAnswer(self._vms))
