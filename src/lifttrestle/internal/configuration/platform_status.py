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

"""What the last polls of the platform returned."""

import dataclasses
import logging

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.membership.member import Members
from lifttrestle.internal.store.vm import Vm

LOG = logging.getLogger('lifttrestle.configuration')


@dataclasses.dataclass
class PlatformStatus:
    """What the last polls of the platform returned.

    :ivar table_up: whether the last poll of the table succeeded.
    :ivar members: the registered routers, as read last.
    :ivar vms: the VM list, or None until it was read once.
    """

    table_up: bool = False
    members: Members = Members()
    vms: dict[str, Vm] | None = None
    _outage_logged: bool = dataclasses.field(
        default=False, init=False, repr=False
    )

    def record_success(self) -> None:
        """Record that the table answered a poll."""
        if self._outage_logged:
            self._outage_logged = False
            LOG.info('configuration: table service available again')
        self.table_up = True

    def record_outage(self, error: PlatformUnavailable) -> None:
        """Record that the table did not answer; log only the first time."""
        if not self._outage_logged:
            self._outage_logged = True
            LOG.warning('configuration: table service unavailable: %s', error)
        self.table_up = False
