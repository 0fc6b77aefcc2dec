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

"""The state of a request while the router serves it."""

import dataclasses

from lifttrestle.internal.configuration.model import Workspace
from lifttrestle.internal.exchange.progress import RequestProgress
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.server_connection import ServerConnection


@dataclasses.dataclass
class RequestScope:
    """A request with its caller's workspace and its deadline.

    :ivar workspace: as configured when the request last ended a wait.
    :ivar started: the monotonic time in seconds at which it was received.
    :ivar deadline: the monotonic time by which the answer must start.
    """

    request_id: str
    connection: ServerConnection
    head: RequestHead
    workspace: Workspace
    started: float
    deadline: float
    progress: RequestProgress = dataclasses.field(
        default_factory=RequestProgress
    )
