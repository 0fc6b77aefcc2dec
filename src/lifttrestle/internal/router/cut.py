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

"""Reasons why an attempt or a request ended before its answer did."""

import asyncio
import enum

from lifttrestle.errors import CallerGone
from lifttrestle.errors import CutByStop
from lifttrestle.errors import LifttrestleError
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.refusal.kind import ErrorKind

# By then the load balancer should send requests to other routers.
RETRY_SECONDS = 1.0


class CutCause(enum.Enum):
    """What ended an exchange that neither completed nor failed.

    The log contains the value, the counters the name in lower case.
    """

    STOP = 'cut by the stop'
    CALLER_GONE = 'caller gone'
    CANCELLED = 'cancelled'


def find_cut_cause(
    error: CallerGone | CutByStop | asyncio.CancelledError, stopping: bool
) -> CutCause:
    """Return what ended an exchange.

    :param stopping: whether the router is stopping. If so, a cancellation is
        due to the stop; a caller that disconnects causes no cancellation.
    """
    if isinstance(error, CallerGone):
        return CutCause.CALLER_GONE
    if isinstance(error, CutByStop):
        return CutCause.STOP
    return CutCause.STOP if stopping else CutCause.CANCELLED


def describe_outcome(error: BaseException, stopping: bool) -> str:
    """Return the outcome to log for an attempt that raised an exception."""
    if isinstance(error, (CallerGone, asyncio.CancelledError)):
        return find_cut_cause(error, stopping).value
    if isinstance(error, LifttrestleError):
        return str(error)
    return f'fault: {error!r}'


def build_cut_refusal(ran: Execution) -> RequestRefused:
    """Return the refusal for a caller whose answer has not begun.

    A 503 states that the request was not executed, so it may be sent again by
    anyone.
    """
    if ran is Execution.NOT_RUN:
        return RequestRefused(
            ErrorKind.STOPPING,
            'this router is stopping and can not complete the request in time',
            retry_after=RETRY_SECONDS,
        )
    return RequestRefused(
        ErrorKind.DEADLINE_EXCEEDED,
        'this router is stopping and can no longer wait for the answer',
        ran=ran,
    )
