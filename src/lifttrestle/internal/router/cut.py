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

"""Why an attempt or a request ended without its whole answer."""

import asyncio
import enum

from lifttrestle.errors import CallerGone
from lifttrestle.errors import CutByStop
from lifttrestle.errors import LifttrestleError
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.refusal.kind import ErrorKind

# Others have taken over by then, for all that this router knows.
RETRY_SECONDS = 1.0


class CutCause(enum.Enum):
    """Who ended an exchange that had neither an end nor a failure.

    The value stands in the log, the name in lower case in the counters.
    """

    STOP = 'cut by the stop'
    CALLER_GONE = 'caller gone'
    CANCELLED = 'cancelled'


def find_cut_cause(
    error: CallerGone | CutByStop | asyncio.CancelledError, stopping: bool
) -> CutCause:
    """Return who ended an exchange.

    :param stopping: whether the router was told to stop; it cancels what it
        can't wait for, and a caller that leaves is no cancellation.
    """
    if isinstance(error, CallerGone):
        return CutCause.CALLER_GONE
    if isinstance(error, CutByStop):
        return CutCause.STOP
    return CutCause.STOP if stopping else CutCause.CANCELLED


def describe_outcome(error: BaseException, stopping: bool) -> str:
    """Return the outcome of an attempt that an exception ended."""
    if isinstance(error, (CallerGone, asyncio.CancelledError)):
        return find_cut_cause(error, stopping).value
    if isinstance(error, LifttrestleError):
        return str(error)
    return f'fault: {error!r}'


def build_cut_refusal(ran: Execution) -> RequestRefused:
    """Return what to tell a caller whose answer had not begun.

    A 503 says that nothing ran, so it may be sent again by anyone.
    """
    if ran is Execution.NOT_RUN:
        return RequestRefused(
            ErrorKind.STOPPING,
            'this router stops before the request could have ended',
            retry_after=RETRY_SECONDS,
        )
    return RequestRefused(
        ErrorKind.DEADLINE_EXCEEDED,
        'this router stops and can not wait for the answer any longer',
        ran=ran,
    )
