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

"""The interface of routing policies, which perform no I/O."""

import abc

from lifttrestle.internal.routing.candidate import Candidate
from lifttrestle.internal.routing.choice import Choice
from lifttrestle.internal.routing.prompt import Prompt


class Policy(abc.ABC):
    """Chooses one of the upstreams that are eligible for a request."""

    @abc.abstractmethod
    def choose(
        self, prompt: Prompt, candidates: list[Candidate], now: float
    ) -> Choice:
        """Return the choice for a request.

        :param candidates: eligible upstreams, at least one.
        :param now: monotonic time in seconds.
        """

    def observe(
        self,
        prompt: Prompt,
        candidate: Candidate,
        cached_tokens: int,
        now: float,
    ) -> None:
        """Process an answer; the default implementation does nothing.

        :param cached_tokens: prompt tokens that the candidate had cached.
        :param now: monotonic time in seconds.
        """
