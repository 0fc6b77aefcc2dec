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

"""One attempt at one upstream."""

import dataclasses

from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.choice import Choice
from lifttrestle.internal.telemetry.decision import Decision
from lifttrestle.internal.upstream.state import UpstreamState


@dataclasses.dataclass
class Attempt:
    """The chosen upstream and the line to be logged about it.

    :ivar number: from 1; part of the id sent to the upstream.
    """

    number: int
    upstream: UpstreamState
    candidate: Candidate
    choice: Choice
    decision: Decision
    sent_at: float = 0.0
