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

"""Interface for forwarding an engine's answer to the caller."""

import abc

from lifttrestle.internal.router.call import UpstreamCall
from lifttrestle.internal.stream.transcript import Usage


class AnswerRelay(abc.ABC):
    """Forwards one answer, complete and in order.

    :ivar usage: the token counts of the answer, or None until received.
    """

    usage: Usage | None = None

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Return whether the caller has received a part of the answer."""

    @abc.abstractmethod
    async def forward(self, call: UpstreamCall) -> None:
        """Forward an answer to its end.

        :raises UpstreamLost: if the answer broke off or is invalid; a later
            call continues after what was forwarded.
        """
