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

"""The retry loop for requests to upstreams.

The loop is the same for all protocols and kinds of upstreams: choose an
upstream, attempt the request and, after a failure, decide whether to retry.
Subclasses of ``AttemptPlan`` implement these steps.
"""

import abc
import enum
from typing import Generic
from typing import TypeVar

from lifttrestle.errors import LifttrestleError
from lifttrestle.errors import UpstreamConnectFailed
from lifttrestle.errors import UpstreamDeclined
from lifttrestle.errors import UpstreamFailed
from lifttrestle.errors import UpstreamLost
from lifttrestle.errors import UpstreamUnavailable
from lifttrestle.errors import WrongAnswer

Chosen = TypeVar('Chosen')
Outcome = TypeVar('Outcome')
# Exceptions that fail an attempt. Any other exception ends the request.
ATTEMPT_FAILURES = (
    UpstreamConnectFailed,
    UpstreamDeclined,
    UpstreamFailed,
    UpstreamLost,
    UpstreamUnavailable,
    WrongAnswer,
)
# Exceptions after which the upstream has not executed the request.
NOT_RUN_FAILURES = (
    UpstreamConnectFailed,
    UpstreamDeclined,
    UpstreamUnavailable,
)


class FailureAction(enum.Enum):
    """What to do after a failed attempt."""

    RETRY = 'retry'
    END = 'end'


class AttemptPlan(abc.ABC, Generic[Chosen, Outcome]):
    """The steps of the retry loop for one kind of request."""

    @abc.abstractmethod
    async def choose(self) -> Chosen:
        """Return the target of the next attempt.

        :raises RequestRefused: if no target is available, or the request
            may not be sent.
        """

    @abc.abstractmethod
    async def attempt(self, chosen: Chosen) -> Outcome:
        """Send the request, and forward the answer or return it.

        :raises LifttrestleError: an instance of one of ``ATTEMPT_FAILURES``.
        """

    @abc.abstractmethod
    async def handle_failure(
        self, chosen: Chosen, error: LifttrestleError
    ) -> FailureAction:
        """Decide whether to retry after a failed attempt.

        :raises RequestRefused: if the request must not be retried.
        """


async def run_attempts(plan: AttemptPlan[Chosen, Outcome]) -> Outcome | None:
    """Attempt a request until an attempt succeeds.

    :returns: the outcome of the successful attempt, or None if a failed one
        ended the request with ``FailureAction.END``.
    :raises RequestRefused: if no target is available or the request must not
        be retried.
    """
    while True:
        chosen = await plan.choose()
        try:
            return await plan.attempt(chosen)
        except ATTEMPT_FAILURES as error:
            if await plan.handle_failure(chosen, error) is FailureAction.END:
                return None
