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

"""The one loop in which a request is tried at upstreams.

Whatever a request speaks and whoever may serve it, its attempts go like this:
choose, try, and after a failure judge whether it may go elsewhere. What
differs stands behind ``AttemptPlan``.
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
from lifttrestle.errors import WrongAnswer

Chosen = TypeVar('Chosen')
Outcome = TypeVar('Outcome')
# The failures of an attempt; every other exception ends the request.
ATTEMPT_FAILURES = (
    UpstreamConnectFailed,
    UpstreamDeclined,
    UpstreamFailed,
    UpstreamLost,
    WrongAnswer,
)
# After these nothing has run at the upstream.
NOT_RUN_FAILURES = (UpstreamConnectFailed, UpstreamDeclined)


class FailureAction(enum.Enum):
    """What follows a failed attempt, unless the request is refused."""

    RETRY = 'retry'
    END = 'end'


class AttemptPlan(abc.ABC, Generic[Chosen, Outcome]):
    """How the requests of one kind are tried."""

    @abc.abstractmethod
    async def choose(self) -> Chosen:
        """Return whom to ask next.

        :raises RequestRefused: if there is no one, or nothing may be sent.
        """

    @abc.abstractmethod
    async def attempt(self, chosen: Chosen) -> Outcome:
        """Ask, and pass the answer on or return it.

        :raises LifttrestleError: one of ``ATTEMPT_FAILURES``.
        """

    @abc.abstractmethod
    async def handle_failure(
        self, chosen: Chosen, error: LifttrestleError
    ) -> FailureAction:
        """Return what follows a failure.

        :raises RequestRefused: if the request is given up.
        """


async def run_attempts(plan: AttemptPlan[Chosen, Outcome]) -> Outcome | None:
    """Try until an attempt succeeds; return its outcome.

    None is returned where a failed attempt ended the request after all.

    :raises RequestRefused: if the request is given up.
    """
    while True:
        chosen = await plan.choose()
        try:
            return await plan.attempt(chosen)
        except ATTEMPT_FAILURES as error:
            if await plan.handle_failure(chosen, error) is FailureAction.END:
                return None
