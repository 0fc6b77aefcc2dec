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

"""One attempt to serve a request at one upstream."""

import dataclasses

from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.choice import Choice
from lifttrestle.internal.telemetry.decision import Decision
from lifttrestle.internal.upstream.state import UpstreamState


@dataclasses.dataclass
class Attempt:
    """The chosen upstream and the decision to be logged when it ends.

    :ivar number: counts the attempts of the request from 1; a part of the
        request id sent to the upstream.
    :ivar candidate: the upstream as the routing policy saw it.
    :ivar sent_at: monotonic time in seconds at which the attempt started.
    """

    number: int
    upstream: UpstreamState
    candidate: Candidate
    choice: Choice
    decision: Decision
    sent_at: float = 0.0
